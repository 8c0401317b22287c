//! Limits that targets name in their answers, and what nodes tell each other of them.
//!
//! Messages are written with the names of fields, and read with defaults for those that are
//! missing, so that nodes of different builds understand each other. Ages are in milliseconds.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::Name;
use crate::member::NodeId;

/// What an answer says of the requests that its target takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum ReportedLimit {
    /// It names no limit.
    #[default]
    None,
    /// So many requests a second.
    PerSecond(f64),
    /// It names one that cannot be read.
    Unreadable,
}

/// What an answer said of its target's limit, and when.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests a second; `None` if it named no limit.
    #[serde(default)]
    pub per_s: Option<f64>,
    /// How long ago the request was sent.
    #[serde(default)]
    pub sent_ms: u64,
    /// How long ago the answer came.
    #[serde(default)]
    pub came_ms: u64,
}

/// Asks a target's keeper for a permit to send requests there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Name of the node that asks.
    pub from: Name,
    /// The target.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that are to be sent at once.
    pub count: u32,
    /// The last that is known of its limit.
    #[serde(rename = "word")]
    pub limit: LimitReport,
    /// Peers that would come first, but are of a build that keeps no limits.
    #[serde(default)]
    pub strangers: Vec<NodeId>,
}

/// A keeper's answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Whether the requests may be sent now.
    pub granted: bool,
    /// Time after which to ask again, if they may not.
    #[serde(default)]
    pub after_ms: u64,
    /// The last that the keeper knows of the limit.
    #[serde(rename = "word")]
    pub limit: LimitReport,
}

/// The last that is known of a target's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: Name,
    /// The limit.
    #[serde(rename = "word")]
    pub limit: LimitReport,
}

/// Limits that a node tells a peer of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Limits.
    #[serde(default)]
    pub limits: Vec<TargetLimit>,
    /// Whether the peer is to tell all others, as the keeper of these targets.
    #[serde(default)]
    pub spread: bool,
}
