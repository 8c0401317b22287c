//! The Object API as the system uses it: kinds, values and versions.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Name;

/// Kinds of the system's own objects.
pub mod kind {
    /// The manifest of accepted configuration.
    pub const MANIFEST: &str = "manifest";
    /// Content-addressed chunks of the configuration.
    pub const CHUNK: &str = "chunk";
    /// Leases.
    pub const LEASE: &str = "lease";
    /// Claims of idempotency keys.
    pub const CLAIM: &str = "claim";
    /// Status of declared objects.
    pub const STATUS: &str = "status";
    /// First peers of each failure domain.
    pub const REGISTRY: &str = "registry";
}

/// A stored object; `value` is `None` once deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Name within its kind.
    pub name: Name,
    /// Grows with each accepted write of this name, deletion included; 0 if never written.
    pub version: u64,
    /// Content.
    pub value: Option<Value>,
}

/// Answer to a list or a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the kind; a watch goes on from here.
    pub revision: u64,
    /// Objects, deleted ones included on a watch.
    pub objects: Vec<Stored>,
}

/// Answer to an accepted write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Version that the write made.
    pub version: u64,
}
