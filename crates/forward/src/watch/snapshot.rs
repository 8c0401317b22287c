//! Cache of the encoded list of all targets.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use model::Time;

/// Time for which an encoded list is reused: when all nodes start together they request it within
/// a second, and the list of a large fleet takes milliseconds to encode. The ages in the answer
/// are increased by this time.
pub const SNAPSHOT_TTL: Duration = Duration::from_millis(50);

/// State that a cached answer depends on besides the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotKey {
    /// Epoch of the store that the state belongs to.
    pub epoch: u64,
    /// Version of the rules in force.
    pub rules: u64,
    /// Revision of the evacuations; `None` if they are not known.
    pub evacuations: Option<u64>,
    /// Revision of the rollouts; `None` if they are not known.
    pub rollouts: Option<u64>,
    /// Whether the node has lost contact with its own source.
    pub out_of_touch: bool,
}

/// The last complete list that was encoded.
#[derive(Debug, Default)]
pub struct SnapshotCache(RefCell<Option<(SnapshotKey, Time, Bytes)>>);

impl SnapshotCache {
    /// Returns the cached list if it matches `key` and is recent, else encodes a new one.
    pub fn get(&self, key: SnapshotKey, now: Time, encode: impl FnOnce() -> Bytes) -> Bytes {
        if let Some((of, at, bytes)) = &*self.0.borrow()
            && *of == key
            && now.since(*at) < SNAPSHOT_TTL
        {
            return bytes.clone();
        }
        let bytes = encode();
        *self.0.borrow_mut() = Some((key, now, bytes.clone()));
        bytes
    }
}
