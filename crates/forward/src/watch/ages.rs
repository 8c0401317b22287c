//! How old what this node knows is, for each kind of object: the time since the store last
//! confirmed it, to this node or to a peer that it follows.

use std::cell::Cell;
use std::time::Duration;

use decide::relay::waits;
use model::Time;

use crate::border::Kind;

/// Age of one kind: now, and the greatest since the kind was first known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Age {
    /// Time since it was last confirmed.
    pub current: Duration,
    /// Greatest age that it ever reached.
    pub max: Duration,
}

#[derive(Debug, Default)]
struct KindAge {
    confirmed: Cell<Option<Time>>,
    max: Cell<Duration>,
    is_stale: Cell<bool>,
}

/// Ages of all kinds.
#[derive(Debug, Default)]
pub struct Ages([KindAge; Kind::AGED.len()]);

impl Ages {
    fn of(&self, kind: Kind) -> &KindAge {
        &self.0[kind as usize]
    }

    /// The store confirmed a kind at this time; earlier news change nothing.
    pub fn confirm(&self, kind: Kind, at: Time, now: Time) {
        let state = self.of(kind);
        let Some(last) = state.confirmed.get() else {
            state.confirmed.set(Some(at));
            return;
        };
        state.max.set(state.max.get().max(now.since(last)));
        state.confirmed.set(Some(last.max(at)));
    }

    /// Age of a kind if it has become old, or has been confirmed after that, since the last look.
    pub fn take_transition(&self, kind: Kind, now: Time) -> Option<(bool, Age)> {
        let age = self.age(kind, now)?;
        let is_stale = age.current >= waits::STALE_AFTER;
        let was_stale = self.of(kind).is_stale.replace(is_stale);
        (is_stale != was_stale).then_some((is_stale, age))
    }

    /// Nothing is known of a kind yet.
    pub fn clear(&self, kind: Kind) {
        self.of(kind).confirmed.set(None);
    }

    /// When a kind was last confirmed, if it ever was.
    pub fn confirmed(&self, kind: Kind) -> Option<Time> {
        self.of(kind).confirmed.get()
    }

    /// Age of a kind; `None` if it is not known.
    pub fn age(&self, kind: Kind, now: Time) -> Option<Age> {
        let state = self.of(kind);
        let age = now.since(state.confirmed.get()?);
        Some(Age { current: age, max: state.max.get().max(age) })
    }
}
