//! Requests that were answered whole a while ago.

use std::collections::HashSet;
use std::time::Duration;

use model::Time;
use model::forward::Fingerprint;

/// Time after which the older half is forgotten: what is common is answered more often.
const HALF: Duration = Duration::from_secs(30);
/// Requests in one half at most: 150 KB.
const HALF_MOST: usize = 4096;

/// Two halves, the newer of which grows.
#[derive(Debug, Default)]
pub(super) struct Answered {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    turned: Time,
}

impl Answered {
    /// A request was answered whole.
    pub(super) fn note(&mut self, request: Fingerprint, now: Time) {
        self.turn(now);
        self.newer.insert(request);
    }

    /// Whether a request was answered whole in the last 30 s, or up to 60 s ago.
    pub(super) fn has(&mut self, request: Fingerprint, now: Time) -> bool {
        self.turn(now);
        self.newer.contains(&request) || self.older.contains(&request)
    }

    fn turn(&mut self, now: Time) {
        let age = now.since(self.turned);
        if age < HALF && self.newer.len() < HALF_MOST {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= HALF * 2 {
            self.older.clear();
        }
        self.turned = now;
    }
}
