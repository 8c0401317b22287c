//! Until when targets are kept whose entries vanished around an outage of the store: their entries
//! may have lapsed although they live.
//!
//! Only the node that read the state in the store knows of such an outage. Those that took it from
//! a peer go by what that peer told: a node that the store turns away itself would else doubt what
//! others know for certain, for as long again at each node that it passes through.

use std::time::Duration;

use model::Time;

/// Time in which entries that lapsed during an outage of the store are back after it.
const REREGISTER_TIME: Duration = Duration::from_secs(2);

/// Where the state that a node has came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The store, read by this node.
    Store,
    /// A peer, which doubted until then what had vanished.
    Peer(Time),
}

/// What a node knows of outages of the store.
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
    /// The store did not answer this node.
    pub fn store_failed(&mut self) {
        self.store_down = true;
    }

    /// The store answered this node.
    pub fn store_answered(&mut self, now: Time) {
        if std::mem::take(&mut self.store_down) {
            self.recovered_at = Some(now);
        }
    }

    /// The store came back from an older copy, in which entries may lack that were there.
    pub fn restored(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// Whether the last call of the store failed.
    pub fn is_store_down(&self) -> bool {
        self.store_down
    }

    /// The state was read in the store; until when what it lacks is kept.
    pub fn read_from_store(&mut self, now: Time) -> Option<Time> {
        self.origin = Origin::Store;
        self.until(now)
    }

    /// The state was taken from a peer that doubts for so long what its own lacks; until when
    /// this node keeps that.
    pub fn read_from_peer(&mut self, remaining: Duration, now: Time) -> Option<Time> {
        self.origin = Origin::Peer(now + remaining);
        self.until(now)
    }

    /// Until when what vanished from the state is kept, by this node and whoever follows it.
    pub fn until(&self, now: Time) -> Option<Time> {
        let until = match self.origin {
            Origin::Peer(until) => Some(until),
            Origin::Store if self.store_down => Some(now + REREGISTER_TIME),
            Origin::Store => self.recovered_at.map(|at| at + REREGISTER_TIME),
        };
        until.filter(|until| now < *until)
    }
}
