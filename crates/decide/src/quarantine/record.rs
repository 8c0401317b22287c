//! Records of held requests in the store, which preserve the holds when all nodes restart.
//! Operators can see there which requests are held, and release one by deleting its object.

use model::forward::{CrashReport, Fingerprint, HeldRecord, SuspectReport, TargetId};
use model::member::Node;
use model::{Name, Time};

use super::gossip::replicas;
use super::{Changes, HELD_TTL, Quarantine};

impl Quarantine {
    /// Records that this node must write to the store: those of the held requests whose first
    /// replica it is and that the store lacks.
    pub fn unstored_records(&self, me: &Name, peers: &[Node], unix_ms: u64) -> Vec<HeldRecord> {
        let peers = &self.supporting(peers)[..];
        let unstored = self.suspects.iter().filter(|(_, c)| c.is_held() && !c.is_stored);
        let is_first_replica =
            |request| replicas(request, me, peers).first().is_some_and(Option::is_none);
        let assigned = unstored.filter(|(request, _)| is_first_replica(**request));
        assigned.map(|(request, suspect)| suspect.to_record(*request, unix_ms)).collect()
    }

    /// Records that the store has a request, if it is still held.
    pub fn mark_stored(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.is_stored = suspect.is_held();
        }
    }

    /// Marks all requests as missing from the store, because it was restored from an older backup.
    pub fn clear_stored(&mut self) {
        self.suspects.values_mut().for_each(|suspect| suspect.is_stored = false);
    }

    /// Merges a record of the store; returns what changed, and whether the request has been
    /// released since, so that the record must be deleted.
    pub fn merge_record(
        &mut self,
        record: &HeldRecord,
        unix_ms: u64,
        now: Time,
    ) -> (Changes, bool) {
        // The writer's clock may be off, so the age is capped at the time a held request is kept.
        let age_ms = unix_ms.saturating_sub(record.since).min(HELD_TTL.as_millis() as u64);
        let end = |target: &TargetId| {
            let target = target.clone();
            CrashReport { target, age_ms, cleared: false, under: None }
        };
        let report = SuspectReport {
            request: record.request,
            is_part: record.is_part,
            service: record.service.clone(),
            crashes: record.targets.iter().map(end).collect(),
            tries: 0,
            tried_ms: 0,
            received_ms: 0,
        };
        // Crashes already known as cleared stay cleared.
        let changes = self.merge(None, &[report], now);
        self.mark_stored(record.request);
        let is_released = self.suspects.get(&record.request).is_some_and(|c| !c.is_held());
        (changes, is_released)
    }
}
