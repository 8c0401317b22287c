//! Who is to be told of what.
//!
//! Every end goes to a few nodes, the keepers of its request, which are the same for all nodes
//! that agree on who is up; there ends seen by different nodes come together. A request that is
//! held, or was, goes to every node. So ends of common and innocent requests, of which a rack's
//! loss brings thousands, cost three messages each, and none where nothing ends.

use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;

use model::forward::{Fingerprint, SuspectNews};
use model::member::{Node, NodeId};
use model::{Name, Time, hash};

use super::{Quarantine, Suspect};

/// Keepers of a request. The first may be down without anybody knowing, and the second cut off.
const REPLICAS: usize = 3;
/// Time that a node which only heard of a request leaves to its keepers before it tells them
/// itself: they tell everybody, and most likely told this node.
const REPLICA_GRACE: Duration = Duration::from_secs(1);
/// Requests in one message: 2 KB to 100 KB.
const MAX_MESSAGE: usize = 64;

/// What of one request was told to whom: its state by a number that rises.
#[derive(Debug, Default)]
pub(super) struct GossipState {
    version: u64,
    /// The last state that this node brought about; 0 if it only heard of the request.
    own_version: u64,
    acked: HashMap<NodeId, u64>,
    /// The state that another node told of, and when.
    received: Option<(u64, Time)>,
    /// All have been told who are to know, as of this state and these peers.
    settled_at: Option<(u64, u64)>,
}

impl GossipState {
    /// This node knows something new: all are to be told.
    pub(super) fn mark_changed(&mut self) {
        self.version += 1;
        self.own_version = self.version;
    }

    /// The same, since another node told of it.
    pub(super) fn mark_received(&mut self, now: Time) {
        self.version += 1;
        self.received = Some((self.version, now));
    }

    /// A peer knows what is known here.
    pub(super) fn mark_acked(&mut self, peer: &NodeId) {
        self.acked.insert(peer.clone(), self.version);
    }

    /// Whether its keepers, who may have told of it, are left time to tell the others.
    fn defers_to_replicas(&self, now: Time) -> bool {
        let is_recent = |(version, at)| version == self.version && now.since(at) < REPLICA_GRACE;
        self.received.is_some_and(is_recent)
    }

    /// State that listeners are to know. Of a request that concerns its keepers alone each
    /// witness tells them what it saw, and they need not tell each other.
    fn target_version(&self, is_global: bool) -> u64 {
        if is_global { self.version } else { self.own_version }
    }

    /// Whether a peer was told of this state.
    fn is_acked(&self, peer: &NodeId, version: u64) -> bool {
        self.acked.get(peer).is_some_and(|acked| *acked >= version)
    }

    /// All of these peers know what they are to know.
    fn settle(&mut self, peer_set: u64) {
        self.settled_at = Some((self.version, peer_set));
    }

    /// Whether there is nothing to tell, as of these peers.
    fn is_settled(&self, is_global: bool, peer_set: u64) -> bool {
        match self.settled_at {
            Some(settled) if settled == (self.version, peer_set) => true,
            Some((_, peers)) => !is_global && self.own_version == 0 && peers == peer_set,
            None => !is_global && self.own_version == 0,
        }
    }
}

/// A message that a peer is to have.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The peer.
    pub peer: Node,
    /// What it is to know.
    pub news: Vec<SuspectNews>,
    /// What it was told, for when it has answered.
    pub versions: SentVersions,
}

impl Outgoing {
    fn to(peer: &Node) -> Self {
        Outgoing { peer: peer.clone(), news: Vec::new(), versions: SentVersions(Vec::new()) }
    }
}

/// Requests of which a peer was told, and their states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentVersions(Vec<(Fingerprint, u64)>);

