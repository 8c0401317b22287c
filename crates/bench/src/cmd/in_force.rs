//! `pumicevale-bench in-force`: time from an operator's write until the status reports the change
//! as applied on every node.

use std::time::{Duration, Instant};

use anyhow::Context;
use cli::Remote;
use cli::declare::Declaration;
use model::object::{Spec, Workspace};

/// Timeout of one change.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Workspace that is rewritten with a new deadline each time.
const WORKSPACE_NAME: &str = "bench-in-force";

/// Arguments of the subcommand.
pub struct InForce {
    /// Address of the Object API.
    pub store: String,
    /// Number of changes.
    pub changes: u32,
}

impl InForce {
    /// Prints the median, 95th percentile and maximum in seconds.
    pub async fn run(self) -> anyhow::Result<()> {
        let remote = Remote::new(&self.store)?;
        let mut times = Vec::new();
        for i in 0..self.changes {
            let workspace = Workspace {
                deadline: 1000 + u64::from(i),
                grace: 0,
                priority: Default::default(),
                limits: Vec::new(),
            };
            let declaration = Declaration {
                path: "bench".into(),
                line: 1,
                name: WORKSPACE_NAME.into(),
                spec: Spec::Workspace(workspace),
            };
            let started = Instant::now();
            let written = cli::cmd::write_all(&remote, vec![declaration]).await?;
            cli::cmd::wait_in_force(&remote, &written, MAX_WAIT)
                .await
                .context("a change was not applied on every node")?;
            times.push(started.elapsed().as_secs_f64());
        }
        times.sort_by(f64::total_cmp);
        let nodes: u32 = remote.fleet_statuses().await?.iter().map(|(_, f)| f.nodes).sum();
        let quantile = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
        println!(
            "{} changes, {nodes} nodes: median {:.3} s, p95 {:.3} s, worst {:.3} s",
            times.len(),
            quantile(0.5),
            quantile(0.95),
            quantile(1.0)
        );
        Ok(())
    }
}
