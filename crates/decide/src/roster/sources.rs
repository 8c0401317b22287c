//! Whom a node asks for the store's state.

use std::time::Duration;

use model::member::Node;
use model::{Name, Time, hash};

use super::Roster;
use super::duty::Duty;
use super::ranking::score;
use crate::relay::{Relays, Role};

/// Nodes of each failure domain that its followers ask: the relay, which reads the store,
/// and its standby. If both fail others take their place.
const RELAYS: usize = 2;
/// What relays are ordered by.
const RELAY_KEY: &str = "relay of the store";
/// Of the hosts that bear least, one in this many reads the store before it knows its peers:
/// a failure domain of such hosts alone has a source then as soon as its members meet.
const EARLY_ONE_IN: u64 = 16;
/// Time for which it waits for word of a host that bears more and has read the store.
const EARLY_WAIT: Duration = Duration::from_millis(300);

impl Roster {
    /// Who relays the store's state to this node: the first of its failure domain, the second
    /// as its standby, and the first of each other domain in case those fail.
    ///
    /// A node that has just started knows only some of its peers, and may take itself for a
    /// relay that it is not. Until it knows them all it asks those that read the store from
    /// their start on, as their names and hosts tell.
    pub fn relays(&self, now: Time) -> Relays {
        if self.is_forming(now) {
            return self.early_relays(now);
        }
        let in_domain = |domain| self.coordinators(Duty::within(domain, RELAY_KEY), now);
        let near: Vec<Option<Node>> = in_domain(&self.domain).take(RELAYS).collect();
        let others = self.domains.keys().filter(|domain| **domain != self.domain);
        let mut far: Vec<Node> =
            others.filter_map(|domain| in_domain(domain).next().flatten()).collect();
        far.sort_by_key(|n| std::cmp::Reverse((n.capacity, score(RELAY_KEY, &n.id.name))));
        let role = match near.iter().position(Option::is_none) {
            Some(0) => Role::Relay,
            Some(_) => Role::Standby,
            None => Role::Follower,
        };
        let peers = near.into_iter().flatten().chain(far).collect();
        Relays { role, followers: self.near_count(), peers }
    }

    /// Peers in this node's failure domain.
    fn near_count(&self) -> usize {
        self.domains.count(&self.domain)
    }

    /// Sources while this node does not know yet who the relays are.
    fn early_relays(&self, now: Time) -> Relays {
        let near = self.coordinators(Duty::within(&self.domain, RELAY_KEY), now).flatten();
        let early = near.filter(|n| reads_early(&n.id.name, n.capacity));
        let peers = self.in_turn(early.take(RELAYS).collect());
        let has_better = peers.first().is_some_and(|n| n.capacity > self.capacity);
        let waits = self.capacity == 0 && (has_better || now.since(Time::ZERO) < EARLY_WAIT);
        let reads = reads_early(&self.me, self.capacity) && !waits;
        let role = if reads { Role::Relay } else { Role::Unknown };
        Relays { role, followers: self.near_count() + 1, peers }
    }

    /// Followers share the relays out among themselves.
    fn in_turn(&self, mut relays: Vec<Node>) -> Vec<Node> {
        if !relays.is_empty() {
            let turn = hash::of(self.me.as_bytes()) as usize % relays.len();
            relays.rotate_left(turn);
        }
        relays
    }
}

/// Whether a node reads the store before it knows its peers: hosts that bear more, and a few of
/// the others.
fn reads_early(name: &Name, capacity: u8) -> bool {
    capacity > 0 || hash::of(name.as_bytes()).is_multiple_of(EARLY_ONE_IN)
}
