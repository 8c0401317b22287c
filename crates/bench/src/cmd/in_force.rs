//! `pumicevale-bench in-force`: time from an operator's write until the status
//! says that it is in force on every node.

use std::time::{Duration, Instant};

use anyhow::Context;
use cli::Remote;
use cli::declare::Declaration;
use model::object::{Spec, Workspace};

/// Longest wait for one change.
const MOST: Duration = Duration::from_secs(60);
/// Name of the workspace that is changed.
const NAME: &str = "bench-in-force";

/// Measures changes.
pub struct InForce {
    /// Address of the Object API.
    pub store: String,
    /// Changes.
    pub changes: u32,
}

impl InForce {
    /// Prints median and worst.
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
                name: NAME.into(),
                spec: Spec::Workspace(workspace),
            };
            let begun = Instant::now();
            let written = cli::cmd::write_all(&remote, vec![declaration]).await?;
            cli::cmd::wait_in_force(&remote, &written, MOST)
                .await
                .context("a change did not arrive")?;
            times.push(begun.elapsed().as_secs_f64());
        }
        times.sort_by(f64::total_cmp);
        let nodes: u32 = remote.fleet_statuses().await?.iter().map(|(_, f)| f.nodes).sum();
        let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
        println!(
            "{} changes, {nodes} nodes: median {:.3} s, p95 {:.3} s, worst {:.3} s",
            times.len(),
            at(0.5),
            at(0.95),
            at(1.0)
        );
        Ok(())
    }
}
