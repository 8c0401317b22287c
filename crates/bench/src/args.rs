//! Arguments of `pumicevale-bench`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Measures pumicevale against its baselines and bounds.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Run a plan's cells, every policy on the same arrivals
    #[bpaf(command)]
    Run {
        /// Folder for rows.yaml, summary.md and plots
        #[bpaf(argument("DIR"))]
        out: PathBuf,
        /// Plan, YAML
        #[bpaf(positional("PLAN"))]
        plan: PathBuf,
    },
    /// Compare the rows of two runs of the same plan
    #[bpaf(command)]
    Compare {
        /// rows.yaml of one run
        #[bpaf(positional("A"))]
        a: PathBuf,
        /// rows.yaml of the other
        #[bpaf(positional("B"))]
        b: PathBuf,
    },
    /// Measure what each role costs at 10, 30, 100 and 340 nodes' worth of events
    #[bpaf(command)]
    Slopes {
        /// Only the counted figures, which repeat exactly
        counted: bool,
        /// Only those of whole fleets, at 30 to 2,000 nodes
        fleet: bool,
        /// Hours of the long run without a death
        #[bpaf(argument("HOURS"), fallback(8.0))]
        hours: f64,
    },
    /// Measure an entry node's own time per request against a bare client
    #[bpaf(command)]
    Overhead {
        /// Requests
        #[bpaf(argument("N"), fallback(2000))]
        requests: u32,
    },
    /// Time from a change to in force everywhere, on running processes
    #[bpaf(command("in-force"))]
    InForce {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"))]
        store: String,
        /// Changes
        #[bpaf(argument("N"), fallback(100))]
        changes: u32,
    },
    /// Memory of a running entry node for each open stream
    #[bpaf(command)]
    Streams {
        /// Entry node's caller address
        #[bpaf(argument("ADDRESS"))]
        entry: String,
        /// Its process
        #[bpaf(argument("PID"))]
        pid: u32,
        /// Streams
        #[bpaf(argument("N"), fallback(1000))]
        count: usize,
        /// Pipeline
        #[bpaf(argument("NAME"), fallback("minutes".into()))]
        pipeline: String,
        /// Workspace
        #[bpaf(argument("NAME"), fallback("ward-councillors".into()))]
        workspace: String,
    },
    /// Compare the counted figures with committed bounds
    #[bpaf(command)]
    Check {
        /// Bounds, YAML
        #[bpaf(argument("FILE"), fallback(PathBuf::from("bounds.yaml")))]
        bounds: PathBuf,
    },
}
