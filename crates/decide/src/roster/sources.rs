//! Which peers a node asks for the store's state.

use std::time::Duration;

use model::member::Node;
use model::{Name, Time, hash};

use super::Roster;
use super::ranking::score;
use super::role_key::RoleKey;
use crate::relay::{Relays, Role};

/// Nodes that the followers of a failure domain ask: the relay, which reads the store, and its
/// standby. If both fail, others replace them.
const RELAYS_PER_DOMAIN: usize = 2;
/// Key by which relays are ranked.
const RELAY_KEY: &str = "relay of the store";
/// Among hosts of the lowest capacity, one in this many reads the store before it knows its peers.
/// A failure domain of only such hosts thus has a source as soon as its nodes discover each other.
const EARLY_READER_RATIO: u64 = 16;
/// Time for which such a host waits to learn of a larger host that has read the store.
const EARLY_WAIT: Duration = Duration::from_millis(300);

impl Roster {
    /// The peers that relay the store's state to this node: the first of its failure domain, the
    /// second as standby, and the first of each other domain in case those fail.
    ///
    /// A newly started node knows only some of its peers and may wrongly consider itself a relay.
    /// During peer discovery it asks the early readers, which read the store from their start on
    /// and are identified by name and host capacity.
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

    /// Number of peers in this node's failure domain.
    fn domain_peers(&self) -> usize {
        self.domains.count(&self.domain)
    }

    /// Sources during peer discovery, when the relays are not known yet.
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

    /// Rotates the relays by a hash of this node's name, which spreads followers over them.
    fn rotated_by_name(&self, mut relays: Vec<Node>) -> Vec<Node> {
        if !relays.is_empty() {
            let offset = hash::hash64(self.me.as_bytes()) as usize % relays.len();
            relays.rotate_left(offset);
        }
        relays
    }
}

/// Whether a node reads the store before it knows its peers: all hosts above the lowest capacity,
/// and a few of the others.
fn is_early_reader(name: &Name, capacity: u8) -> bool {
    capacity > 0 || hash::hash64(name.as_bytes()).is_multiple_of(EARLY_READER_RATIO)
}
