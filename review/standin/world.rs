//! A small deployment: a store, three nodes in three zones, and replicas of a plain service.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::node::{self, Node};
use crate::record::Record;
use crate::replica::{Replica, Run};
use crate::store::Store;

const ZONES: [&str; 3] = ["dar-a", "dar-b", "dar-c"];
const SERVICE: &str = "wuno96b";
/// Replicas of the service.
const REPLICAS: usize = 7;
/// Prefix of the route whose requests run at most once.
pub const ONCE: &str = "/post/";
/// Prefix of a route of streams that may not be resumed.
pub const STREAM: &str = "/chat/";
/// `timeoutMs` of these routes, as of the site's longest stream.
const TIMEOUT_MS: u64 = 20_000;

/// Time for which the nodes run before any request: `contactMs` is 4,000, so that they are in touch.
const SETTLE: Duration = Duration::from_millis(5_000);

/// Result of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

impl Verdict {
    pub fn code(&self) -> i32 {
        match self {
            Verdict::Broken(_) => 1,
            Verdict::Held(_) => 0,
            Verdict::NotRun(_) => 2,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Verdict::Broken(why) => format!("BROKEN: {why}"),
            Verdict::Held(why) => format!("HELD: {why}"),
            Verdict::NotRun(why) => format!("NOT RUN: {why}"),
        }
    }
}

/// The nodes that run, and the folder of their settings and logs.
pub type Registry = Arc<Mutex<(Vec<Node>, Option<PathBuf>)>>;

pub fn registry() -> Registry {
    Arc::default()
}

/// Ends all nodes and removes their folder.
pub fn end_nodes(registry: &Registry) {
    let mut running = registry.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    running.0.clear();
    if let Some(folder) = running.1.take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub nodes: Registry,
    pub replicas: Vec<Arc<Replica>>,
}

impl World {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(folder: &Path, registry: Registry) -> Result<World, String> {
        let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
        let record = Arc::new(record);
        let temporary =
            std::env::temp_dir().join(format!("pumicevale-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).map_err(|e| e.to_string())?;
        let store = Store::start();
        store.put("config", "main", &config());
        let replicas = (0..REPLICAS).map(|i| {
            Replica::start(&format!("i-{i}"), SERVICE, ZONES[i % ZONES.len()], &store, &record)
        });
        let replicas = replicas.collect();
        let nodes = node::start(&ZONES, &store, &temporary);
        let mut running = registry.lock().expect("no panic");
        *running = (nodes, Some(temporary));
        for node in &running.0 {
            if !node.wait_ready() {
                return Err(format!("{} is not ready", node.name));
            }
            record.line(&format!("node {} is ready at {}", node.name, node.callers));
        }
        drop(running);
        thread::sleep(SETTLE);
        Ok(World { record, nodes: registry, replicas })
    }

    /// The runs of an attempt at all replicas.
    pub fn runs_of(&self, attempt: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|run| run.attempt == attempt).collect()
    }

    /// Runs of all attempts at all replicas.
    pub fn runs(&self) -> Vec<Run> {
        self.replicas.iter().flat_map(|r| r.runs()).collect()
    }

    /// Whether a replica has answered a request early.
    pub fn has_early_runs(&self) -> bool {
        self.replicas.iter().any(|r| r.has_early_runs())
    }

    /// Nodes that have ended, which none may unless it was told to.
    pub fn ended(&self) -> Vec<(String, String)> {
        let mut running = self.nodes.lock().expect("no panic");
        running.0.iter_mut().filter_map(|n| Some((n.name.clone(), n.ended()?))).collect()
    }
}

/// The operator's configuration.
fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"board.example\",\"pathPrefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeoutMs\":{TIMEOUT_MS},\"sloMs\":2000,\"gapTargetMs\":600,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":1,\"anonymous\":false,\"resumable\":false}}"
        )
    };
    let routes = [route("r-post", ONCE, "non_idempotent"), route("r-chat", STREAM, "streaming")];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConnections\":470}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\"apiKeys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
