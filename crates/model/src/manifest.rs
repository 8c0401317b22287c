//! Accepted configuration: a numbered manifest that names content-addressed
//! chunks. The number is the total order; a node applies only a higher one.

use serde::{Deserialize, Serialize};

use crate::{Name, object::Spec};

/// Name of the one manifest object.
pub const NAME: &str = "current";
/// Wanted size of a chunk in bytes; one change moves one chunk.
pub const CHUNK_BYTES: usize = 4096;

/// The manifest.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Total order of accepted configurations, from 1.
    pub number: u64,
    /// Lease epoch of the writer.
    pub epoch: u64,
    /// Nonce of the write, to settle a lost answer.
    pub nonce: u64,
    /// Content address of each slot's chunk.
    pub slots: Vec<Name>,
}

/// One declared object in a chunk, or the trace of a deleted one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// `Kind/name`.
    pub key: Name,
    /// Version in the Object API; a lower one never replaces it.
    pub version: u64,
    /// What was declared; `None` once deleted.
    pub spec: Option<Spec>,
}

/// One chunk: items ordered by key.
pub type Chunk = Vec<Item>;

/// Slot of a key among `count` (a power of two).
pub fn slot(key: &str, count: usize) -> usize {
    (crate::hash::hash64(key.as_bytes()) as usize) & (count - 1)
}

/// What a node sends a neighbour that has an older manifest: the slots that differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Manifest the receiver starts from; 0 for none, then every slot is here.
    pub base: u64,
    /// Manifest the receiver arrives at.
    pub number: u64,
    /// Count of slots at `number`.
    pub count: u32,
    /// The slots that differ.
    pub slots: Vec<SlotRef>,
}

/// Content address of one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRef {
    /// Slot.
    pub slot: u32,
    /// Content address.
    pub hash: Name,
}
