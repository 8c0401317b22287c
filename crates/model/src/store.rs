//! Messages of the Object API: kinds, values and versions.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Name;

/// Kinds of the objects that the system itself stores.
pub mod kind {
    /// Manifest of the accepted configuration.
    pub const MANIFEST: &str = "manifest";
    /// Content-addressed chunks of the configuration.
    pub const CHUNK: &str = "chunk";
    /// Leases.
    pub const LEASE: &str = "lease";
    /// Claims of idempotency keys.
    pub const CLAIM: &str = "claim";
    /// Status of declared objects.
    pub const STATUS: &str = "status";
    /// Seed peers of each failure domain.
    pub const REGISTRY: &str = "registry";
}

/// Stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Name, unique within its kind.
    pub name: Name,
    /// Increases with each accepted write of this name, including deletion; 0 if never written.
    pub version: u64,
    /// Content; `None` once deleted.
    pub value: Option<Value>,
}

/// Response to a list or a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the kind, from which a watch continues.
    pub revision: u64,
    /// Objects; a watch includes deleted ones.
    pub objects: Vec<Stored>,
}

/// Response to an accepted write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Version that the write created.
    pub version: u64,
}
