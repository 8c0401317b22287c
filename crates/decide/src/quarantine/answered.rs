//! Requests that were answered whole a while ago.

use std::collections::HashSet;
use std::time::Duration;

use model::Time;
use model::forward::Fingerprint;

/// Time after which the older half is forgotten: what is common is answered more often.
const GENERATION_PERIOD: Duration = Duration::from_secs(30);
/// Requests in one half at most: 150 KB.
const MAX_GENERATION: usize = 4096;

/// Two halves, the newer of which grows.
#[derive(Debug, Default)]
pub(super) struct Answered {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    rotated: Time,
}

impl Answered {
    /// A request was answered whole.
    pub(super) fn note(&mut self, request: Fingerprint, now: Time) {
        self.rotate(now);
        self.newer.insert(request);
    }

    /// Whether a request was answered whole in the last 30 s, or up to 60 s ago.
    pub(super) fn has(&mut self, request: Fingerprint, now: Time) -> bool {
        self.rotate(now);
        self.newer.contains(&request) || self.older.contains(&request)
    }

    fn rotate(&mut self, now: Time) {
        let age = now.since(self.rotated);
        if age < GENERATION_PERIOD && self.newer.len() < MAX_GENERATION {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= GENERATION_PERIOD * 2 {
            self.older.clear();
        }
        self.rotated = now;
    }
}
