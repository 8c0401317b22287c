//! Claims of idempotency keys, as kept in the Object API and passed between
//! entry nodes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Name, key::Key};

/// One claim object: every key of one bucket and shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Request that holds each key.
    pub keys: BTreeMap<Key, Name>,
}

/// Name of the floor object.
pub const FLOOR: &str = "floor";

/// The floor: buckets below it are deleted and never written again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// Lowest bucket still in use.
    pub bucket: u64,
}

/// Asks a shard's home node for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: Key,
    /// Request that wants it.
    pub request: Name,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request holds the key.
    Won,
    /// Another request holds it.
    Lost(Name),
    /// The key is too old, or the bucket is gone.
    Old,
    /// The key lies too far ahead.
    Future,
    /// Certainly not written.
    Failed,
    /// It may have been written.
    Doubt,
}
