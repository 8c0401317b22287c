//! Requests that recently received a complete answer.

use std::collections::HashSet;
use std::time::Duration;

use model::Time;
use model::forward::Fingerprint;

/// Interval between rotations, which drop the older generation. Common requests are answered more
/// often than this.
const GENERATION_PERIOD: Duration = Duration::from_secs(30);
/// Maximum requests in a generation, which take about 150 KB.
const MAX_GENERATION: usize = 4096;

/// A set in two generations. Only the newer one grows.
#[derive(Debug, Default)]
pub(super) struct Answered {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    rotated: Time,
}

impl Answered {
    /// Records that a request received a complete answer.
    pub(super) fn record(&mut self, request: Fingerprint, now: Time) {
        self.rotate(now);
        self.newer.insert(request);
    }

    /// Whether a request received a complete answer in the last 30 s. Answers up to 60 s old may
    /// still count.
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
