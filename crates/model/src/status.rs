//! Status objects, written by the system for operators from what it observed.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Status of one version of a declared object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// `Kind/name` of the object.
    pub object: Name,
    /// Version of the object that the status refers to.
    pub version: u64,
    /// Whether this version was accepted.
    pub accepted: bool,
    /// Reason of a rejection, otherwise empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// First manifest that contains this version.
    pub number: u64,
}

/// Propagation of the newest manifest; stored as object `fleet` of kind `status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Number of the newest manifest.
    pub number: u64,
    /// Number of live nodes.
    pub nodes: u32,
    /// Number of live nodes that have applied it.
    pub applied: u32,
    /// Lowest manifest number applied on a live node.
    pub lowest: u64,
}
