//! Command line of `pumicevale-bench`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Measures pumicevale against its baselines and bounds.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Run every cell of a plan, each policy on the same arrivals
    #[bpaf(command)]
    Run {
        /// Output directory for rows.yaml, summary.md and plots
        #[bpaf(argument("DIR"))]
        out: PathBuf,
        /// Plan file, YAML
        #[bpaf(positional("PLAN"))]
        plan: PathBuf,
    },
    /// Compare the rows of two runs of the same plan
    #[bpaf(command)]
    Compare {
        /// rows.yaml of the first run
        #[bpaf(positional("A"))]
        a: PathBuf,
        /// rows.yaml of the second run
        #[bpaf(positional("B"))]
        b: PathBuf,
    },
    /// Measure the cost of each role under the events of 10, 30, 100 and 340 nodes
    #[bpaf(command)]
    Slopes {
        /// Only counted figures, which are the same on every run and machine
        counted: bool,
        /// Only figures of whole fleets, at 30 to 2,000 nodes
        fleet: bool,
        /// Simulated hours of the failure-detection run without a crash
        #[bpaf(argument("HOURS"), fallback(8.0))]
        hours: f64,
    },
    /// Measure the latency that an entry node adds to a request, against a direct client
    #[bpaf(command)]
    Overhead {
        /// Number of requests
        #[bpaf(argument("N"), fallback(2000))]
        requests: u32,
    },
    /// Measure the time until a change is applied on every node, on running processes
    #[bpaf(command("in-force"))]
    InForce {
        /// Address of the Object API
        #[bpaf(argument("ADDRESS"))]
        store: String,
        /// Number of changes
        #[bpaf(argument("N"), fallback(100))]
        changes: u32,
    },
    /// Measure the memory that a running entry node uses per open stream
    #[bpaf(command)]
    Streams {
        /// Address at which the entry node serves callers
        #[bpaf(argument("ADDRESS"))]
        entry: String,
        /// Process id of the entry node
        #[bpaf(argument("PID"))]
        pid: u32,
        /// Number of streams
        #[bpaf(argument("N"), fallback(1000))]
        count: usize,
        /// Pipeline to request
        #[bpaf(argument("NAME"), fallback("minutes".into()))]
        pipeline: String,
        /// Workspace of the requests
        #[bpaf(argument("NAME"), fallback("ward-councillors".into()))]
        workspace: String,
    },
    /// Check the counted figures against the committed bounds
    #[bpaf(command)]
    Check {
        /// Bounds file, YAML
        #[bpaf(argument("FILE"), fallback(PathBuf::from("bounds.yaml")))]
        bounds: PathBuf,
    },
}
