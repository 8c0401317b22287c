//! `pumicevale apply`: writes each declaration conditionally on its version.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use model::object::KINDS;
use tokio::time::Instant;

use crate::declare::{self, Declaration};
use crate::remote::{Remote, WriteResult};

/// Delay between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Status reads with a rejection after which the rejection is final.
const MAX_REJECTED_POLLS: u32 = 15;

/// Arguments of `apply`.
pub struct Apply {
    /// File or directory of declarations.
    pub files: PathBuf,
    /// Address of the Object API.
    pub store: String,
    /// Whether to wait until everything is in force.
    pub wait: bool,
    /// Maximum seconds to wait.
    pub timeout: u64,
}

impl Apply {
    /// Loads the files, writes the objects that differ and optionally waits.
    pub async fn run(self) -> anyhow::Result<()> {
        let all = declare::load(&self.files)?;
        let remote = Remote::new(&self.store)?;
        let written = write_all(&remote, all).await?;
        println!("{} objects written", written.len());
        if self.wait {
            let number =
                wait_in_force(&remote, &written, Duration::from_secs(self.timeout)).await?;
            println!("manifest {number} is in force everywhere");
        }
        Ok(())
    }
}

/// An object that was written.
#[derive(Debug, Clone)]
pub struct Written {
    /// Key, `Kind/name`.
    pub key: String,
    /// Version after the write.
    pub version: u64,
}

/// Writes the objects that differ, referenced kinds first.
pub async fn write_all(remote: &Remote, mut all: Vec<Declaration>) -> anyhow::Result<Vec<Written>> {
    let rank = |d: &Declaration| KINDS.iter().position(|k| *k == d.spec.kind());
    all.sort_by_key(rank);
    let mut written = Vec::new();
    for d in all {
        let (kind, key) = (d.spec.kind(), d.key());
        let (expect, old) = remote.read(kind, &d.name).await?;
        if old.is_some_and(|e| e.spec == d.spec.to_value()) {
            continue;
        }
        let put = remote.write(kind, &d.name, expect, Some(&d.spec)).await;
        let put =
            put.with_context(|| format!("stopped after {} objects were written", written.len()))?;
        if let WriteResult::Written(version) = put {
            println!("{key} version {version}");
            written.push(Written { key, version });
        }
    }
    Ok(written)
}

/// Waits until every written version is accepted and in force on all nodes that the failure
/// domains report; returns the manifest number.
pub async fn wait_in_force(
    remote: &Remote,
    written: &[Written],
    timeout: Duration,
) -> anyhow::Result<u64> {
    let deadline = Instant::now() + timeout;
    let mut number = 0;
    for w in written {
        number = number.max(wait_accepted(remote, w, deadline).await?);
    }
    loop {
        let fleets = remote.fleet_statuses().await.unwrap_or_default();
        let behind: Vec<String> = fleets
            .iter()
            .filter(|(_, f)| f.lowest < number || f.applied < f.nodes)
            .map(|(d, f)| format!("{d}: {} of {} nodes, lowest {}", f.applied, f.nodes, f.lowest))
            .collect();
        if !fleets.is_empty() && behind.is_empty() {
            return Ok(number);
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "manifest {number} is not in force everywhere: {}",
            if fleets.is_empty() { "no failure domain reports".into() } else { behind.join("; ") }
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_accepted(remote: &Remote, w: &Written, deadline: Instant) -> anyhow::Result<u64> {
    let mut refused = 0;
    loop {
        let status = remote.status(&w.key).await.ok().flatten();
        if let Some(s) = status.filter(|s| s.version >= w.version) {
            if s.accepted || s.version > w.version {
                return Ok(s.number);
            }
            // An object that it references may still be in flight from the same apply.
            refused += 1;
            anyhow::ensure!(
                refused < MAX_REJECTED_POLLS,
                "{} version {} was not accepted: {}",
                w.key,
                w.version,
                s.reason
            );
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "{} version {} has no status yet",
            w.key,
            w.version
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
