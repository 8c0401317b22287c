//! Limits that targets report in their answers, and messages between nodes about them.
//!
//! Messages are encoded with field names, and missing fields have defaults, so nodes of different
//! builds interoperate. Ages are in milliseconds.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::Name;
use crate::member::NodeId;

/// Limit in an answer on the requests that its target accepts from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum ReportedLimit {
    /// The answer contains no limit.
    #[default]
    None,
    /// Requests per second.
    PerSecond(f64),
    /// The answer contains a limit that cannot be parsed.
    Unreadable,
}

/// Limit that a target reported in an answer, with the ages of the request and the answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests per second; `None` if the answer contained no limit.
    #[serde(default)]
    pub per_s: Option<f64>,
    /// Time since the request was sent.
    #[serde(default)]
    pub sent_ms: u64,
    /// Time since the answer was received.
    #[serde(default, rename = "came_ms")]
    pub received_ms: u64,
}

/// Asks a target's permit issuer for permits to send requests to the target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Name of the requesting node.
    pub from: Name,
    /// The target.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: Name,
    /// Number of requests to send at once.
    pub count: u32,
    /// Latest limit that the node knows.
    #[serde(rename = "word")]
    pub limit: LimitReport,
    /// Peers that rank first as issuer but run a build that issues no permits.
    #[serde(default, rename = "strangers")]
    pub unsupported: Vec<NodeId>,
}

/// Answer of a permit issuer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Whether the requests may be sent now.
    pub granted: bool,
    /// Time after which to ask again, if not granted.
    #[serde(default)]
    pub after_ms: u64,
    /// Latest limit that the issuer knows.
    #[serde(rename = "word")]
    pub limit: LimitReport,
}

/// Latest known limit of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: Name,
    /// Latest known limit.
    #[serde(rename = "word")]
    pub limit: LimitReport,
}

/// Announces limits to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Announced limits.
    #[serde(default)]
    pub limits: Vec<TargetLimit>,
    /// Whether the peer, as permit issuer of these targets, is to announce them to all nodes.
    #[serde(default)]
    pub spread: bool,
}
