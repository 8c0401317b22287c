//! Load of targets, as they report it and as nodes forward it.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Load report of a target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Target that the report is from.
    pub target: Name,
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Expected queueing time of a new call, in milliseconds.
    pub wait: u32,
    /// Whether the target is draining.
    pub leaving: bool,
    /// Loaded model versions, as `model@version`.
    pub models: Vec<Name>,
    /// Highest epoch of an order that the target has executed.
    pub epoch: u64,
    /// Increases with each report, also across restarts: the target's clock in units of 100 ms.
    pub seq: u64,
}

/// State of a target in a node's view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Latest report of the target.
    pub report: TargetReport,
    /// Sequence number of the report; higher is newer.
    pub seq: u64,
    /// Whether the target answered the last poll.
    pub ready: bool,
    /// Whether this node polled the report itself; reports relayed between nodes do not list
    /// the loaded models.
    pub polled: bool,
}
