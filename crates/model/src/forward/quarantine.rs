//! Messages between nodes about requests under which targets crashed.
//!
//! They are encoded with field names, and missing fields have defaults, so nodes of different
//! builds interoperate. Ages are in milliseconds.

use serde::{Deserialize, Serialize};

use super::{Fingerprint, TargetId};
use crate::Name;
use crate::member::NodeId;

/// Crash of a target while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The target.
    pub target: TargetId,
    /// Time since the crash, as known to the first node that observed it.
    pub age_ms: u64,
    /// Whether the request is cleared of having caused it.
    #[serde(default)]
    pub cleared: bool,
    /// For a part of prompts, a request with it that the target was running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub under: Option<Fingerprint>,
}

/// All that a node knows about one request, or part of prompts, under which targets crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request, or the part.
    pub request: Fingerprint,
    /// Whether it is a part of prompts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_part: bool,
    /// Its service.
    #[serde(default)]
    pub service: Name,
    /// Crashes of targets that ran the request.
    #[serde(default, rename = "ends")]
    pub crashes: Vec<CrashReport>,
    /// Number of times that the request was allowed to run although it was held.
    #[serde(default)]
    pub tries: u32,
    /// Time since the last of these runs.
    #[serde(default)]
    pub tried_ms: u64,
    /// Time since the request was last received.
    #[serde(default, rename = "came_ms")]
    pub received_ms: u64,
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Quarantine state that a node reports to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Node that reports.
    pub from: NodeId,
    /// Suspect requests.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
    /// Crashes of workers. A batch coordinator does not know which request a piece belongs to; the
    /// node that received the attempt does.
    #[serde(default, rename = "makers")]
    pub worker_crashes: Vec<WorkerCrash>,
}

/// Crash of a worker while it ran pieces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: Name,
    /// Attempts that the pieces belong to.
    pub attempts: Vec<Name>,
}

/// Held request, or part of prompts, as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRecord {
    /// The request, or the part.
    pub request: Fingerprint,
    /// Whether it is a part of prompts.
    pub is_part: bool,
    /// Its service.
    pub service: Name,
    /// Targets that crashed while they ran it.
    pub targets: Vec<TargetId>,
    /// Unix time since which it has been held, in milliseconds, by the writer's clock.
    pub since: u64,
}
