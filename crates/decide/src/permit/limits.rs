//! Limits that targets name, as known to one node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{ReportedLimit, TargetId};

use super::LimitObservation;

/// Time for which an observation is kept whose target is no longer known or names no limit any
/// more: entries that expire around an outage of the store reappear, and peers may send older
/// observations.
const RETENTION: Duration = Duration::from_secs(60);

/// Time without requests from this node after which a target is probed: it may be faster by now,
/// and only its answers show that its limit has ended.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// Effect of an observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target named a limit, or a different one, in requests per second.
    Named(f64),
    /// The target no longer names a limit.
    Ended,
    /// The target named a limit that cannot be parsed; the known one stays in force.
    Unreadable,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    limit: LimitObservation,
    /// This node sends nothing to the target before this time.
    closed_until: Time,
    /// When this node last requested a permit.
    requested_at: Time,
}

/// Limits of the targets that name one.
#[derive(Debug, Default)]
pub struct Limits {
    entries: BTreeMap<TargetId, Entry>,
    unreadable: BTreeSet<TargetId>,
}

impl Limits {
    /// Whether no target names a limit.
    pub fn is_empty(&self) -> bool {
        self.limited().next().is_none()
    }

    /// Limit of a target, in requests per second.
    pub fn get(&self, id: &TargetId) -> Option<f64> {
        self.entries.get(id)?.limit.per_s
    }

    /// Targets that name a limit, with the limit in requests per second.
    pub fn limited(&self) -> impl Iterator<Item = (&TargetId, f64)> {
        self.entries.iter().filter_map(|(id, entry)| Some((id, entry.limit.per_s?)))
    }

    /// Time before which this node sends nothing to a target that names a limit.
    pub fn closed_until(&self, id: &TargetId) -> Option<Time> {
        let entry = self.entries.get(id)?;
        entry.limit.per_s.map(|_| entry.closed_until)
    }

    /// Whether this node sends nothing to a target now.
    pub fn is_closed(&self, id: &TargetId, now: Time) -> bool {
        self.closed_until(id).is_some_and(|until| now < until)
    }

    /// Whether a target that names a limit should get a request now, however slow it seemed.
    pub fn needs_probe(&self, id: &TargetId, now: Time) -> bool {
        let entry = self.entries.get(id).filter(|entry| entry.limit.per_s.is_some());
        entry.is_some_and(|e| now >= e.closed_until && now.since(e.requested_at) >= PROBE_AFTER)
    }

    /// Records that this node needs a permit for a target; returns the latest observation of its
    /// limit, or `None` if it names none and no permit is needed.
    pub fn request_permit(&mut self, id: &TargetId, now: Time) -> Option<LimitObservation> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.limit.per_s.is_some())?;
        entry.requested_at = now;
        Some(entry.limit)
    }

    /// Sends nothing to a target before `until`.
    pub fn close(&mut self, id: &TargetId, until: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.closed_until = until;
        }
    }

    /// Records the limit in an answer to a request that was sent at `sent_at`.
    pub fn record(
        &mut self,
        id: &TargetId,
        report: ReportedLimit,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let per_s = match report {
            ReportedLimit::Unreadable => {
                return self.unreadable.insert(id.clone()).then_some(LimitChange::Unreadable);
            }
            ReportedLimit::None => None,
            ReportedLimit::PerSecond(per_s) => Some(per_s),
        };
        self.unreadable.remove(id);
        self.merge(id, LimitObservation { per_s, sent_at, received_at: now })
    }

    /// Merges an observation from an answer or a peer.
    pub fn merge(&mut self, id: &TargetId, limit: LimitObservation) -> Option<LimitChange> {
        let Some(entry) = self.entries.get_mut(id) else {
            let per_s = limit.per_s?;
            self.entries.insert(
                id.clone(),
                Entry { limit, closed_until: Time::ZERO, requested_at: limit.received_at },
            );
            return Some(LimitChange::Named(per_s));
        };
        let before = entry.limit.per_s;
        entry.limit = entry.limit.merge(limit);
        match entry.limit.per_s {
            after if after == before => None,
            Some(per_s) => Some(LimitChange::Named(per_s)),
            None => Some(LimitChange::Ended),
        }
    }

    /// Drops targets that are no longer known, and limits that ended long ago.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        let is_kept = |id: &TargetId, entry: &Entry| {
            let is_recent = now.since(entry.limit.received_at) < RETENTION;
            is_recent || (entry.limit.per_s.is_some() && is_known(id))
        };
        self.entries.retain(|id, entry| is_kept(id, entry));
        self.unreadable.retain(is_known);
    }
}
