//! Whom a node asks for the store's state.

use std::time::Duration;

use model::member::Node;
use model::{Name, Time, hash};

use super::Roster;
use super::ranking::score;
use super::role_key::RoleKey;
use crate::relay::{Relays, Role};

/// Nodes of each failure domain that its followers ask: the relay, which reads the store,
/// and its standby. If both fail others take their place.
const RELAYS_PER_DOMAIN: usize = 2;
/// What relays are ordered by.
const RELAY_KEY: &str = "relay of the store";
/// Of the hosts that bear least, one in this many reads the store before it knows its peers:
/// a failure domain of such hosts alone has a source then as soon as its members meet.
const EARLY_READER_RATIO: u64 = 16;
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
        if self.is_discovering(now) {
            return self.early_relays(now);
        }
        let in_domain = |domain| self.coordinators(RoleKey::within(domain, RELAY_KEY), now);
        let local: Vec<Option<Node>> = in_domain(&self.domain).take(RELAYS_PER_DOMAIN).collect();
        let others = self.domains.keys().filter(|domain| **domain != self.domain);
        let mut remote: Vec<Node> =
            others.filter_map(|domain| in_domain(domain).next().flatten()).collect();
        remote.sort_by_key(|n| std::cmp::Reverse((n.capacity, score(RELAY_KEY, &n.id.name))));
        let role = match local.iter().position(Option::is_none) {
            Some(0) => Role::Relay,
            Some(_) => Role::Standby,
            None => Role::Follower,
        };
        let peers = local.into_iter().flatten().chain(remote).collect();
        Relays { role, followers: self.domain_peers(), peers }
    }

    /// Peers in this node's failure domain.
    fn domain_peers(&self) -> usize {
        self.domains.count(&self.domain)
    }

    /// Sources while this node does not know yet who the relays are.
    fn early_relays(&self, now: Time) -> Relays {
        let local = self.coordinators(RoleKey::within(&self.domain, RELAY_KEY), now).flatten();
        let early = local.filter(|n| is_early_reader(&n.id.name, n.capacity));
        let peers = self.rotated_by_name(early.take(RELAYS_PER_DOMAIN).collect());
        let knows_larger_host = peers.first().is_some_and(|n| n.capacity > self.capacity);
        let must_wait =
            self.capacity == 0 && (knows_larger_host || now.since(Time::ZERO) < EARLY_WAIT);
        let reads_store = is_early_reader(&self.me, self.capacity) && !must_wait;
        let role = if reads_store { Role::Relay } else { Role::Unknown };
        Relays { role, followers: self.domain_peers() + 1, peers }
    }

    /// Followers share the relays out among themselves.
    fn rotated_by_name(&self, mut relays: Vec<Node>) -> Vec<Node> {
        if !relays.is_empty() {
            let offset = hash::of(self.me.as_bytes()) as usize % relays.len();
            relays.rotate_left(offset);
        }
        relays
    }
}

/// Whether a node reads the store before it knows its peers: hosts that bear more, and a few of
/// the others.
fn is_early_reader(name: &Name, capacity: u8) -> bool {
    capacity > 0 || hash::of(name.as_bytes()).is_multiple_of(EARLY_READER_RATIO)
}
