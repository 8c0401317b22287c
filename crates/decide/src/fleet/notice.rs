//! What targets told this node of themselves in their answers: that they leave, and that they want
//! nothing from it for a while.
//!
//! Kept by start of a target and apart from what discovery says, which may come later, may be
//! older, and may lapse for a moment.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{Notice, RetryAfter, TargetId};

/// Time for which a notice is remembered of a target that discovery does not know any more.
const KEPT: Duration = Duration::from_secs(600);

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

/// Notices of all targets.
#[derive(Debug, Default)]
pub struct Notices {
    /// When each was last known.
    leaving: BTreeMap<TargetId, Time>,
    /// Until when each wants nothing.
    rests: BTreeMap<TargetId, Time>,
    unreadable: BTreeSet<TargetId>,
}

impl Notices {
    /// Takes what an answer says; returns what is new.
    pub fn hear(&mut self, id: &TargetId, said: Notice, now: Time) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if said.leaving && self.leaving.insert(id.clone(), now).is_none() {
            changes.push(NoticeChange::Leaves);
        }
        match said.retry_after {
            RetryAfter::None => {}
            RetryAfter::After(time) => {
                self.unreadable.remove(id);
                let until = self.rests.entry(id.clone()).or_default();
                let begins = *until <= now;
                *until = (*until).max(now + time);
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

    /// Whether a target has said that it leaves.
    pub fn leaves(&self, id: &TargetId) -> bool {
        self.leaving.contains_key(id)
    }

    /// Targets that have said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &TargetId> {
        self.leaving.keys()
    }

    /// Until when a target wants nothing, if it does now.
    pub fn rests_until(&self, id: &TargetId, now: Time) -> Option<Time> {
        self.rests.get(id).copied().filter(|until| now < *until)
    }

    /// Forgets what is over, and targets that are known no longer.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        self.leaving.retain(|id, known| {
            if is_known(id) {
                *known = now;
            }
            now.since(*known) < KEPT
        });
        self.rests.retain(|_, until| now < *until);
        self.unreadable.retain(is_known);
    }
}
