//! Grace period for targets whose entries vanished around an outage of the store: the entries may
//! have expired although the targets are alive.
//!
//! Only a node that read the state from the store can judge such an outage. A node that got the
//! state from a peer uses the grace period of that peer: otherwise a node that the store itself
//! rejects would keep targets that its peer knows to be gone, and every node that the state passes
//! through would extend the period again.

use std::time::Duration;

use model::Time;

/// Time after an outage of the store within which expired entries are written again.
const REREGISTER_TIME: Duration = Duration::from_secs(2);

/// Source of this node's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// Read from the store by this node.
    Store,
    /// Received from a peer whose grace period ends at this time.
    Peer(Time),
}

/// Store outages as observed by this node.
#[derive(Debug)]
pub struct OutageGrace {
    store_down: bool,
    recovered_at: Option<Time>,
    origin: Origin,
}

impl Default for OutageGrace {
    fn default() -> Self {
        OutageGrace { store_down: false, recovered_at: None, origin: Origin::Store }
    }
}

impl OutageGrace {
    /// Records that a store call of this node failed.
    pub fn store_failed(&mut self) {
        self.store_down = true;
    }

    /// Records that the store answered this node.
    pub fn store_answered(&mut self, now: Time) {
        if std::mem::take(&mut self.store_down) {
            self.recovered_at = Some(now);
        }
    }

    /// Handles a restore of the store from an older copy, which may lack entries that existed.
    pub fn store_restored(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// Whether the last call to the store failed.
    pub fn is_store_down(&self) -> bool {
        self.store_down
    }

    /// Records that the state was read from the store; returns the end of the grace period for
    /// entries that it lacks.
    pub fn read_from_store(&mut self, now: Time) -> Option<Time> {
        self.origin = Origin::Store;
        self.until(now)
    }

    /// Records that the state came from a peer with `remaining` left of its grace period; returns
    /// the end of this node's.
    pub fn read_from_peer(&mut self, remaining: Duration, now: Time) -> Option<Time> {
        self.origin = Origin::Peer(now + remaining);
        self.until(now)
    }

    /// End of the grace period for this node and its followers; `None` if none is running.
    pub fn until(&self, now: Time) -> Option<Time> {
        let until = match self.origin {
            Origin::Peer(until) => Some(until),
            Origin::Store if self.store_down => Some(now + REREGISTER_TIME),
            Origin::Store => self.recovered_at.map(|at| at + REREGISTER_TIME),
        };
        until.filter(|until| now < *until)
    }
}
