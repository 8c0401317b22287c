//! Which node does what for all: coordinates a service, schedules prompts, starts cold targets,
//! keeps the sum of a limit.
//!
//! The order is a rendezvous order, so that all nodes that agree on the members agree on the first
//! one without a message. Being wrong about it only costs batches.

use std::collections::BTreeMap;

use model::forward::PoolId;
use model::member::{Node, NodeId};
use model::{Name, Time};

use super::ranking::score;
use super::{PeerView, Roster};

/// Silent peers asked for a sign of life together.
const MAX_CHECKS: usize = 3;
/// Peers asked together whether they are there once one has fallen silent: this many in
/// the order, and this many of each failure domain.
const SURVEY_PEERS: usize = 3;
/// Skipped peers that an order names at most.
const MAX_SKIPPED: usize = 8;

/// What nodes take their order for: a service, or its makers in one region.
#[derive(Debug, Clone, Copy)]
pub struct RoleKey<'a> {
    /// Service.
    pub service: &'a str,
    /// Region whose nodes come first.
    pub region: Option<&'a str>,
    /// Failure domain of which alone nodes are asked for.
    domain: Option<&'a Name>,
}

impl<'a> RoleKey<'a> {
    /// A service's in one failure domain.
    pub(super) fn within(domain: &'a Name, service: &'a str) -> Self {
        RoleKey { service, region: None, domain: Some(domain) }
    }
}

impl<'a> From<&'a str> for RoleKey<'a> {
    fn from(service: &'a str) -> Self {
        RoleKey { service, region: None, domain: None }
    }
}

impl<'a> From<&'a PoolId> for RoleKey<'a> {
    fn from(pool: &'a PoolId) -> Self {
        RoleKey { service: &pool.service, region: pool.region.as_deref(), domain: None }
    }
}

/// Place of a node in the order of a service; the highest comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    in_region: bool,
    is_settled: bool,
    capacity: u8,
    score: u64,
}

impl Roster {
    /// Whether a failure domain lies in the region that a duty names.
    fn is_in_region(&self, domain: &Name, key: RoleKey<'_>) -> bool {
        key.region.is_none_or(|r| *self.map.region_of(domain) == *r)
    }

