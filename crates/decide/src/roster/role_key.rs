//! Assignment of roles to nodes: coordinating a service, scheduling prompts, starting cold targets,
//! issuing the permits of a target with a limit.
//!
//! Nodes are ranked by rendezvous hashing, so all nodes that agree on the membership agree on the
//! first one without exchanging messages. A disagreement only makes batches smaller.

use std::collections::BTreeMap;

use model::forward::PoolId;
use model::member::{Node, NodeId};
use model::{Name, Time};

use super::ranking::score;
use super::{PeerView, Roster};

/// Maximum silent peers whose liveness is checked at once.
const MAX_CHECKS: usize = 3;
/// Peers checked at once after one has fallen silent: this many by rank, and this many of each
/// failure domain.
const SURVEY_PEERS: usize = 3;
/// Maximum skipped peers named in an order.
const MAX_SKIPPED: usize = 8;

/// Role for which nodes are ranked: a service, or its workers in one region.
#[derive(Debug, Clone, Copy)]
pub struct RoleKey<'a> {
    /// Service, or another string that the role is hashed by.
    pub service: &'a str,
    /// Region whose nodes rank first.
    pub region: Option<&'a str>,
    /// Failure domain to which the ranking is restricted.
    domain: Option<&'a Name>,
    /// Whether the node that holds the role calls targets.
    calls_targets: bool,
}

impl<'a> RoleKey<'a> {
    /// The role of a service in one failure domain.
    pub(super) fn within(domain: &'a Name, service: &'a str) -> Self {
        RoleKey { service, region: None, domain: Some(domain), calls_targets: false }
    }
}

impl<'a> From<&'a str> for RoleKey<'a> {
    fn from(service: &'a str) -> Self {
        RoleKey { service, region: None, domain: None, calls_targets: false }
    }
}

impl<'a> From<&'a PoolId> for RoleKey<'a> {
    fn from(pool: &'a PoolId) -> Self {
        let region = pool.region.as_deref();
        RoleKey { service: &pool.service, region, domain: None, calls_targets: true }
    }
}

/// Rank of a node for a role; the highest comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    in_region: bool,
    is_settled: bool,
    capacity: u8,
    score: u64,
}

impl Roster {
    /// Whether a failure domain lies in the region of a role, if it names one.
    fn is_in_region(&self, domain: &Name, key: RoleKey<'_>) -> bool {
        key.region.is_none_or(|r| *self.map.region_of(domain) == *r)
    }

    /// All peers by rank for a role, including ineligible ones.
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
        // Four lazy passes over a cached order; the first peers of the first pass usually suffice.
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

    /// All peers that rank above this node for a role, including ineligible ones.
    fn ranked_above_self<'s>(
        &'s self,
        key: RoleKey<'_>,
        now: Time,
    ) -> impl Iterator<Item = &'s PeerView> + use<'s> {
        let own = self.own_rank(key, now);
        self.ranked(key, now).take_while(move |(rank, _)| *rank > own).map(|(_, p)| p)
    }

    /// Peers that rank first for a role but are ineligible. They are named to the node that is
    /// asked instead, so that it learns why it was chosen.
    pub fn skipped<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> Vec<NodeId> {
        let skipped = self.ranked_above_self(key.into(), now).take_while(|p| !self.is_eligible(p));
        skipped.take(MAX_SKIPPED).map(|p| p.node.id.clone()).collect()
    }

    /// Those of these peers that this node still considers eligible.
    pub fn eligible_among(&self, ids: &[NodeId]) -> Vec<Node> {
        let peers = ids.iter().filter_map(|id| self.up.get(id)).filter(|p| self.is_eligible(p));
        peers.map(|p| p.node.clone()).collect()
    }

    /// Silent peers that rank first for a role and are due for a liveness check.
    pub fn checks_due<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> Vec<Node> {
        let skipped = self.ranked_above_self(key.into(), now).take_while(|p| !self.is_eligible(p));
        let due = skipped.filter(|p| self.liveness.is_check_due(&p.node.id, now));
        due.take(MAX_CHECKS).map(|p| p.node.clone()).collect()
    }

    /// Peers to check after one has fallen silent: the next by rank, and some of each failure
    /// domain, so that a partition is detected immediately.
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
        if self.is_stopping || (self.links_lost && key.calls_targets) {
            return Rank::default();
        }
        Rank {
            in_region: self.is_in_region(&self.domain, key),
            is_settled: now.since(Time::ZERO) >= self.settled_uptime(now),
            capacity: self.capacity,
            score: score(key.service, &self.me),
        }
    }

    /// Nodes by rank for a role, first the one that holds it; `None` is this node.
    ///
    /// Nodes of the role's region rank first: they are close to its workers, and both stay
    /// connected if the region is partitioned off. Hosts of higher capacity rank first, since a
    /// coordinator's network link and CPU carry the work of all nodes. Recently started nodes rank
    /// below settled ones, so that a restart moves the work once instead of twice. A stopping node
    /// ranks last. Silent nodes, and those of a failure domain that appears partitioned off, are
    /// left out.
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

    /// The node that schedules the prompts of a service in a failure domain. It is in that domain,
    /// so that both stay connected if the domain is partitioned off. `Some(None)` is this node;
    /// `None` means that no node there is known to answer.
    pub fn scheduler(&self, service: &str, domain: &str, now: Time) -> Option<Option<Node>> {
        self.coordinators(RoleKey::within(&domain.into(), service), now).next()
    }

    /// Whether this node is the one that starts requests at a target that takes few: the first by
    /// rendezvous hashing among the nodes that are up, which distributes the targets. During peer
    /// discovery nodes own none, since each would consider itself the first.
    pub fn owns(&self, target: &str, now: Time) -> bool {
        if self.is_discovering(now) {
            return false;
        }
        let own = score(target, &self.me);
        let is_before = |p: &PeerView| score(target, &p.node.id.name) >= own && self.is_eligible(p);
        !self.is_stopping && !self.up.values().any(is_before)
    }

    /// The keeper of a target with a limit, which issues its permits and so accounts for what all
    /// nodes send to it: a node of the target's failure domain if any is up, so that both stay
    /// connected if the domain is partitioned off. `Some(None)` is this node; `None` is returned
    /// during peer discovery. Peers whose build does not support limits are skipped.
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

    /// Whether this node ranks first for a role.
    pub fn coordinates<'a>(&self, key: impl Into<RoleKey<'a>>, now: Time) -> bool {
        self.coordinators(key, now).next().is_none_or(|n| n.is_none())
    }
}

/// Peers by rank, with this node inserted as `None` if it has a rank.
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
