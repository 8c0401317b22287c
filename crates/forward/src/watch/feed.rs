//! This node's state of the targets, in the form that peers follow.
//!
//! Evacuations and rollouts are part of that state if they are followed. They are read from the
//! store less often than targets, so they may be older before the state counts as stale.

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

/// Age beyond which the state is stale for a follower, which then switches to another peer.
const STALE_AGE: Duration = Duration::from_millis(1_600);
/// Additional age allowed for lists, whose watches last this much longer than those of targets.
const LIST_AGE_ALLOWANCE: Duration = Duration::from_millis(500);
/// Kinds that operators maintain as lists.
const LIST_KINDS: [ObjectKind; 2] = [ObjectKind::Evacuations, ObjectKind::Rollouts];

/// State of the targets: revision, recent changes and age.
#[derive(Debug)]
pub struct Feed {
    history: RefCell<History<TargetChange>>,
    /// Epoch of the store that the history belongs to.
    epoch: Cell<u64>,
    ages: Ages,
    out_of_touch: Cell<bool>,
    changed: watch::Sender<()>,
    reads_store: watch::Sender<bool>,
    /// Encoded state for followers that have none yet.
    pub snapshot: SnapshotCache,
}

impl Default for Feed {
    fn default() -> Self {
        let ages = Ages::default();
        for kind in LIST_KINDS {
            // A list that is not followed never counts as stale.
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
    /// Makes a list part of the state.
    pub fn follow(&self, kind: ObjectKind) {
        self.ages.clear(kind);
    }

    /// Revision of the state; `None` if none was ever read.
    pub fn revision(&self) -> Option<u64> {
        Some(self.history.borrow().revision()).filter(|at| *at > 0)
    }

    /// Epoch of the store that the state belongs to.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Age of the state: the time since the store last confirmed all of it. Lists may be older by
    /// `LIST_AGE_ALLOWANCE`.
    pub fn age(&self, now: Time) -> Duration {
        let lists_at =
            LIST_KINDS.map(|kind| self.ages.confirmed(kind).map(|at| at + LIST_AGE_ALLOWANCE));
        let oldest =
            lists_at.into_iter().fold(self.ages.confirmed(ObjectKind::Targets), Option::min);
        oldest.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Age of one kind; `None` if it was never confirmed or is not followed.
    pub fn age_of(&self, kind: ObjectKind, now: Time) -> Option<Age> {
        let is_followed = self.ages.confirmed(kind) != Some(Time::NEVER);
        self.ages.age(kind, now).filter(|_| is_followed)
    }

    /// Logs the kinds that have become stale or fresh again since the last call.
    pub fn log_stale_kinds(&self, now: Time) {
        for kind in ObjectKind::AGE_TRACKED {
            if let Some((old, age)) = self.ages.take_transition(kind, now) {
                let (age_ms, longest_ms) = (millis(age.current), millis(age.max));
                Event::Known { kind: kind.as_str(), old, age_ms, longest_ms }.emit();
            }
        }
    }

    /// Sets whether this node has lost contact with its own source, which for a relay is the store
    /// alone. Followers are notified at once of a change in either direction.
    pub fn set_out_of_touch(&self, out_of_touch: bool) {
        if self.out_of_touch.replace(out_of_touch) != out_of_touch {
            self.notify();
        }
    }

    /// Whether this node has lost contact with its own source.
    pub fn is_out_of_touch(&self) -> bool {
        self.out_of_touch.get()
    }

    /// Whether state of this age is too old to be followed.
    pub fn is_stale(age: Duration) -> bool {
        age > STALE_AGE
    }

    /// Records that a peer's state was confirmed at `at`. The peer reduced its age by the allowance
    /// for lists, so they count as confirmed that much earlier.
    pub fn confirm_all(&self, at: Time, now: Time) {
        self.confirm(ObjectKind::Targets, at, now);
        for kind in LIST_KINDS {
            self.confirm(kind, at - LIST_AGE_ALLOWANCE, now);
        }
    }

    /// Records that the store confirmed a kind at `at`, and notifies followers if the state is no
    /// longer stale.
    pub fn confirm(&self, kind: ObjectKind, at: Time, now: Time) {
        let was_stale = Feed::is_stale(self.age(now));
        self.ages.confirm(kind, at, now);
        if was_stale && !Feed::is_stale(self.age(now)) {
            self.notify();
        }
    }

    /// Sets whether this node reads the store, because it is a relay or has none to follow.
    pub fn set_reads_store(&self, reads: bool) {
        self.reads_store.send_if_modified(|was| std::mem::replace(was, reads) != reads);
    }

    /// Waits until this node reads the store.
    pub async fn until_reads_store(&self) {
        let mut reads = self.reads_store.subscribe();
        let _ = reads.wait_for(|reads| *reads).await;
    }

    /// Records that the complete state was read at a revision of an epoch.
    pub fn restart(&self, epoch: u64, revision: u64) {
        self.epoch.set(epoch);
        self.history.borrow_mut().restart(revision);
        self.notify();
    }

    /// Records the changes applied up to a revision.
    pub fn append(&self, revision: u64, changes: Vec<TargetChange>) {
        let has_changes = !changes.is_empty();
        self.history.borrow_mut().append(revision, changes);
        if has_changes {
            self.notify();
        }
    }

    /// Changes after a revision; `None` if the complete state is needed.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<TargetChange>> {
        self.history.borrow().since(revision)
    }

    /// Notifies all subscribers of a change.
    pub fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Subscribes to changes of the state.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}
