//! Load as a target reports it and as nodes pass it on.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A target's own report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Target that reports.
    pub target: Name,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Expected wait of a new call, in milliseconds.
    pub wait: u32,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Model versions held, as `model@version`.
    pub models: Vec<Name>,
    /// Highest order epoch obeyed.
    pub epoch: u64,
    /// Grows with each report, restarts included: the target's clock in 100 ms.
    pub seq: u64,
}

/// One target's state in a view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The report.
    pub report: TargetReport,
    /// Sequence of the report; higher is newer.
    pub seq: u64,
    /// Whether the last poll found the target answering.
    pub ready: bool,
    /// Whether the report is that of a poll of this node's own; what goes from node to node
    /// does not tell which models are held.
    pub polled: bool,
}
