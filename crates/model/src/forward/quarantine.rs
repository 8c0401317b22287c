//! What nodes tell each other of requests under which targets ended.
//!
//! Written with the names of fields, and read with defaults for those that are missing, so that
//! nodes of different builds understand each other. Ages are in milliseconds.

use serde::{Deserialize, Serialize};

use super::{Fingerprint, TargetId};
use crate::Name;
use crate::member::NodeId;

/// A target that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The target.
    pub target: TargetId,
    /// How long ago it ended, as far as its first witness knows.
    pub age_ms: u64,
    /// The request is not to blame for it.
    #[serde(default)]
    pub cleared: bool,
}

/// All that a node knows of one request under which targets ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub request: Fingerprint,
    /// Its service.
    #[serde(default)]
    pub service: Name,
    /// The targets.
    #[serde(default, rename = "ends")]
    pub crashes: Vec<CrashReport>,
    /// Times that it was let through although it had been held.
    #[serde(default)]
    pub tries: u32,
    /// How long ago the last of them was.
    #[serde(default)]
    pub tried_ms: u64,
    /// How long ago it last came.
    #[serde(default)]
    pub came_ms: u64,
}

/// What a node tells a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Who tells it.
    pub from: NodeId,
    /// Requests.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
    /// Makers that ended under pieces of attempts. Whoever coordinates pieces does not know of
    /// which request they are; the node that took the attempt does.
    #[serde(default, rename = "makers")]
    pub worker_crashes: Vec<WorkerCrash>,
}

/// A target that ended under pieces of attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: Name,
    /// The attempts.
    pub attempts: Vec<Name>,
}

/// A request that is held, as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRecord {
    /// The request.
    pub request: Fingerprint,
    /// Its service.
    pub service: Name,
    /// Targets that ended under it.
    pub targets: Vec<TargetId>,
    /// Unix time in milliseconds from which it has been held, by the clock of its writer.
    pub since: u64,
}
