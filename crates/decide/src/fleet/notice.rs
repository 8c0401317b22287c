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
const KEPT: Duration = Duration::from_secs(600);

/// Time for which a request is waited for that shows whether a rest is over, before another one is
/// sent there.
const PROBES_APART: Duration = Duration::from_millis(500);
/// Time for which a rest is remembered that no answer has ended.
const REST_KEPT: Duration = Duration::from_secs(60);

/// Time for which a target is remembered whose entry is gone: copies of the store are younger.
const GONE_KEPT: Duration = Duration::from_secs(60);

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeChange {
    /// The target leaves.
    Leaves,
    /// It wants nothing for so long from now on.
    Rests(Duration),
    /// It wants nothing for a time that cannot be read.
    Unreadable,
}

/// A target that wants nothing for a while. Once that is over it gets one request at a time, until
/// one was answered: it may be as full as before.
#[derive(Debug, Clone, Copy, Default)]
struct Rest {
    until: Time,
    /// When it last got a request since.
    probed: Option<Time>,
}

impl Rest {
    /// Until when it gets nothing.
    fn ends(&self) -> Time {
        self.probed.map_or(self.until, |at| self.until.max(at + PROBES_APART))
    }
}

/// Notices of all targets.
#[derive(Debug, Default)]
pub struct Notices {
    /// When each was last known.
    leaving: BTreeMap<TargetId, Time>,
    rests: BTreeMap<TargetId, Rest>,
    unreadable: BTreeSet<TargetId>,
    /// When the entry of each went.
    gone: BTreeMap<TargetId, Time>,
}

impl Notices {
    /// Takes what an answer says; returns what is new.
    pub fn hear(&mut self, id: &TargetId, said: Notice, now: Time) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if said.leaving && self.note_leaving(id, now) {
            changes.push(NoticeChange::Leaves);
        }
        match said.retry_after {
            RetryAfter::None => {}
            RetryAfter::After(time) => {
                self.unreadable.remove(id);
                let rest = self.rests.entry(id.clone()).or_default();
                let begins = rest.until <= now;
                *rest = Rest { until: rest.until.max(now + time), probed: None };
                if begins {
                    changes.push(NoticeChange::Rests(time));
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
    pub fn note_leaving(&mut self, id: &TargetId, now: Time) -> bool {
        self.leaving.insert(id.clone(), now).is_none()
    }

    /// The entry of a target is gone.
    pub fn note_gone(&mut self, id: &TargetId, now: Time) {
        self.gone.insert(id.clone(), now);
    }

    /// The entry of a target is there again, and not from an older copy of the store.
    pub fn note_back(&mut self, id: &TargetId) {
        self.gone.remove(id);
    }

    /// Whether the entry of a target was gone a while ago.
    pub fn was_gone(&self, id: &TargetId) -> bool {
        self.gone.contains_key(id)
    }

    /// Whether a target has said that it leaves.
    pub fn leaves(&self, id: &TargetId) -> bool {
        self.leaving.contains_key(id)
    }

    /// Targets that have said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &TargetId> {
        self.leaving.keys()
    }

    /// Until when a target gets nothing, if it does not now.
    pub fn rests_until(&self, id: &TargetId, now: Time) -> Option<Time> {
        self.rests.get(id).map(Rest::ends).filter(|ends| now < *ends)
    }

    /// Targets that get nothing now, since they want rest.
    pub fn resting(&self, now: Time) -> impl Iterator<Item = &TargetId> {
        self.rests.iter().filter(move |(_, rest)| now < rest.ends()).map(|(id, _)| id)
    }

    /// A request goes to a target; returns whether it is to show that a rest is over.
    pub fn sent(&mut self, id: &TargetId, now: Time) -> bool {
        let Some(rest) = self.rests.get_mut(id) else {
            return false;
        };
        rest.probed = Some(now);
        true
    }

    /// A target took a request that was sent at `sent`; returns whether that ends a rest.
    pub fn took(&mut self, id: &TargetId, sent: Time) -> bool {
        let is_over = self.rests.get(id).is_some_and(|rest| sent >= rest.until);
        is_over && self.rests.remove(id).is_some()
    }

    /// Forgets what is over, and targets that are known no longer.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        self.leaving.retain(|id, known| {
            if is_known(id) {
                *known = now;
            }
            now.since(*known) < KEPT
        });
        self.rests.retain(|_, rest| now.since(rest.until) < REST_KEPT);
        self.gone.retain(|_, at| now.since(*at) < GONE_KEPT);
        self.unreadable.retain(is_known);
    }
}
