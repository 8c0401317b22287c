//! Accepted configuration: a numbered manifest of content-addressed chunks. Numbers are totally
//! ordered, and a node applies only a higher one.

use serde::{Deserialize, Serialize};

use crate::{Name, object::Spec};

/// Name of the only manifest object.
pub const NAME: &str = "current";
/// Target size of a chunk in bytes; one change transfers one chunk.
pub const CHUNK_BYTES: usize = 4096;

/// Manifest of an accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Number of the configuration, from 1; higher is newer.
    pub number: u64,
    /// Lease epoch of the node that wrote it.
    pub epoch: u64,
    /// Nonce of the write; after a lost response it shows whether the write was applied.
    pub nonce: u64,
    /// Content address of the chunk in each slot.
    pub slots: Vec<Name>,
}

/// Declared object in a chunk, or the tombstone of a deleted one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// `Kind/name`.
    pub key: Name,
    /// Version in the Object API; never replaced by a lower one.
    pub version: u64,
    /// Declared spec; `None` once deleted.
    pub spec: Option<Spec>,
}

/// Items of one slot, ordered by key.
pub type Chunk = Vec<Item>;

/// Slot of a key among `count` slots, a power of two.
pub fn slot(key: &str, count: usize) -> usize {
    (crate::hash::hash64(key.as_bytes()) as usize) & (count - 1)
}

/// Slots that differ between two manifests, sent to a node that has the older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Manifest that the delta applies to; 0 for none, in which case all slots are included.
    pub base: u64,
    /// Manifest that results from the delta.
    pub number: u64,
    /// Number of slots of the resulting manifest.
    pub count: u32,
    /// Slots that differ.
    pub slots: Vec<SlotRef>,
}

/// Slot and the chunk in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRef {
    /// Index of the slot.
    pub slot: u32,
    /// Content address of the chunk.
    pub hash: Name,
}
