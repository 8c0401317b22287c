//! Until when targets are kept whose entries vanished around an outage of the store: their entries
//! may have lapsed although they live.
//!
//! Only the node that read the state in the store knows of such an outage. Those that took it from
//! a peer go by what that peer told: a node that the store turns away itself would else doubt what
//! others know for certain, for as long again at each node that it passes through.

use std::time::Duration;

use model::Time;

/// Time in which entries that lapsed during an outage of the store are back after it.
const LAPSED_BACK: Duration = Duration::from_secs(2);

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
pub struct Doubt {
    lost: bool,
    back: Option<Time>,
    origin: Origin,
}

impl Default for Doubt {
    fn default() -> Self {
        Doubt { lost: false, back: None, origin: Origin::Store }
    }
}

impl Doubt {
    /// The store did not answer this node.
    pub fn lost(&mut self) {
        self.lost = true;
    }

    /// The store answered this node.
    pub fn answered(&mut self, now: Time) {
        if std::mem::take(&mut self.lost) {
            self.back = Some(now);
        }
    }

    /// The store came back from an older copy, in which entries may lack that were there.
    pub fn restored(&mut self, now: Time) {
        self.back = Some(now);
    }

    /// Whether the last call of the store failed.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// The state was read in the store; until when what it lacks is kept.
    pub fn read(&mut self, now: Time) -> Option<Time> {
        self.origin = Origin::Store;
        self.until(now)
    }

    /// The state was taken from a peer that doubts for so long what its own lacks; until when
    /// this node keeps that.
    pub fn heard(&mut self, left: Duration, now: Time) -> Option<Time> {
        self.origin = Origin::Peer(now + left);
        self.until(now)
    }

    /// Until when what vanished from the state is kept, by this node and whoever follows it.
    pub fn until(&self, now: Time) -> Option<Time> {
        let until = match self.origin {
            Origin::Peer(until) => Some(until),
            Origin::Store if self.lost => Some(now + LAPSED_BACK),
            Origin::Store => self.back.map(|at| at + LAPSED_BACK),
        };
        until.filter(|until| now < *until)
    }
}
