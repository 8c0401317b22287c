//! What one node knows of the limits that targets name.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{NamedLimit, TargetId};

use super::LimitObservation;

/// Time for which a word is remembered whose target is known no longer, or names no limit any
/// more: entries that lapse around an outage of the store come back, and peers may tell older words.
const RETENTION: Duration = Duration::from_secs(60);

/// Time after which a target is due that this node asked nothing of: it may be faster by now than
/// it was, and that its limit is over shows by its answers alone.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// What a word changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target names a limit from now on, or another one.
    Named(f64),
    /// It names none any more.
    Ended,
    /// It names one that cannot be read; what was known of it holds.
    Unreadable,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    limit: LimitObservation,
    /// Until then this node sends nothing there.
    closed_until: Time,
    /// When this node last asked for a permit.
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
        self.named().next().is_none()
    }

    /// The limit that a target names, in requests a second.
    pub fn get(&self, id: &TargetId) -> Option<f64> {
        self.entries.get(id)?.limit.per_s
    }

    /// Targets that name a limit, with it.
    pub fn named(&self) -> impl Iterator<Item = (&TargetId, f64)> {
        self.entries.iter().filter_map(|(id, entry)| Some((id, entry.limit.per_s?)))
    }

    /// Until when this node sends nothing to a target, as far as is known.
    pub fn closed_until(&self, id: &TargetId) -> Option<Time> {
        let entry = self.entries.get(id)?;
        entry.limit.per_s.map(|_| entry.closed_until)
    }

    /// Whether this node sends nothing to a target now.
    pub fn is_closed(&self, id: &TargetId, now: Time) -> bool {
        self.closed_until(id).is_some_and(|until| now < until)
    }

    /// Whether a target that names a limit is to be asked now, however slow it seemed.
    pub fn needs_probe(&self, id: &TargetId, now: Time) -> bool {
        let entry = self.entries.get(id).filter(|entry| entry.limit.per_s.is_some());
        entry.is_some_and(|e| now >= e.closed_until && now.since(e.requested_at) >= PROBE_AFTER)
    }

    /// This node is to send to a target: the last word of it, if it names a limit, so that a
    /// permit is asked for.
    pub fn request_permit(&mut self, id: &TargetId, now: Time) -> Option<LimitObservation> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.limit.per_s.is_some())?;
        entry.requested_at = now;
        Some(entry.limit)
    }

    /// Nothing is to be sent to a target before this.
    pub fn close(&mut self, id: &TargetId, until: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.closed_until = until;
        }
    }

    /// Takes what an answer says whose request was sent at `sent`.
    pub fn record(
        &mut self,
        id: &TargetId,
        report: NamedLimit,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let per_s = match report {
            NamedLimit::Unreadable => {
                return self.unreadable.insert(id.clone()).then_some(LimitChange::Unreadable);
            }
            NamedLimit::None => None,
            NamedLimit::PerSecond(per_s) => Some(per_s),
        };
        self.unreadable.remove(id);
        self.merge(id, LimitObservation { per_s, sent_at, received_at: now })
    }

    /// Takes a word, of an answer or of a peer.
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

    /// Forgets targets that are known no longer, and limits that ended long ago.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        let is_kept = |id: &TargetId, entry: &Entry| {
            let is_recent = now.since(entry.limit.received_at) < RETENTION;
            is_recent || (entry.limit.per_s.is_some() && is_known(id))
        };
        self.entries.retain(|id, entry| is_kept(id, entry));
        self.unreadable.retain(is_known);
    }
}
