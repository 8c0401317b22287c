//! What is known for good of one start of a target, and what it asked of this node: that it leaves,
//! as its answers or its entry said, that its entry was gone, and that it wants nothing for a while.
//!
//! Kept apart from what discovery says now, which may come later, may be older, and may lapse for a
//! moment.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{Notice, RetryAfter, TargetId};

/// Time for which a notice is remembered of a target that discovery does not know any more.
const RETENTION: Duration = Duration::from_secs(600);

/// Time for which a request is waited for that shows whether a backoff is over, before another one is
/// sent_at there.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a backoff is remembered that no answer has ended.
const BACKOFF_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a target is remembered whose entry is gone: copies of the store are younger.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeChange {
    /// The target leaves.
    Draining,
    /// It wants nothing for so long from now on.
    BackedOff(Duration),
    /// It wants nothing for a time that cannot be read.
    Unreadable,
}

/// A target that wants nothing for a while. Once that is over it gets one request at a time, until
/// one was answered: it may be as full as before.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    until: Time,
    /// When it last got a request since.
    probed_at: Option<Time>,
}

impl Backoff {
    /// Until when it gets nothing.
    fn ends_at(&self) -> Time {
        self.probed_at.map_or(self.until, |at| self.until.max(at + PROBE_INTERVAL))
    }
}

/// Notices of all targets.
#[derive(Debug, Default)]
pub struct Notices {
    /// When each was last known.
    draining: BTreeMap<TargetId, Time>,
    backoffs: BTreeMap<TargetId, Backoff>,
    unreadable: BTreeSet<TargetId>,
    /// When the entry of each went.
    removed: BTreeMap<TargetId, Time>,
}

impl Notices {
    /// Takes what an answer says; returns what is new.
    pub fn record(&mut self, id: &TargetId, notice: Notice, now: Time) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if notice.leaving && self.note_draining(id, now) {
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

    /// A target leaves; returns whether that is new.
    pub fn note_draining(&mut self, id: &TargetId, now: Time) -> bool {
        self.draining.insert(id.clone(), now).is_none()
    }

    /// The entry of a target is gone.
    pub fn note_removed(&mut self, id: &TargetId, now: Time) {
        self.removed.insert(id.clone(), now);
    }

    /// The entry of a target is there again, and not from an older copy of the store.
    pub fn note_present(&mut self, id: &TargetId) {
        self.removed.remove(id);
    }

    /// Whether the entry of a target was gone a while ago.
    pub fn was_removed(&self, id: &TargetId) -> bool {
        self.removed.contains_key(id)
    }

    /// Whether a target has notice that it leaves.
    pub fn is_draining(&self, id: &TargetId) -> bool {
        self.draining.contains_key(id)
    }

    /// Targets that have notice that they leave.
    pub fn draining(&self) -> impl Iterator<Item = &TargetId> {
        self.draining.keys()
    }

    /// Until when a target gets nothing, if it does not now.
    pub fn backoff_until(&self, id: &TargetId, now: Time) -> Option<Time> {
        self.backoffs.get(id).map(Backoff::ends_at).filter(|at| now < *at)
    }

    /// Targets that get nothing now, since they want backoff.
    pub fn backed_off(&self, now: Time) -> impl Iterator<Item = &TargetId> {
        self.backoffs.iter().filter(move |(_, backoff)| now < backoff.ends_at()).map(|(id, _)| id)
    }

    /// A request goes to a target; returns whether it is to show that a backoff is over.
    pub fn note_attempt(&mut self, id: &TargetId, now: Time) -> bool {
        let Some(backoff) = self.backoffs.get_mut(id) else {
            return false;
        };
        backoff.probed_at = Some(now);
        true
    }

    /// A target took a request that was sent_at at `sent_at`; returns whether that ends a backoff.
    pub fn note_accepted(&mut self, id: &TargetId, sent_at: Time) -> bool {
        let is_over = self.backoffs.get(id).is_some_and(|backoff| sent_at >= backoff.until);
        is_over && self.backoffs.remove(id).is_some()
    }

    /// Forgets what is over, and targets that are known no longer.
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
