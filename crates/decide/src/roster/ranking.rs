//! Cached rendezvous orders of peers, updated as peers join and leave.
//!
//! A role lookup starts at the head of a cached order and mostly ends there. An order is built once
//! per service, or per service and failure domain, and then costs a few comparisons per membership
//! change.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

use model::member::{Node, NodeId};
use model::{Name, hash};

/// Maximum cached orders: one per service, and per failure domain one for each scheduler and relay.
const MAX_ORDERS: usize = 64;

/// Rendezvous score of a node for a service.
pub(super) fn score(service: &str, name: &Name) -> u64 {
    hash::mix(hash::hash64(service.as_bytes()), hash::hash64(name.as_bytes()))
}

/// A peer in an order, which starts with the hosts of highest capacity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ranked {
    pub(super) capacity: Reverse<u8>,
    pub(super) score: Reverse<u64>,
    pub(super) id: NodeId,
}

impl Ranked {
    fn new(service: &str, node: &Node) -> Self {
        Ranked {
            capacity: Reverse(node.capacity),
            score: Reverse(score(service, &node.id.name)),
            id: node.id.clone(),
        }
    }
}

#[derive(Debug)]
struct Ranking {
    order: Rc<BTreeSet<Ranked>>,
    used: u64,
}

/// Service, and the failure domain if the order is restricted to one.
type Key = (String, Option<Name>);

/// The most recently used orders.
#[derive(Debug, Default)]
pub(super) struct Rankings {
    orders: BTreeMap<Key, Ranking>,
    uses: u64,
}

impl Rankings {
    /// The order for a service, of all peers or those of a failure domain; `peers` lists all peers
    /// if the order is not cached.
    pub(super) fn get<'a, I>(
        &mut self,
        service: &str,
        domain: Option<&Name>,
        peers: impl FnOnce() -> I,
    ) -> RankedPeers
    where
        I: Iterator<Item = &'a Node>,
    {
        self.uses += 1;
        let key = (service.to_string(), domain.cloned());
        if !self.orders.contains_key(&key) {
            self.evict_oldest();
            let members = peers().filter(|node| matches_key(&key, node));
            let order = Rc::new(members.map(|node| Ranked::new(service, node)).collect());
            self.orders.insert(key.clone(), Ranking { order, used: 0 });
        }
        let ranking = self.orders.get_mut(&key).expect("the order was inserted above");
        ranking.used = self.uses;
        RankedPeers { order: ranking.order.clone(), last: None }
    }

    fn evict_oldest(&mut self) {
        if self.orders.len() < MAX_ORDERS {
            return;
        }
        let oldest = self.orders.iter().min_by_key(|(_, r)| r.used).map(|(key, _)| key.clone());
        oldest.and_then(|key| self.orders.remove(&key));
    }

    /// Inserts a peer into the orders that include it.
    pub(super) fn insert(&mut self, node: &Node) {
        for (key, ranking) in self.orders.iter_mut().filter(|(key, _)| matches_key(key, node)) {
            Rc::make_mut(&mut ranking.order).insert(Ranked::new(&key.0, node));
        }
    }

    /// Removes a peer from the orders that include it.
    pub(super) fn remove(&mut self, node: &Node) {
        for (key, ranking) in self.orders.iter_mut().filter(|(key, _)| matches_key(key, node)) {
            Rc::make_mut(&mut ranking.order).remove(&Ranked::new(&key.0, node));
        }
    }
}

fn matches_key((_, domain): &Key, node: &Node) -> bool {
    domain.as_ref().is_none_or(|domain| *domain == node.domain)
}

/// Iterator over the peers of one order.
#[derive(Debug, Clone)]
pub(super) struct RankedPeers {
    order: Rc<BTreeSet<Ranked>>,
    last: Option<Ranked>,
}

impl Iterator for RankedPeers {
    type Item = Ranked;

    fn next(&mut self) -> Option<Ranked> {
        let start = self.last.take().map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.order.range((start, Bound::Unbounded)).next()?;
        self.last = Some(next.clone());
        self.last.clone()
    }
}
