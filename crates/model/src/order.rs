//! Orders to targets, fenced by the lease epoch.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Task of a target. Each describes a desired state, so repeating it is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Load this model version.
    Load(Name),
    /// Unload this model version.
    Unload(Name),
    /// Accept no new work and export the KV cache.
    Drain,
}

/// Order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target that the order is for.
    pub target: Name,
    /// Lease epoch of the sender.
    pub epoch: u64,
    /// Number of the manifest that the order follows from.
    pub number: u64,
    /// Task of the target.
    pub task: Task,
}

/// Answer of a target to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The order was executed, or was already fulfilled.
    Done,
    /// The order was rejected because the target has seen a higher epoch.
    Fenced {
        /// Highest epoch that the target has seen.
        epoch: u64,
    },
}
