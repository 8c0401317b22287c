//! Orders to targets, fenced by the lease epoch.

use serde::{Deserialize, Serialize};

use crate::Name;

/// What a target is told to do; each is a desired state, so repeating it is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Hold this model version.
    Load(Name),
    /// Drop this model version.
    Unload(Name),
    /// Take no new work and export the KV cache.
    Drain,
}

/// An order as sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target it is for.
    pub target: Name,
    /// Lease epoch of the sender.
    pub epoch: u64,
    /// Manifest number it follows from.
    pub number: u64,
    /// What to do.
    pub task: Task,
}

/// A target's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// Obeyed, or already so.
    Done,
    /// A higher epoch was seen.
    Fenced {
        /// The highest epoch seen.
        epoch: u64,
    },
}
