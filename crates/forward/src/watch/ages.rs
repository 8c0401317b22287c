//! Age of this node's state for each kind of object: the time since the store last confirmed it,
//! to this node or to a peer that it follows.

use std::cell::Cell;
use std::time::Duration;

use decide::relay::waits;
use model::Time;

use crate::border::ObjectKind;

/// Age of one kind of object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Age {
    /// Time since the last confirmation.
    pub current: Duration,
    /// Maximum age since the kind was first confirmed.
    pub max: Duration,
}

#[derive(Debug, Default)]
struct KindAge {
    confirmed: Cell<Option<Time>>,
    max: Cell<Duration>,
    is_stale: Cell<bool>,
}

/// Ages of all kinds that decisions depend on.
#[derive(Debug, Default)]
pub struct Ages([KindAge; ObjectKind::AGE_TRACKED.len()]);

impl Ages {
    fn of(&self, kind: ObjectKind) -> &KindAge {
        &self.0[kind as usize]
    }

    /// Records that the store confirmed a kind at `at`. A confirmation before the last one has no
    /// effect.
    pub fn confirm(&self, kind: ObjectKind, at: Time, now: Time) {
        let state = self.of(kind);
        let Some(last) = state.confirmed.get() else {
            state.confirmed.set(Some(at));
            return;
        };
        state.max.set(state.max.get().max(now.since(last)));
        state.confirmed.set(Some(last.max(at)));
    }

    /// Returns whether a kind is stale, and its age, if that has changed since the last call.
    pub fn take_transition(&self, kind: ObjectKind, now: Time) -> Option<(bool, Age)> {
        let age = self.age(kind, now)?;
        let is_stale = age.current >= waits::STALE_AFTER;
        let was_stale = self.of(kind).is_stale.replace(is_stale);
        (is_stale != was_stale).then_some((is_stale, age))
    }

    /// Marks a kind as never confirmed.
    pub fn clear(&self, kind: ObjectKind) {
        self.of(kind).confirmed.set(None);
    }

    /// Time of a kind's last confirmation; `None` if there was none.
    pub fn confirmed(&self, kind: ObjectKind) -> Option<Time> {
        self.of(kind).confirmed.get()
    }

    /// Age of a kind; `None` if it was never confirmed.
    pub fn age(&self, kind: ObjectKind, now: Time) -> Option<Age> {
        let state = self.of(kind);
        let age = now.since(state.confirmed.get()?);
        Some(Age { current: age, max: state.max.get().max(age) })
    }
}
