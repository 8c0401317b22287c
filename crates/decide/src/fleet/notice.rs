//! What targets report about further requests, and facts about one start of a target that stay
//! true: that it is draining, according to its answers or its entry, that its entry was removed,
//! and that it asked for a backoff.
//!
//! Kept apart from the state that discovery reports, which may arrive later, be older, or lapse for
//! a moment.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{Notice, RetryAfter, TargetId};

/// Time for which draining is remembered of a target that discovery no longer lists.
const RETENTION: Duration = Duration::from_secs(600);

/// Time to wait for the answer to a probe after a backoff before another one is sent.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its end for which a backoff is remembered that no answer has cleared.
const BACKOFF_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a removed entry is remembered: copies of the store are younger than that.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// New information in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeChange {
    /// The target is draining.
    Draining,
    /// It asked for no requests for this long.
    BackedOff(Duration),
    /// It asked for a backoff whose duration cannot be parsed.
    Unreadable,
}

/// Backoff that a target asked for. After its end the target gets one request at a time until one
/// is answered, because it may be as full as before.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    until: Time,
    /// When the last request was sent since the backoff was set.
    probed_at: Option<Time>,
}

impl Backoff {
    /// When the target may get its next request.
    fn ends_at(&self) -> Time {
        self.probed_at.map_or(self.until, |at| self.until.max(at + PROBE_INTERVAL))
    }
}

/// Notices of all targets.
#[derive(Debug, Default)]
pub struct Notices {
    /// Draining targets, and when each was last known to discovery.
    draining: BTreeMap<TargetId, Time>,
    backoffs: BTreeMap<TargetId, Backoff>,
    unreadable: BTreeSet<TargetId>,
    /// Targets whose entry was removed, and when.
    removed: BTreeMap<TargetId, Time>,
}

impl Notices {
    /// Records the notice in an answer; returns what is new.
    pub fn record(&mut self, id: &TargetId, notice: Notice, now: Time) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if notice.leaving && self.mark_draining(id, now) {
            changes.push(NoticeChange::Draining);
        }
        match notice.retry_after {
            RetryAfter::None => {}
            RetryAfter::After(time) => {
                self.unreadable.remove(id);
                let backoff = self.backoffs.entry(id.clone()).or_default();
                let is_new = backoff.until <= now;
                *backoff = Backoff { until: backoff.until.max(now + time), probed_at: None };
                if is_new {
                    changes.push(NoticeChange::BackedOff(time));
                }
            }
            RetryAfter::Unreadable if self.unreadable.insert(id.clone()) => {
                changes.push(NoticeChange::Unreadable);
            }
            RetryAfter::Unreadable => {}
        }
        changes
    }

    /// Marks a target as draining; returns whether that is new.
    pub fn mark_draining(&mut self, id: &TargetId, now: Time) -> bool {
        self.draining.insert(id.clone(), now).is_none()
    }

    /// Records that a target's entry was removed.
    pub fn mark_removed(&mut self, id: &TargetId, now: Time) {
        self.removed.insert(id.clone(), now);
    }

    /// Records that a target's entry exists again, and not from an older copy of the store.
    pub fn mark_present(&mut self, id: &TargetId) {
        self.removed.remove(id);
    }

    /// Whether a target's entry was removed recently.
    pub fn was_removed(&self, id: &TargetId) -> bool {
        self.removed.contains_key(id)
    }

    /// Whether a target has reported that it is draining.
    pub fn is_draining(&self, id: &TargetId) -> bool {
        self.draining.contains_key(id)
    }

    /// Targets that have reported that they are draining.
    pub fn draining(&self) -> impl Iterator<Item = &TargetId> {
        self.draining.keys()
    }

    /// End of a target's backoff; `None` if it is not backed off now.
    pub fn backoff_until(&self, id: &TargetId, now: Time) -> Option<Time> {
        self.backoffs.get(id).map(Backoff::ends_at).filter(|at| now < *at)
    }

    /// Targets that are backed off now.
    pub fn backed_off(&self, now: Time) -> impl Iterator<Item = &TargetId> {
        self.backoffs.iter().filter(move |(_, backoff)| now < backoff.ends_at()).map(|(id, _)| id)
    }

    /// Records that a request is sent to a target; returns whether it is a probe after a backoff.
    pub fn record_attempt(&mut self, id: &TargetId, now: Time) -> bool {
        let Some(backoff) = self.backoffs.get_mut(id) else {
            return false;
        };
        backoff.probed_at = Some(now);
        true
    }

    /// Records that a target accepted a request sent at `sent_at`; returns whether that ends a
    /// backoff.
    pub fn record_accepted(&mut self, id: &TargetId, sent_at: Time) -> bool {
        let is_over = self.backoffs.get(id).is_some_and(|backoff| sent_at >= backoff.until);
        is_over && self.backoffs.remove(id).is_some()
    }

    /// Drops expired records, and those of targets that are no longer known.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        self.draining.retain(|id, known| {
            if is_known(id) {
                *known = now;
            }
            now.since(*known) < RETENTION
        });
        self.backoffs.retain(|_, backoff| now.since(backoff.until) < BACKOFF_RETENTION);
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.unreadable.retain(is_known);
    }
}
