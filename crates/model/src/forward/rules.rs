//! Forwarding rules: a complete, numbered set of routes, services and workspaces.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Allowed;
use crate::Name;

/// Complete set of rules. A higher `version` replaces a lower one, never the reverse.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Number of the set; 0 means that no rules are known yet.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes and stages refer to.
    pub services: Vec<Service>,
    /// Workspaces; empty if callers need no key.
    pub workspaces: Vec<Workspace>,
    /// Limits on what callers send.
    pub limits: Limits,
}

/// Route: destination and guarantees of the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether and how a request may be run again.
    pub repeat: Repeat,
    /// Maximum pause between two events of a stream that counts as timely, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: the time within which an answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// Maximum number of targets that a request may be sent to.
    pub max_attempts: u32,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests need no key.
    pub open: bool,
    /// Services that the requests are split between.
    pub split: Vec<Share>,
    /// Batched stages that run before the request itself.
    pub stages: Vec<Stage>,
    /// Regions in which requests may be served.
    #[serde(default)]
    pub allowed: Allowed,
}

impl Route {
    /// For each stage, the positions of its predecessors.
    pub fn order(&self) -> Vec<Vec<usize>> {
        self.stages.iter().map(|s| s.after.clone()).collect()
    }
}

/// Whether and how a request may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream, and the request runs at most once.
    StreamOnce,
    /// The answer is a stream that another target may resume after its last event.
    StreamResumable,
}

impl Repeat {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::StreamOnce | Repeat::StreamResumable)
    }

    /// Whether a second run is allowed after the first may have started.
    pub fn may_repeat(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::StreamResumable)
    }
}

/// Share of a service in a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service that receives the share.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Batched stage of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Service that makes the pieces.
    pub service: Name,
    /// Positions of the stages whose results are the input of each piece.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub bytes: u64,
}

/// Service and the capacity of its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Number of connections that a target accepts from all nodes together.
    pub connections: u32,
    /// Set for engines of language models.
    pub engine: Option<Engine>,
    /// Set for services that run the pieces of stages.
    pub pool: Option<StagePool>,
    /// Set if targets are cold after a start.
    pub cold: Option<ColdTargets>,
}

/// Capacity of cold targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdTargets {
    /// Time for which a target is cold, in milliseconds.
    pub lasts_ms: u64,
    /// Requests per second that a cold target can serve.
    pub per_s: f64,
}

/// Capacity of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of tokens that fit into its memory.
    pub tokens: u64,
}

/// Capacity of a worker of a stage service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StagePool {
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of pieces per call.
    pub batch: usize,
    /// Fixed duration of a call, in milliseconds.
    pub call_ms: f64,
    /// Approximate additional duration per piece, in milliseconds.
    pub item_ms: f64,
    /// Space for results, in megabytes.
    pub room_mb: f64,
    /// Retention of a result, in milliseconds.
    pub keep_ms: u64,
}

impl StagePool {
    /// Expected duration of a call with this many pieces.
    pub fn call_time(&self, pieces: u32) -> Duration {
        let ms = self.call_ms + self.item_ms * f64::from(pieces);
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}

/// Workspace and the API keys of its callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Rank that precedes the rank of the route; see [`super::Rank`].
    pub rank: Option<u8>,
    /// Regions in which its requests may be served.
    #[serde(default)]
    pub allowed: Allowed,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time for sending a head, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}
