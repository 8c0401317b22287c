//! Arguments of `pumicevale`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Manages pipelines, workspaces, pools and models, and reports their status.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Check declarations offline
    #[bpaf(command)]
    Validate {
        /// Folder or file of YAML declarations
        #[bpaf(short('f'), long("files"), argument("PATH"))]
        files: PathBuf,
    },
    /// Apply declarations; fails if an object was changed concurrently
    #[bpaf(command)]
    Apply {
        /// Folder or file of YAML declarations
        #[bpaf(short('f'), long("files"), argument("PATH"))]
        files: PathBuf,
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Wait until the status reports the changes in force on every node
        wait: bool,
        /// Maximum seconds to wait
        #[bpaf(argument("SECONDS"), fallback(30))]
        timeout: u64,
    },
    /// Show what apply would change
    #[bpaf(command)]
    Diff {
        /// Folder or file of YAML declarations
        #[bpaf(short('f'), long("files"), argument("PATH"))]
        files: PathBuf,
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
    },
    /// Show declared objects and their status
    #[bpaf(command)]
    Get {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Kind: Pipeline, Workspace, Pool, Model or Drain
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name; every object of the kind if omitted
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Print statuses as they change
    #[bpaf(command)]
    Watch {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Seconds to watch; unlimited if omitted
        #[bpaf(argument("SECONDS"))]
        seconds: Option<u64>,
    },
    /// Drain a host, or undo its drain
    #[bpaf(command)]
    Drain {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Undo the drain
        undo: bool,
        /// Reason, for operators
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        reason: String,
        /// Host name
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Trace one request through the logs of the nodes
    #[bpaf(command)]
    Explain {
        /// Request id
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files of the nodes
        #[bpaf(positional("FILE"), some("name at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Report on live nodes
    #[bpaf(command)]
    Report(#[bpaf(external(report))] Report),
}

/// Reports computed from the metrics of live nodes.
#[derive(Debug, Clone, Bpaf)]
pub enum Report {
    /// Burn rate of the deadline objective, and cost by stage
    #[bpaf(command)]
    Burn {
        /// Caller address of an entry node; repeatable
        #[bpaf(long("entry"), argument("ADDRESS"), some("name at least one --entry"))]
        entries: Vec<String>,
        /// Share of requests that must complete in time
        #[bpaf(argument("SHARE"), fallback(0.95))]
        objective: f64,
        /// Short window in seconds
        #[bpaf(argument("SECONDS"), fallback(5))]
        short: u64,
        /// Long window in seconds
        #[bpaf(argument("SECONDS"), fallback(30))]
        long: u64,
        /// Print YAML instead of a table
        yaml: bool,
    },
}
