//! Arguments of `pumicevale`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Declares pipelines, workspaces, pools and models, and watches what becomes of them.
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
    /// Write declarations, each on condition that nobody changed it meanwhile
    #[bpaf(command)]
    Apply {
        /// Folder or file of YAML declarations
        #[bpaf(short('f'), long("files"), argument("PATH"))]
        files: PathBuf,
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Return when the status says that it is in force everywhere
        wait: bool,
        /// Seconds to wait at most
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
        /// Name; all of the kind if left out
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Print statuses as they change
    #[bpaf(command)]
    Watch {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Seconds to watch; without end if left out
        #[bpaf(argument("SECONDS"))]
        seconds: Option<u64>,
    },
    /// Empty a host, or take that back
    #[bpaf(command)]
    Drain {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"), env("PUMICEVALE_STORE"))]
        store: String,
        /// Take the drain back
        undo: bool,
        /// Why, for people
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        reason: String,
        /// Host
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Show the way of one request through the logs of the nodes
    #[bpaf(command)]
    Explain {
        /// Request id
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files of the nodes
        #[bpaf(positional("FILE"), some("name at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Reports from live nodes
    #[bpaf(command)]
    Report(#[bpaf(external(report))] Report),
}

/// Reports.
#[derive(Debug, Clone, Bpaf)]
pub enum Report {
    /// Burn of the deadline objective and cost by stage
    #[bpaf(command)]
    Burn {
        /// Entry node's caller address; may stand more than once
        #[bpaf(long("entry"), argument("ADDRESS"), some("name at least one --entry"))]
        entries: Vec<String>,
        /// Share of requests that must be complete in time
        #[bpaf(argument("SHARE"), fallback(0.95))]
        objective: f64,
        /// Seconds of the short window
        #[bpaf(argument("SECONDS"), fallback(5))]
        short: u64,
        /// Seconds of the long window
        #[bpaf(argument("SECONDS"), fallback(30))]
        long: u64,
        /// YAML in place of a table
        yaml: bool,
    },
}
