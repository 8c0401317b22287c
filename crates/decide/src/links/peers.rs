//! Peers through which requests can be sent while this node's links are lost.
//!
//! A node without links asks a few peers whether they reach the targets and how many requests they
//! have open. The number of questions does not depend on the number of nodes. A request goes to the
//! better of a few candidates drawn at random, so that many nodes do not all choose the same one.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Allowed, LinkStatus};
use model::member::{Node, NodeId};
use model::{Name, Time};

use crate::region::Map;
use crate::rng::Rng;

/// Peers asked per round.
pub const MAX_ASKED: usize = 4;
/// Of these, peers that were known to reach the targets and are asked again.
const MAX_REFRESHED: usize = 2;
/// Time for which an answer of a peer is used.
const STATUS_TTL: Duration = Duration::from_millis(1200);
/// Candidates of each distance that are compared.
const CANDIDATES: usize = 2;
/// Factor by which the load of a peer in another failure domain of this region counts more.
const DOMAIN_FACTOR: f64 = 1.5;
/// Factor for a peer in another region.
const REGION_FACTOR: f64 = 6.0;

/// What a peer said of its links, and what was sent to it since.
#[derive(Debug, Clone)]
struct Known {
    peer: Node,
    status: LinkStatus,
    at: Time,
    sent: u32,
}

/// A peer chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkPeer {
    /// The peer.
    pub node: Node,
    /// Requests that it had open, and those sent to it since.
    pub open: u32,
    /// Age of what it said.
    pub age: Duration,
}

/// Answers of peers on their links.
#[derive(Debug, Default)]
pub struct LinkPeers {
    known: BTreeMap<NodeId, Known>,
}

impl LinkPeers {
    /// Records a peer's answer.
    pub fn record(&mut self, peer: &Node, status: LinkStatus, now: Time) {
        self.known.retain(|_, k| now.since(k.at) < STATUS_TTL);
        let known = Known { peer: peer.clone(), status, at: now, sent: 0 };
        self.known.insert(peer.id.clone(), known);
    }

    /// Records that a peer could not serve a request, or did not answer.
    pub fn record_failure(&mut self, id: &NodeId, now: Time) {
        if let Some(known) = self.known.get_mut(id) {
            known.status.reaches = false;
            known.at = now;
        }
    }

    /// Whether any peer is known to reach the targets, and to take requests of others.
    pub fn has_candidate(&self, now: Time) -> bool {
        self.known.values().any(|k| is_candidate(k, now))
    }

    /// Peers to ask now: some that reach the targets, and others drawn at random, of the own
    /// failure domain as many as of the others.
    pub fn to_ask(&self, peers: &[Node], domain: &Name, now: Time, rng: &mut Rng) -> Vec<Node> {
        let mut candidates: Vec<&Node> = Vec::new();
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for peer in peers {
            match self.known.get(&peer.id).filter(|k| now.since(k.at) < STATUS_TTL) {
                Some(known) if known.status.reaches => candidates.push(peer),
                Some(_) => {}
                None if peer.domain == *domain => local.push(peer),
                None => remote.push(peer),
            }
        }
        for group in [&mut candidates, &mut local, &mut remote] {
            rng.shuffle(group);
        }
        candidates.truncate(MAX_REFRESHED);
        let rest = MAX_ASKED - candidates.len();
        let of_local = (rest / 2).max(rest.saturating_sub(remote.len())).min(local.len());
        candidates.extend(local.into_iter().take(of_local));
        let of_remote = MAX_ASKED - candidates.len();
        candidates.extend(remote.into_iter().take(of_remote));
        candidates.into_iter().cloned().collect()
    }

    /// The peer to send a request through, among those in allowed regions that reach the targets;
    /// `tried` are left out.
    pub fn choose(
        &mut self,
        map: &Map,
        domain: &Name,
        allowed: &Allowed,
        tried: &[NodeId],
        now: Time,
        rng: &mut Rng,
    ) -> Option<LinkPeer> {
        let is_allowed = |k: &Known| {
            let region = map.region_of(&k.peer.domain);
            !tried.contains(&k.peer.id) && allowed.permits(Some(&region))
        };
        let usable = self.known.values().filter(|k| is_candidate(k, now) && is_allowed(k));
        let (mut local, mut remote): (Vec<&Known>, Vec<&Known>) =
            usable.partition(|k| k.peer.domain == *domain);
        for group in [&mut local, &mut remote] {
            rng.shuffle(group);
            group.truncate(CANDIDATES);
        }
        let cost = |k: &Known| distance_factor(map, domain, &k.peer) * load(k);
        let best = local.into_iter().chain(remote).min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let id = best.peer.id.clone();
        let known = self.known.get_mut(&id)?;
        known.sent += 1;
        let open = known.status.open + known.sent;
        Some(LinkPeer { node: known.peer.clone(), open, age: now.since(known.at) })
    }
}

fn is_candidate(known: &Known, now: Time) -> bool {
    known.status.reaches && now.since(known.at) < STATUS_TTL
}

/// Open requests relative to the capacity of the host; at least one, so that distance matters
/// between idle peers.
fn load(known: &Known) -> f64 {
    f64::from(known.status.open + known.sent + 1) / f64::from(known.peer.capacity).exp2()
}

fn distance_factor(map: &Map, domain: &Name, peer: &Node) -> f64 {
    if peer.domain == *domain {
        return 1.0;
    }
    if map.region_of(&peer.domain) == map.local_region() { DOMAIN_FACTOR } else { REGION_FACTOR }
}
