//! The rules in force: one whole, numbered set of routes, services and workspaces.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Allowed;
use crate::Name;

/// One whole set of rules. A higher `version` replaces a lower one, never the reverse.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Number of this set; 0 means that no rules are known yet.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes and stages name.
    pub services: Vec<Service>,
    /// Workspaces; empty when callers need no key.
    pub workspaces: Vec<Workspace>,
    /// Limits on what callers send.
    pub limits: Limits,
}

/// Where requests of one host and path prefix go, and under what promises.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether and how a request may be run again.
    pub repeat: Repeat,
    /// Longest pause, in milliseconds, between two events of a stream that is in time.
    pub pause_ms: Option<u64>,
    /// Longest time, in milliseconds, that a request may be held.
    pub timeout_ms: u64,
    /// Time, in milliseconds, within which an answer is worth most.
    pub objective_ms: u64,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests need no key.
    pub open: bool,
    /// Services that share the requests.
    pub split: Vec<Share>,
    /// Batched stages to run before the request itself.
    pub stages: Vec<Stage>,
    /// Regions in which requests may be served.
    #[serde(default)]
    pub allowed: Allowed,
}

impl Route {
    /// For each stage, the positions of those that come before it.
    pub fn order(&self) -> Vec<Vec<usize>> {
        self.stages.iter().map(|s| s.after.clone()).collect()
    }
}

/// Whether and how a request may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream that runs at most once.
    StreamOnce,
    /// A stream that another target may take up after its last event.
    StreamResumable,
}

impl Repeat {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::StreamOnce | Repeat::StreamResumable)
    }

    /// Whether a second run is allowed after the first may have begun.
    pub fn may_repeat(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::StreamResumable)
    }
}

/// A service's part of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: Name,
    /// Weight relative to the others.
    pub weight: u32,
}

/// One batched stage of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Service that makes the pieces.
    pub service: Name,
    /// Stages, by position, whose results each piece takes as input.
    pub after: Vec<usize>,
    /// About how large one result is, in bytes.
    pub bytes: u64,
}

/// A service and what its targets bear.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that one target takes from all nodes together.
    pub connections: u32,
    /// Set for language-model engines.
    pub engine: Option<Engine>,
    /// Set for services that make pieces of stages.
    pub pool: Option<StagePool>,
    /// Set where targets are cold after a start.
    pub cold: Option<ColdTargets>,
}

/// What the cold targets of a service bear.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdTargets {
    /// Milliseconds for which a target is cold.
    pub lasts_ms: u64,
    /// Requests a second that one of them bears.
    pub per_s: f64,
}

/// What an engine bears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests running at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub tokens: u64,
}

/// What one maker of a stage service bears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StagePool {
    /// Calls at work at once.
    pub slots: u32,
    /// Pieces in one call at most.
    pub batch: usize,
    /// Fixed time of a call, in milliseconds.
    pub call_ms: f64,
    /// Time a piece adds, in milliseconds, roughly.
    pub item_ms: f64,
    /// Room for results, in megabytes.
    pub room_mb: f64,
    /// How long a result is kept, in milliseconds.
    pub keep_ms: u64,
}

impl StagePool {
    /// Time of a call with this many pieces.
    pub fn call_time(&self, pieces: u32) -> Duration {
        let ms = self.call_ms + self.item_ms * f64::from(pieces);
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}

/// A workspace and the keys that its callers present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Rank in place of the route's.
    pub rank: Option<u8>,
    /// Regions in which its requests may be served.
    #[serde(default)]
    pub allowed: Allowed,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds to send a head.
    pub head_ms: u64,
    /// Milliseconds that a connection may rest.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}
