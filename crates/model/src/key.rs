//! Idempotency keys. They are UUIDv7, so the timestamp in a key determines the only claim object
//! that can ever hold it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Name;

/// Range of key timestamps that one claim bucket covers, in milliseconds.
pub const BUCKET_MS: u64 = 5_000;
/// Number of claim objects per bucket; each has its own home node.
pub const SHARDS: u64 = 4;

/// A caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Uuid);

/// Error of parsing a key.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum KeyError {
    /// an idempotency key is a UUID of version 7, such as 0192f0c1-2b3d-7abc-8def-0123456789ab
    NotUuidV7,
}

impl FromStr for Key {
    type Err = KeyError;
    fn from_str(s: &str) -> Result<Self, KeyError> {
        let id = Uuid::try_parse(s).map_err(|_| KeyError::NotUuidV7)?;
        if id.get_version_num() != 7 {
            return Err(KeyError::NotUuidV7);
        }
        Ok(Key(id))
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;
    fn try_from(s: String) -> Result<Self, KeyError> {
        s.parse()
    }
}

impl From<Key> for String {
    fn from(k: Key) -> String {
        k.0.to_string()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Key {
    /// Builds a key from a Unix time in milliseconds and 74 random bits.
    pub fn new(unix_ms: u64, random: u128) -> Self {
        let bits = (u128::from(unix_ms) << 80)
            | (0x7 << 76)
            | ((random & 0xfff) << 64)
            | (0b10 << 62)
            | ((random >> 12) & ((1 << 62) - 1));
        Key(Uuid::from_u128(bits))
    }

    /// Timestamp of the key, as Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        (self.0.as_u128() >> 80) as u64
    }

    /// Number of the bucket that the key's timestamp falls into.
    pub fn bucket(&self) -> u64 {
        self.unix_ms() / BUCKET_MS
    }

    /// Name of the only claim object that may hold the key.
    pub fn claim_object(&self) -> Name {
        let shard = crate::hash::hash64(self.0.as_bytes()) % SHARDS;
        format!("{}-{}", self.bucket(), shard).into()
    }
}
