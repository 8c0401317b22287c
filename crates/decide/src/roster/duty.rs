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
const CHECKED: usize = 3;
/// Peers asked together whether they are there once one has fallen silent: this many in
/// the order, and this many of each failure domain.
const SURVEYED: usize = 3;
/// Skipped peers that an order names at most.
const SKIPPED: usize = 8;

/// What nodes take their order for: a service, or its makers in one region.
#[derive(Debug, Clone, Copy)]
pub struct Duty<'a> {
    /// Service.
    pub service: &'a str,
    /// Region whose nodes come first.
    pub region: Option<&'a str>,
    /// Failure domain of which alone nodes are asked for.
    domain: Option<&'a Name>,
}

impl<'a> Duty<'a> {
    /// A service's in one failure domain.
    pub(super) fn within(domain: &'a Name, service: &'a str) -> Self {
        Duty { service, region: None, domain: Some(domain) }
    }
}

impl<'a> From<&'a str> for Duty<'a> {
    fn from(service: &'a str) -> Self {
        Duty { service, region: None, domain: None }
    }
}

impl<'a> From<&'a PoolId> for Duty<'a> {
    fn from(pool: &'a PoolId) -> Self {
        Duty { service: &pool.service, region: pool.region.as_deref(), domain: None }
    }
}

/// Place of a node in the order of a service; the highest comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    is_there: bool,
    is_settled: bool,
    capacity: u8,
    score: u64,
}

impl Roster {
    /// Whether a failure domain lies in the region that a duty names.
    fn is_there(&self, domain: &Name, duty: Duty<'_>) -> bool {
        duty.region.is_none_or(|r| *self.map.region_of(domain) == *r)
    }

