//! What the store keeps of requests that are held, so that they stay so when all nodes start
//! again. Operators see there what is held, and release it by deleting its object.

use model::forward::{EndNews, Fingerprint, HeldRecord, SuspectNews};
use model::member::Node;
use model::{Name, Time};

use super::news::keepers;
use super::{Changes, HELD_FOR, Quarantine};

impl Quarantine {
    /// Requests that this node is to write to the store: those held whose first keeper it is.
    pub fn unwritten(&self, me: &Name, peers: &[Node], unix_ms: u64) -> Vec<HeldRecord> {
        let peers = &self.known(peers)[..];
        let unwritten = self.cases.iter().filter(|(_, c)| c.is_held() && !c.is_stored);
        let is_own = |request| keepers(request, me, peers).first().is_some_and(Option::is_none);
        let own = unwritten.filter(|(request, _)| is_own(**request));
        own.map(|(request, case)| case.record(*request, unix_ms)).collect()
    }

    /// The store has a request.
    pub fn stored(&mut self, request: Fingerprint) {
        if let Some(case) = self.cases.get_mut(&request) {
            case.is_stored = case.is_held();
        }
    }

    /// The store came back from an older copy: what was written there since is gone.
    pub fn restored(&mut self) {
        self.cases.values_mut().for_each(|case| case.is_stored = false);
    }

    /// Takes a record of the store; returns what changed, and whether the request has been
    /// released since, so that the record is to go.
    pub fn read(&mut self, record: &HeldRecord, unix_ms: u64, now: Time) -> (Changes, bool) {
        // No record is believed to be older than one is kept: its writer's clock may be off.
        let age_ms = unix_ms.saturating_sub(record.since).min(HELD_FOR.as_millis() as u64);
        let end = |target: &_| EndNews { target: Clone::clone(target), age_ms, cleared: false };
        let news = SuspectNews {
            request: record.request,
            service: record.service.clone(),
            ends: record.targets.iter().map(end).collect(),
            tries: 0,
            tried_ms: 0,
            came_ms: 0,
        };
        // What is known as cleared stays so.
        let changes = self.hear(None, &[news], now);
        self.stored(record.request);
        let is_over = self.cases.get(&record.request).is_some_and(|c| !c.is_held());
        (changes, is_over)
    }
}
