//! Fingerprints that identify equal requests, independent of the receiving node and the attempt.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// 128-bit XXH3 hash of a request's content and its sender. All nodes compute the same fingerprint
/// for the same request, and it discloses nothing about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Upper 64 bits.
    pub high: u64,
    /// Lower 64 bits.
    pub low: u64,
}

impl Fingerprint {
    /// Fingerprint of the parts of a request, in order.
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::of_pieces(parts.iter().map(std::slice::from_ref))
    }

    /// Fingerprint of parts that lie in pieces; the same as that of the joined parts.
    pub fn of_pieces<'a>(parts: impl IntoIterator<Item = &'a [&'a [u8]]>) -> Self {
        let mut hasher = Xxh3Default::new();
        for pieces in parts {
            let len: usize = pieces.iter().map(|p| p.len()).sum();
            // The lengths keep the end of one part distinct from the start of the next.
            hasher.update(&(len as u64).to_le_bytes());
            pieces.iter().for_each(|piece| hasher.update(piece));
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

/// a fingerprint is 32 hexadecimal digits
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
