//! The targets' state as this node has it, and what its peers can follow of it.
//!
//! Evacuations and roll-outs are part of that state where they are followed. The store is asked
//! for them less often than for targets, so they may be older before the state is no use.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use decide::relay::History;
use model::Time;
use model::forward::TargetChange;
use tokio::sync::watch;

use super::ages::{Age, Ages};
use super::millis;
use super::snapshot::SnapshotCache;
use crate::border::ObjectKind;
use crate::events::Event;

/// Age from which on the state is no use to a peer, which then asks another one.
const STALE: Duration = Duration::from_millis(1_600);
/// Time by which lists may be older than targets: a watch of theirs lasts so much longer.
const LISTS_OLDER: Duration = Duration::from_millis(500);
/// Kinds that operators keep as lists.
const LISTS: [ObjectKind; 2] = [ObjectKind::Evacuations, ObjectKind::Rollouts];

/// Revision, history and age of the targets' state.
#[derive(Debug)]
pub struct Feed {
    history: RefCell<History<TargetChange>>,
    /// Epoch of the store that the history is of.
    epoch: Cell<u64>,
    ages: Ages,
    out_of_touch: Cell<bool>,
    news: watch::Sender<()>,
    reads_store: watch::Sender<bool>,
    /// For those that know nothing yet.
    pub snapshot: SnapshotCache,
}

impl Default for Feed {
    fn default() -> Self {
        let ages = Ages::default();
        for kind in LISTS {
            // Not followed, so never too old.
            ages.confirm(kind, Time::NEVER, Time::ZERO);
        }
        Feed {
            history: RefCell::default(),
            epoch: Cell::new(0),
            ages,
            out_of_touch: Cell::new(false),
            news: watch::Sender::new(()),
            reads_store: watch::Sender::new(false),
            snapshot: SnapshotCache::default(),
        }
    }
}

impl Feed {
    /// A list is part of the state from now on.
    pub fn follow(&self, kind: ObjectKind) {
        self.ages.forget(kind);
    }

    /// Revision that the state is at; `None` if none was ever read.
    pub fn at(&self) -> Option<u64> {
        Some(self.history.borrow().at()).filter(|at| *at > 0)
    }

    /// Epoch of the store that the state is of.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Age of the state: time since the store confirmed it, that of lists less what they may
    /// be older.
    pub fn age(&self, now: Time) -> Duration {
        let lists_at = LISTS.map(|kind| self.ages.confirmed(kind).map(|at| at + LISTS_OLDER));
        let oldest =
            lists_at.into_iter().fold(self.ages.confirmed(ObjectKind::Targets), Option::min);
        oldest.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Age of one kind; `None` if it is not known, or not followed.
    pub fn age_of(&self, kind: ObjectKind, now: Time) -> Option<Age> {
        let is_followed = self.ages.confirmed(kind) != Some(Time::NEVER);
        self.ages.age(kind, now).filter(|_| is_followed)
    }

    /// Tells of kinds that have become old, or are no longer.
    pub fn tell_old(&self, now: Time) {
        for kind in ObjectKind::AGE_TRACKED {
            if let Some((old, age)) = self.ages.turn(kind, now) {
                let (age_ms, longest_ms) = (millis(age.now), millis(age.longest));
                Event::Known { kind: kind.as_str(), old, age_ms, longest_ms }.emit();
            }
        }
    }

    /// Whether this node's own source fails it, which for a relay is the store alone. Those that
    /// follow this node are told at once, for better or worse.
    pub fn set_out_of_touch(&self, is_out: bool) {
        if self.out_of_touch.replace(is_out) != is_out {
            self.wake();
        }
    }

    /// Whether this node's own source fails it.
    pub fn is_out_of_touch(&self) -> bool {
        self.out_of_touch.get()
    }

    /// Whether an answer of this age is worth following.
    pub fn is_stale(age: Duration) -> bool {
        age > STALE
    }

    /// A peer told of a state of this age, from which what lists may be older is off.
    pub fn confirm_all(&self, at: Time, now: Time) {
        self.confirm(ObjectKind::Targets, at, now);
        for kind in LISTS {
            self.confirm(kind, at - LISTS_OLDER, now);
        }
    }

    /// The store confirmed a kind at this time.
    pub fn confirm(&self, kind: ObjectKind, at: Time, now: Time) {
        let was_stale = Feed::is_stale(self.age(now));
        self.ages.confirm(kind, at, now);
        if was_stale && !Feed::is_stale(self.age(now)) {
            self.wake();
        }
    }

    /// Whether this node reads the store from now on: as a relay, or for want of one.
    pub fn set_reads_store(&self, reads: bool) {
        self.reads_store.send_if_modified(|was| std::mem::replace(was, reads) != reads);
    }

    /// Returns once this node reads the store.
    pub async fn reads_store(&self) {
        let mut reads = self.reads_store.subscribe();
        let _ = reads.wait_for(|reads| *reads).await;
    }

    /// The whole state was read at a revision of an epoch.
    pub fn restart(&self, epoch: u64, at: u64) {
        self.epoch.set(epoch);
        self.history.borrow_mut().restart(at);
        self.wake();
    }

    /// Changes up to a revision were taken.
    pub fn append(&self, at: u64, changes: Vec<TargetChange>) {
        let news = !changes.is_empty();
        self.history.borrow_mut().append(at, changes);
        if news {
            self.wake();
        }
    }

    /// Changes after a revision; `None` if the whole state is needed.
    pub fn since(&self, at: u64) -> Option<Vec<TargetChange>> {
        self.history.borrow().since(at)
    }

    /// Tells those that wait that there is news.
    pub fn wake(&self) {
        self.news.send_replace(());
    }

    /// Tells whenever there is news.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }
}
