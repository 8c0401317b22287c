//! Claims of idempotency keys, as stored in the Object API and sent between entry nodes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Name, key::Key};

/// Claim object: all keys of one bucket and shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Request that holds each key.
    pub keys: BTreeMap<Key, Name>,
}

/// Name of the [`Floor`] object.
pub const FLOOR: &str = "floor";

/// Lower bound of the buckets in use: those below it are deleted and never written again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// Lowest bucket in use.
    pub bucket: u64,
}

/// Asks a shard's home node to claim a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: Key,
    /// Request that claims it.
    pub request: Name,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request holds the key.
    Won,
    /// This other request holds the key.
    Lost(Name),
    /// The key is too old, or its bucket was deleted.
    Old,
    /// The key's time is too far in the future.
    Future,
    /// The claim was certainly not written.
    Failed,
    /// The claim may have been written.
    Doubt,
}