    /// All peers in the order of a duty, the unwanted included, with their places.
    fn ranked<'s>(
        &'s self,
        duty: Duty<'_>,
        now: Time,
    ) -> impl Iterator<Item = (Place, &'s PeerView)> + use<'s> {
        let all = || self.up.values().map(|p| &p.node);
        let walk = self.rankings.borrow_mut().get(duty.service, duty.domain, all);
        let settled = self.settled_from(now);
        let region: Option<Name> = duty.region.map(Into::into);
        let has_region = region.is_some();
        // Four passes over a standing order; mostly the first peers of the first one answer.
        let pass = move |is_there: bool, is_settled: bool| {
            let region = region.clone();
            let is_in = move |p: &PeerView| {
                let lies_in = |r: &Name| self.map.region_of(&p.node.domain) == *r;
                region.as_ref().is_none_or(lies_in) == is_there
                    && (p.uptime(now) >= settled) == is_settled
            };
            walk.clone().filter_map(move |ranked| {
                self.visited.set(self.visited.get() + 1);
                let peer = self.up.get(&ranked.id).filter(|p| is_in(p))?;
                let (capacity, score) = (ranked.capacity.0, ranked.score.0);
                Some((Place { is_there, is_settled, capacity, score }, peer))
            })
        };
        let there = pass(true, true).chain(pass(true, false));
        let elsewhere = has_region.then(|| pass(false, true).chain(pass(false, false)));
        there.chain(elsewhere.into_iter().flatten())
    }

    /// All peers that come before this node for a duty, the unwanted included.
    fn before_me<'s>(
        &'s self,
        duty: Duty<'_>,
        now: Time,
    ) -> impl Iterator<Item = &'s PeerView> + use<'s> {
        let own = self.own_place(duty, now);
        self.ranked(duty, now).take_while(move |(place, _)| *place > own).map(|(_, p)| p)
    }

    /// Peers that would come first for a duty but are passed over; whoever is asked
    /// in their place learns from these why.
    pub fn skipped<'a>(&self, duty: impl Into<Duty<'a>>, now: Time) -> Vec<NodeId> {
        let skipped = self.before_me(duty.into(), now).take_while(|p| !self.is_wanted(p));
        skipped.take(SKIPPED).map(|p| p.node.id.clone()).collect()
    }

    /// Peers with these identities that this node would still ask itself.
    pub fn doubted(&self, ids: &[NodeId]) -> Vec<Node> {
        let named = ids.iter().filter_map(|id| self.up.get(id)).filter(|p| self.is_wanted(p));
        named.map(|p| p.node.clone()).collect()
    }

    /// Silent peers that would come first for a duty, and are to be asked for a sign of
    /// life by now.
    pub fn checks_due<'a>(&self, duty: impl Into<Duty<'a>>, now: Time) -> Vec<Node> {
        let skipped = self.before_me(duty.into(), now).take_while(|p| !self.is_wanted(p));
        let due = skipped.filter(|p| self.contacts.is_check_due(&p.node.id, now));
        due.take(CHECKED).map(|p| p.node.clone()).collect()
    }

    /// Peers to ask whether they are there after one has fallen silent: those next in the
    /// order, and some of each failure domain, so that a cut shows at once.
    pub fn survey<'a>(&self, duty: impl Into<Duty<'a>>, now: Time) -> Vec<Node> {
        let mut of_domain: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for (i, p) in self.before_me(duty.into(), now).enumerate() {
            let count = of_domain.entry(&p.node.domain).or_default();
            if self.is_wanted(p) && (i < SURVEYED || *count < SURVEYED) {
                *count += 1;
                chosen.push(p.node.clone());
            }
        }
        chosen
    }

    fn own_place(&self, duty: Duty<'_>, now: Time) -> Place {
        if self.stops {
            return Place::default();
        }
        Place {
            is_there: self.is_there(&self.domain, duty),
            is_settled: now.since(Time::ZERO) >= self.settled_from(now),
            capacity: self.capacity,
            score: score(duty.service, &self.me),
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
        duty: impl Into<Duty<'a>>,
        now: Time,
    ) -> impl Iterator<Item = Option<Node>> + 's {
        let duty = duty.into();
        let own = self.own_place(duty, now);
        let wanted = self.ranked(duty, now).filter(|(_, p)| self.is_wanted(p));
        let is_asked_for = duty.domain.is_none_or(|domain| *domain == self.domain);
        merged(is_asked_for.then_some(own), wanted)
    }

    /// Who schedules the prompts of a service in a failure domain: a node there, so that
    /// both go on together when it is cut off. `Some(None)` is this node; `None` if no node
    /// there is known to answer.
    pub fn scheduler(&self, service: &str, domain: &str, now: Time) -> Option<Option<Node>> {
        self.coordinators(Duty::within(&domain.into(), service), now).next()
    }

    /// Whether this node is the one that starts requests at a target that bears few: the
    /// first by rendezvous among the nodes that are up, so that targets are shared out. Nodes
    /// that are still finding each other own none: each would take itself for the first.
    pub fn owns(&self, target: &str, now: Time) -> bool {
        if self.is_forming(now) {
            return false;
        }
        let own = score(target, &self.me);
        let is_before = |p: &PeerView| score(target, &p.node.id.name) >= own && self.is_wanted(p);
        !self.stops && !self.up.values().any(is_before)
    }

    /// Who keeps the sum of what all nodes send to a target that names a limit: a node of the
    /// target's failure domain if one is up, so that both go on together when it is cut off.
    /// `Some(None)` is this node; `None` while nodes are still finding each other. Peers whose
    /// build keeps no limits are passed over.
    pub fn keeper(
        &self,
        target: &str,
        domain: &str,
        is_stranger: impl Fn(&NodeId) -> bool,
        now: Time,
    ) -> Option<Option<Node>> {
        if self.is_forming(now) {
            return None;
        }
        let is_known = |n: &Option<Node>| n.as_ref().is_none_or(|n| !is_stranger(&n.id));
        let domain = domain.into();
        let mut near = self.coordinators(Duty::within(&domain, target), now).filter(is_known);
        near.next().or_else(|| self.coordinators(target, now).find(is_known))
    }

    /// Whether this node comes first among the coordinators of a duty.
    pub fn coordinates<'a>(&self, duty: impl Into<Duty<'a>>, now: Time) -> bool {
        self.coordinators(duty, now).next().is_none_or(|n| n.is_none())
    }
}

/// Peers in the order of their places, with this node, which is `None`, at its own if it has one.
fn merged<'a>(
    own: Option<Place>,
    peers: impl Iterator<Item = (Place, &'a PeerView)>,
) -> impl Iterator<Item = Option<Node>> {
    let mut peers = peers.peekable();
    let mut own = own;
    std::iter::from_fn(move || {
        if own.is_some_and(|own| peers.peek().is_none_or(|(place, _)| *place < own)) {
            own = None;
            return Some(None);
        }
        peers.next().map(|(_, p)| Some(p.node.clone()))
    })
}
