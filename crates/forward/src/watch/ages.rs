//! How old what this node knows is, for each kind of object: the time since the store last
//! confirmed it, to this node or to a peer that it follows.

use std::cell::Cell;
use std::time::Duration;

use decide::relay::waits;
use model::Time;

use crate::border::ObjectKind;

/// Age of one kind: now, and the greatest since the kind was first known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Age {
    /// Time since it was last confirmed.
    pub now: Duration,
    /// Greatest age that it ever reached.
    pub longest: Duration,
}

#[derive(Debug, Default)]
struct Known {
    confirmed: Cell<Option<Time>>,
    longest: Cell<Duration>,
    is_old: Cell<bool>,
}

/// Ages of all kinds.
#[derive(Debug, Default)]
pub struct Ages([Known; ObjectKind::AGE_TRACKED.len()]);

impl Ages {
    fn of(&self, kind: ObjectKind) -> &Known {
        &self.0[kind as usize]
    }

    /// The store confirmed a kind at this time; earlier news change nothing.
    pub fn confirm(&self, kind: ObjectKind, at: Time, now: Time) {
        let known = self.of(kind);
        let Some(before) = known.confirmed.get() else {
            known.confirmed.set(Some(at));
            return;
        };
        known.longest.set(known.longest.get().max(now.since(before)));
        known.confirmed.set(Some(before.max(at)));
    }

    /// Age of a kind if it has become old, or has been confirmed after that, since the last look.
    pub fn turn(&self, kind: ObjectKind, now: Time) -> Option<(bool, Age)> {
        let age = self.age(kind, now)?;
        let is_old = age.now >= waits::STALE_AFTER;
        let was_old = self.of(kind).is_old.replace(is_old);
        (is_old != was_old).then_some((is_old, age))
    }

    /// Nothing is known of a kind yet.
    pub fn forget(&self, kind: ObjectKind) {
        self.of(kind).confirmed.set(None);
    }

    /// When a kind was last confirmed, if it ever was.
    pub fn confirmed(&self, kind: ObjectKind) -> Option<Time> {
        self.of(kind).confirmed.get()
    }

    /// Age of a kind; `None` if it is not known.
    pub fn age(&self, kind: ObjectKind, now: Time) -> Option<Age> {
        let known = self.of(kind);
        let age = now.since(known.confirmed.get()?);
        Some(Age { now: age, longest: known.longest.get().max(age) })
    }
}
