//! What makes two requests the same, whichever node they come to and under whichever attempt.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Hash of what a request asks and of who asks it (XXH3, 128 bits): all nodes make the same
/// one of the same request, and nothing of the request can be read from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Its first half.
    pub high: u64,
    /// Its second half.
    pub low: u64,
}

impl Fingerprint {
    /// Of the parts of a request in their order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3Default::new();
        for part in parts {
            // Lengths keep the end of one part from being the begin of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.digest128();
        Fingerprint { high: (hash >> 64) as u64, low: hash as u64 }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.high, self.low)
    }
}

/// No 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct FingerprintError;

impl std::str::FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let is_hex = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex {
            return Err(FingerprintError);
        }
        let half = |text: &str| u64::from_str_radix(text, 16).map_err(|_| FingerprintError);
        Ok(Fingerprint { high: half(&text[..16])?, low: half(&text[16..])? })
    }
}
