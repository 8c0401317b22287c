//! Messages between nodes about their links to the targets, encoded with field names.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Question of a node that reaches no target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkQuery {
    /// Name of the node that asks.
    pub from: Name,
}

/// What a node says of its own links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Whether a target answered it within the last second.
    pub reaches: bool,
    /// Requests that it has open.
    #[serde(default)]
    pub open: u32,
}
