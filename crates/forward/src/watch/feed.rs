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
use crate::border::Kind;
use crate::events::Event;

/// Age from which on the state is no use to a peer, which then asks another one.
const STALE_AGE: Duration = Duration::from_millis(1_600);
/// Time by which lists may be older than targets: a watch of theirs lasts so much longer.
const LIST_AGE_ALLOWANCE: Duration = Duration::from_millis(500);
/// Kinds that operators keep as lists.
const LIST_KINDS: [Kind; 2] = [Kind::Evacuations, Kind::Rollouts];

/// Revision, history and age of the targets' state.
#[derive(Debug)]
pub struct Feed {
    history: RefCell<History<TargetChange>>,
    /// Epoch of the store that the history is of.
    epoch: Cell<u64>,
    ages: Ages,
    out_of_touch: Cell<bool>,
    changed: watch::Sender<()>,
    reads_store: watch::Sender<bool>,
    /// For those that know nothing yet.
    pub snapshot: SnapshotCache,
}

impl Default for Feed {
    fn default() -> Self {
        let ages = Ages::default();
        for kind in LIST_KINDS {
            // Not followed, so never too old.
            ages.confirm(kind, Time::NEVER, Time::ZERO);
        }
        Feed {
            history: RefCell::default(),
            epoch: Cell::new(0),
            ages,
            out_of_touch: Cell::new(false),
            changed: watch::Sender::new(()),
            reads_store: watch::Sender::new(false),
            snapshot: SnapshotCache::default(),
        }
    }
}

impl Feed {
    /// A list is part of the state from now on.
    pub fn follow(&self, kind: Kind) {
        self.ages.clear(kind);
    }

    /// Revision that the state is at; `None` if none was ever read.
    pub fn revision(&self) -> Option<u64> {
        Some(self.history.borrow().at()).filter(|at| *at > 0)
    }

    /// Epoch of the store that the state is of.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Age of the state: time since the store confirmed it, that of lists less what they may
    /// be older.
    pub fn age(&self, now: Time) -> Duration {
        let lists_at =
            LIST_KINDS.map(|kind| self.ages.confirmed(kind).map(|at| at + LIST_AGE_ALLOWANCE));
        let oldest = lists_at.into_iter().fold(self.ages.confirmed(Kind::Targets), Option::min);
        oldest.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Age of one kind; `None` if it is not known, or not followed.
    pub fn age_of(&self, kind: Kind, now: Time) -> Option<Age> {
        let is_followed = self.ages.confirmed(kind) != Some(Time::NEVER);
        self.ages.age(kind, now).filter(|_| is_followed)
    }

    /// Tells of kinds that have become old, or are no longer.
    pub fn log_stale_kinds(&self, now: Time) {
        for kind in Kind::AGED {
            if let Some((old, age)) = self.ages.take_transition(kind, now) {
                let (age_ms, longest_ms) = (millis(age.current), millis(age.max));
                Event::Known { kind: kind.as_str(), old, age_ms, longest_ms }.emit();
            }
        }
    }

    /// Whether this node's own source fails it, which for a relay is the store alone. Those that
    /// follow this node are told at once, for better or worse.
    pub fn set_out_of_touch(&self, out_of_touch: bool) {
        if self.out_of_touch.replace(out_of_touch) != out_of_touch {
            self.notify();
        }
    }

    /// Whether this node's own source fails it.
    pub fn is_out_of_touch(&self) -> bool {
        self.out_of_touch.get()
    }

    /// Whether an answer of this age is worth following.
    pub fn is_stale(age: Duration) -> bool {
        age > STALE_AGE
    }

    /// A peer told of a state of this age, from which what lists may be older is off.
    pub fn confirm_all(&self, at: Time, now: Time) {
        self.confirm(Kind::Targets, at, now);
        for kind in LIST_KINDS {
            self.confirm(kind, at - LIST_AGE_ALLOWANCE, now);
        }
    }

    /// The store confirmed a kind at this time.
    pub fn confirm(&self, kind: Kind, at: Time, now: Time) {
        let was_stale = Feed::is_stale(self.age(now));
        self.ages.confirm(kind, at, now);
        if was_stale && !Feed::is_stale(self.age(now)) {
            self.notify();
        }
    }

    /// Whether this node reads the store from now on: as a relay, or for want of one.
    pub fn set_reads_store(&self, reads: bool) {
        self.reads_store.send_if_modified(|was| std::mem::replace(was, reads) != reads);
    }

    /// Returns once this node reads the store.
    pub async fn until_reads_store(&self) {
        let mut reads = self.reads_store.subscribe();
        let _ = reads.wait_for(|reads| *reads).await;
    }

    /// The whole state was read at a revision of an epoch.
    pub fn restart(&self, epoch: u64, revision: u64) {
        self.epoch.set(epoch);
        self.history.borrow_mut().restart(revision);
        self.notify();
    }

    /// Changes up to a revision were taken.
    pub fn append(&self, revision: u64, changes: Vec<TargetChange>) {
        let has_changes = !changes.is_empty();
        self.history.borrow_mut().append(revision, changes);
        if has_changes {
            self.notify();
        }
    }

    /// Changes after a revision; `None` if the whole state is needed.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<TargetChange>> {
        self.history.borrow().since(revision)
    }

    /// Tells those that wait that there is news.
    pub fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Tells whenever there is news.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}