impl Quarantine {
    /// Messages to peers that `may` be told now; `me` is this node.
    pub fn outgoing(
        &mut self,
        me: &Name,
        peers: &[Node],
        may_send: impl Fn(&NodeId) -> bool,
        now: Time,
    ) -> Vec<Outgoing> {
        self.unsupported.retain(|id| peers.iter().any(|p| p.id == *id));
        let peers = &self.supporting(peers)[..];
        let peer_set = digest(peers);
        let mut messages: HashMap<NodeId, Outgoing> = HashMap::new();
        for (request, suspect) in &mut self.suspects {
            let Some((recipients, target)) =
                recipients(*request, suspect, me, peers, peer_set, now)
            else {
                continue;
            };
            let is_acked = |p: &&Node| suspect.gossip.is_acked(&p.id, target);
            let pending: Vec<&Node> = recipients.into_iter().filter(|p| !is_acked(p)).collect();
            if pending.is_empty() {
                suspect.gossip.settle(peer_set);
            }
            for peer in pending.into_iter().filter(|p| may_send(&p.id)) {
                let message = messages.entry(peer.id.clone()).or_insert_with(|| Outgoing::to(peer));
                if message.news.len() < MAX_MESSAGE {
                    message.news.push(suspect.to_news(*request, now));
                    message.versions.0.push((*request, suspect.gossip.version));
                }
            }
        }
        messages.into_values().collect()
    }

    /// Peers that understand such messages, as far as is known. The others keep nothing and are
    /// told nothing, so that requests whose keepers they would be are kept by those that do.
    pub(super) fn supporting<'a>(&self, peers: &'a [Node]) -> Cow<'a, [Node]> {
        if self.unsupported.is_empty() {
            return Cow::Borrowed(peers);
        }
        let known = peers.iter().filter(|p| !self.unsupported.contains(&p.id));
        Cow::Owned(known.cloned().collect())
    }

    /// A peer does not understand such messages.
    pub fn mark_unsupported(&mut self, peer: &NodeId) {
        self.unsupported.insert(peer.clone());
    }

    /// A peer took what it was told.
    pub fn acknowledge(&mut self, peer: &NodeId, versions: &SentVersions) {
        for (request, version) in &versions.0 {
            if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.gossip.acked.insert(peer.clone(), *version);
            }
        }
    }

    /// What this node knows beyond what it was told by a peer.
    pub fn missing_from(&self, news: &[SuspectNews], now: Time) -> Vec<SuspectNews> {
        let known = news.iter().filter_map(|n| Some((n, self.suspects.get(&n.request)?)));
        let newer = known.filter(|(n, suspect)| suspect.is_ahead_of(n));
        newer.map(|(n, suspect)| suspect.to_news(n.request, now)).collect()
    }
}

/// Peers that are to know of a request by now, and the state that they are to know; `None` if
/// there is nothing to tell.
fn recipients<'a>(
    request: Fingerprint,
    suspect: &mut Suspect,
    me: &Name,
    peers: &'a [Node],
    peer_set: u64,
    now: Time,
) -> Option<(Vec<&'a Node>, u64)> {
    let is_global = suspect.is_global();
    let gossip = &mut suspect.gossip;
    if gossip.is_settled(is_global, peer_set) {
        gossip.settle(peer_set);
        return None;
    }
    gossip.acked.retain(|id, _| peers.iter().any(|p| p.id == *id));
    let replicas = replicas(request, me, peers);
    let is_replica = replicas.iter().any(Option::is_none);
    if !is_replica && gossip.defers_to_replicas(now) {
        return None;
    }
    let target = gossip.target_version(is_global);
    if is_replica && is_global {
        return Some((peers.iter().collect(), target));
    }
    Some((replicas.into_iter().flatten().collect(), target))
}

/// Keepers of a request; `None` is this node.
pub(super) fn replicas<'a>(
    request: Fingerprint,
    me: &Name,
    peers: &'a [Node],
) -> Vec<Option<&'a Node>> {
    let score = |name: &Name| hash::mix(request.low, hash::of(name.as_bytes()));
    let mut all: Vec<(u64, Option<&Node>)> =
        peers.iter().map(|p| (score(&p.id.name), Some(p))).collect();
    all.push((score(me), None));
    all.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    all.truncate(REPLICAS);
    all.into_iter().map(|(_, node)| node).collect()
}

/// Tells apart sets of peers.
fn digest(peers: &[Node]) -> u64 {
    let of = |p: &Node| hash::mix(hash::of(p.id.name.as_bytes()), p.id.start);
    peers.iter().map(of).fold(0, |all, one| all ^ one)
}
