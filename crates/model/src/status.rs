//! Status of a declared object, written by the system from what it observed.

use serde::{Deserialize, Serialize};

use crate::Name;

/// What became of one version of a declared object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// `Kind/name` of the object.
    pub object: Name,
    /// Version of the object that this speaks of.
    pub version: u64,
    /// Whether that version was accepted.
    pub accepted: bool,
    /// Why not, or empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Manifest that first holds it.
    pub number: u64,
}

/// How far the newest manifest has spread; object `fleet` of kind `status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Newest manifest.
    pub number: u64,
    /// Nodes known to be alive.
    pub nodes: u32,
    /// Of those, nodes that have it in force.
    pub applied: u32,
    /// Lowest manifest in force on any of them.
    pub lowest: u64,
}
