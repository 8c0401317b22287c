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
type Key = (u64, (Option<u64>, Option<u64>), bool);

/// The last whole list that was encoded.
#[derive(Debug, Default)]
pub struct SnapshotCache(RefCell<Option<(Key, Time, Bytes)>>);

impl SnapshotCache {
    /// The encoded list of a moment ago, or else a new one.
    pub fn get(&self, key: Key, now: Time, encode: impl FnOnce() -> Bytes) -> Bytes {
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
