//! XXH3 hashes for placement, digests and content addresses.

use xxhash_rust::xxh3;

/// 64-bit hash of `bytes`.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Content address of `bytes`: a 128-bit hash as 32 hexadecimal digits.
pub fn content_address(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3::xxh3_128(bytes))
}

/// Combines two hashes into a rendezvous score; cheap enough for 1,300 targets per decision.
#[inline]
pub fn mix(a: u64, b: u64) -> u64 {
    // Finalizer of splitmix64 (Steele, Lea, Flood 2014).
    let mut z = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the `n` names with the highest rendezvous scores for `key`, highest first.
pub fn rendezvous<'a>(
    key: &str,
    names: impl Iterator<Item = &'a crate::Name>,
    n: usize,
) -> Vec<crate::Name> {
    let key = hash64(key.as_bytes());
    let mut scored: Vec<_> = names.map(|m| (mix(key, hash64(m.as_bytes())), m)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(n).map(|(_, m)| m.clone()).collect()
}

/// Incremental digest of an answer's text, independent of how the text is split into chunks.
#[derive(Default)]
pub struct Digest(xxh3::Xxh3Default);

impl Digest {
    /// Appends text to the digested input.
    pub fn push(&mut self, text: &str) {
        self.0.update(text.as_bytes());
    }

    /// Digest of the text so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Digest({:016x})", self.value())
    }
}
