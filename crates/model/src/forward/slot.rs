//! Messages between nodes about brittle targets and their slots.
//!
//! Messages are encoded with field names, and missing fields have defaults, so nodes of different
//! builds interoperate. Times are in milliseconds.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::Name;
use crate::member::NodeId;

/// Asks the keeper of a brittle target for one of the target's slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Name of the requesting node.
    pub from: Name,
    /// The target.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: Name,
    /// Attempt that needs the slot.
    pub attempt: Name,
    /// Maximum number of concurrent requests at the target.
    pub slots: u32,
    /// Rejections in a second that the target bears.
    pub max_rejected: u32,
    /// Time for which the attempt can wait.
    pub wait_ms: u64,
    /// Time after which the slot counts as free even if it is not released.
    pub lease_ms: u64,
    /// Peers that rank first as keeper but run a build that does not lease slots.
    #[serde(default)]
    pub unsupported: Vec<NodeId>,
}

/// Answer of a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotAnswer {
    /// Whether the request may be sent now.
    pub granted: bool,
    /// Time after which to ask again, if not granted.
    #[serde(default)]
    pub after_ms: u64,
    /// Requests per second that the slots serve, as estimated.
    #[serde(default)]
    pub per_s: f64,
}

/// Releases a slot, or leaves the queue for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// Name of the node that asked.
    pub from: Name,
    /// The target.
    pub target: TargetId,
    /// Attempt that had the slot.
    pub attempt: Name,
    /// Whether the target rejected the request for want of room.
    pub rejected: bool,
}

/// Says that targets of a service are brittle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleNotice {
    /// The service.
    pub service: Name,
    /// Rejections in a second that one of them bears.
    pub max_rejected: u32,
    /// Whether the receiver is to tell all nodes.
    #[serde(default)]
    pub spread: bool,
}