    /// All peers in the order of a duty, the unwanted included, with their places.
    fn ranked<'s>(
        &'s self,
        key: RoleKey<'_>,
        now: Time,
    ) -> impl Iterator<Item = (Rank, &'s PeerView)> + use<'s> {
        let all = || self.up.values().map(|p| &p.node);
        let order = self.rankings.borrow_mut().get(key.service, key.domain, all);
        let settled = self.settled_uptime(now);
        let region: Option<Name> = key.region.map(Into::into);
        let has_region = region.is_some();
        // Four passes over a standing order; mostly the first peers of the first one answer.
        let pass = move |in_region: bool, is_settled: bool| {
            let region = region.clone();
            let matches = move |p: &PeerView| {
                let is_located_in = |r: &Name| self.map.region_of(&p.node.domain) == *r;
                region.as_ref().is_none_or(is_located_in) == in_region
                    && (p.uptime(now) >= settled) == is_settled
            };
            order.clone().filter_map(move |ranked| {
                self.visited.set(self.visited.get() + 1);
                let peer = self.up.get(&ranked.id).filter(|p| matches(p))?;
                let (capacity, score) = (ranked.capacity.0, ranked.score.0);
                Some((Rank { in_region, is_settled, capacity, score }, peer))
            })
        };
        let local = pass(true, true).chain(pass(true, false));
        let remote = has_region.then(|| pass(false, true).chain(pass(false, false)));
        local.chain(remote.into_iter().flatten())
    }

    /// All peers that come before this node for a duty, the unwanted included.
    fn ranked_above_self<'s>(
        &'s self,
        key: RoleKey<'_>,
        now: Time,
    ) -> impl Iterator<Item = &'s PeerView> + use<'s> {
        let own = self.own_rank(key, now);
        self.ranked(key, now).take_while(move |(rank, _)| *rank > own).map(|(_, p)| p)
    }

    /// Peers that would come first for a duty but are passed over; whoever is asked
    /// in their place learns from these why.
    pub fn skipped<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> Vec<NodeId> {
        let skipped = self.ranked_above_self(key.into(), now).take_while(|p| !self.is_eligible(p));
        skipped.take(MAX_SKIPPED).map(|p| p.node.id.clone()).collect()
    }

    /// Peers with these identities that this node would still ask itself.
    pub fn eligible_among(&self, ids: &[NodeId]) -> Vec<Node> {
        let peers = ids.iter().filter_map(|id| self.up.get(id)).filter(|p| self.is_eligible(p));
        peers.map(|p| p.node.clone()).collect()
    }

    /// Silent peers that would come first for a duty, and are to be asked for a sign of
    /// life by now.
    pub fn checks_due<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> Vec<Node> {
        let skipped = self.ranked_above_self(key.into(), now).take_while(|p| !self.is_eligible(p));
        let due = skipped.filter(|p| self.liveness.is_check_due(&p.node.id, now));
        due.take(MAX_CHECKS).map(|p| p.node.clone()).collect()
    }

    /// Peers to ask whether they are there after one has fallen silent: those next in the
    /// order, and some of each failure domain, so that a cut shows at once.
    pub fn survey<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> Vec<Node> {
        let mut of_domain: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for (i, p) in self.ranked_above_self(key.into(), now).enumerate() {
            let count = of_domain.entry(&p.node.domain).or_default();
            if self.is_eligible(p) && (i < SURVEY_PEERS || *count < SURVEY_PEERS) {
                *count += 1;
                chosen.push(p.node.clone());
            }
        }
        chosen
    }

    fn own_rank(&self, key: RoleKey<'_>, now: Time) -> Rank {
        if self.is_stopping {
            return Rank::default();
        }
        Rank {
            in_region: self.is_in_region(&self.domain, key),
            is_settled: now.since(Time::ZERO) >= self.settled_uptime(now),
            capacity: self.capacity,
            score: score(key.service, &self.me),
        }
    }

    /// Nodes in the order in which they coordinate a service, or its makers in one region;
    /// `None` is this node.
    ///
    /// Nodes of the region go first: their way to its makers is short, and both go on together
    /// when the region is cut off.
    /// Hosts that bear more go first: a coordinator's link and processor carry the work of
    /// all. Nodes that have just come go behind those that have not, so that a restart moves
    /// the work once and not twice; one that stops goes last; silent ones, and those of a
    /// failure domain that seems cut off, are left out.
    pub fn coordinators<'s, 'a>(
        &'s self,
        key: impl Into<RoleKey<'a>>,
        now: Time,
    ) -> impl Iterator<Item = Option<Node>> + 's {
        let key = key.into();
        let own = self.own_rank(key, now);
        let eligible = self.ranked(key, now).filter(|(_, p)| self.is_eligible(p));
        let includes_self = key.domain.is_none_or(|domain| *domain == self.domain);
        merged(includes_self.then_some(own), eligible)
    }

    /// Who schedules the prompts of a service in a failure domain: a node there, so that
    /// both go on together when it is cut off. `Some(None)` is this node; `None` if no node
    /// there is known to answer.
    pub fn scheduler(&self, service: &str, domain: &str, now: Time) -> Option<Option<Node>> {
        self.coordinators(RoleKey::within(&domain.into(), service), now).next()
    }

    /// Whether this node is the one that starts requests at a target that bears few: the
    /// first by rendezvous among the nodes that are up, so that targets are shared out. Nodes
    /// that are still finding each other own none: each would take itself for the first.
    pub fn owns(&self, target: &str, now: Time) -> bool {
        if self.is_discovering(now) {
            return false;
        }
        let own = score(target, &self.me);
        let is_before = |p: &PeerView| score(target, &p.node.id.name) >= own && self.is_eligible(p);
        !self.is_stopping && !self.up.values().any(is_before)
    }

    /// Who keeps the sum of what all nodes send to a target that names a limit: a node of the
    /// target's failure domain if one is up, so that both go on together when it is cut off.
    /// `Some(None)` is this node; `None` while nodes are still finding each other. Peers whose
    /// build keeps no limits are passed over.
    pub fn keeper(
        &self,
        target: &str,
        domain: &str,
        is_unsupported: impl Fn(&NodeId) -> bool,
        now: Time,
    ) -> Option<Option<Node>> {
        if self.is_discovering(now) {
            return None;
        }
        let supports_limits = |n: &Option<Node>| n.as_ref().is_none_or(|n| !is_unsupported(&n.id));
        let domain = domain.into();
        let mut local =
            self.coordinators(RoleKey::within(&domain, target), now).filter(supports_limits);
        local.next().or_else(|| self.coordinators(target, now).find(supports_limits))
    }

    /// Whether this node comes first among the coordinators of a duty.
    pub fn coordinates<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> bool {
        self.coordinators(key, now).next().is_none_or(|n| n.is_none())
    }
}

/// Peers in the order of their places, with this node, which is `None`, at its own if it has one.
fn merged<'a>(
    own: Option<Rank>,
    peers: impl Iterator<Item = (Rank, &'a PeerView)>,
) -> impl Iterator<Item = Option<Node>> {
    let mut peers = peers.peekable();
    let mut own = own;
    std::iter::from_fn(move || {
        if own.is_some_and(|own| peers.peek().is_none_or(|(rank, _)| *rank < own)) {
            own = None;
            return Some(None);
        }
        peers.next().map(|(_, p)| Some(p.node.clone()))
    })
}
