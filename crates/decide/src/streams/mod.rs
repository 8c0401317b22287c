//! Origins of resumable streams: which service and version sent the first event of each.
//!
//! What two versions write does not fit together, so a stream may only continue at the version that
//! began it. Its caller may come back to any node, also after the one that began it has failed. So
//! each node records the origins of the streams that begin there and copies them to a few backups
//! (see [`crate::roster`]). A node that neither knows an origin nor learns it from a peer must not
//! continue the stream: a guess may be wrong.
//!
//! A record is kept for as long as its caller may come back. Two records that contradict each other
//! leave the origin unknown.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use model::Time;
use model::forward::{StreamKey, StreamOrigin, StreamRecords};

/// Minimum interval between two messages to a backup, which bounds their cost at a busy node.
pub const MESSAGE_INTERVAL: Duration = Duration::from_millis(750);
/// Maximum number of records, the streams of some minutes at many nodes; the ones that expire first
/// are dropped.
const MAX_RECORDS: usize = 65_536;
/// Maximum time for which a record is kept, whatever its caller says.
const MAX_TTL: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Known {
    /// `None` if records contradicted each other.
    origin: Option<StreamOrigin>,
    until: Time,
}

/// Origins of streams known to one node.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamKey, Known>,
    expiries: BTreeSet<(Time, StreamKey)>,
}

impl StreamOrigins {
    /// Adds records of a peer.
    pub fn merge(&mut self, records: &StreamRecords, now: Time) {
        let ttl = Duration::from_millis(records.ttl_ms);
        for stream in &records.streams {
            self.record(*stream, records.origin.clone(), ttl, now);
        }
    }

    /// Adds a record, which is kept for `ttl`.
    pub fn record(&mut self, stream: StreamKey, origin: StreamOrigin, ttl: Duration, now: Time) {
        self.expire(now);
        let until = now + ttl.min(MAX_TTL);
        let before = self.known.remove(&stream);
        if let Some(before) = &before {
            self.expiries.remove(&(before.until, stream));
        }
        let until = before.as_ref().map_or(until, |b| b.until.max(until));
        let contradicts = before.is_some_and(|b| b.origin.as_ref() != Some(&origin));
        let origin = (!contradicts).then_some(origin);
        self.known.insert(stream, Known { origin, until });
        self.expiries.insert((until, stream));
        if self.known.len() > MAX_RECORDS {
            self.drop_first();
        }
    }

    /// Origin of a stream, if known.
    pub fn get(&self, stream: StreamKey, now: Time) -> Option<&StreamOrigin> {
        let known = self.known.get(&stream).filter(|known| now < known.until);
        known.and_then(|known| known.origin.as_ref())
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn drop_first(&mut self) {
        if let Some((_, stream)) = self.expiries.pop_first() {
            self.known.remove(&stream);
        }
    }
}
