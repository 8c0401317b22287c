//! The whole list of targets, encoded.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use model::Time;

/// Time for which an encoded list is given to further peers: after a start of all they ask
/// within a second, and each list of a large fleet takes milliseconds to encode. What is told of
/// ages is that much older.
pub const SNAPSHOT_TTL: Duration = Duration::from_millis(50);

/// What else an answer holds, by which it is told from another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotKey {
    /// Epoch of the store.
    pub epoch: u64,
    /// Version of the rules.
    pub rules: u64,
    /// Revision of the evacuations.
    pub evacuations: Option<u64>,
    /// Revision of the roll-outs.
    pub rollouts: Option<u64>,
    /// Whether the node's own source fails it.
    pub out_of_touch: bool,
}

/// The last whole list that was encoded.
#[derive(Debug, Default)]
pub struct SnapshotCache(RefCell<Option<(SnapshotKey, Time, Bytes)>>);

impl SnapshotCache {
    /// The encoded list of a moment ago, or else a new one.
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
