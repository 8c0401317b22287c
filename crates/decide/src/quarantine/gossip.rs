//! Which peers are sent which reports.
//!
//! Every crash goes to a few nodes, the replicas of its request, where crashes seen by different
//! nodes are combined. Nodes that agree on the membership agree on the replicas. A request that is
//! or was held goes to every node. Crashes of common, harmless requests, of which the loss of a
//! rack causes thousands, thus cost three messages each, and no messages are sent if nothing
//! crashes.

use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;

use model::forward::{Fingerprint, SuspectReport};
use model::member::{Node, NodeId};
use model::{Name, Time, hash};

use super::{Quarantine, Suspect};

/// Replicas per request. The first may be down undetected, and the second partitioned.
const REPLICAS: usize = 3;
/// Time for which a node that only received reports of a request waits before it sends them to
/// the replicas itself. The replicas notify all nodes and most likely sent these reports.
const REPLICA_GRACE: Duration = Duration::from_secs(1);
/// Maximum requests in one message, which makes 2 KB to 100 KB.
const MAX_MESSAGE: usize = 64;

/// Which version of a request's state each peer has acknowledged.
#[derive(Debug, Default)]
pub(super) struct GossipState {
    /// Incremented with every change.
    version: u64,
    /// Version of the last change that this node observed itself; 0 if it only received reports.
    own_version: u64,
    acked: HashMap<NodeId, u64>,
    /// Version after the last report merged from another node, and when that was.
    received: Option<(u64, Time)>,
    /// Version and digest of the peers for which nothing is left to send.
    settled_at: Option<(u64, u64)>,
}

impl GossipState {
    /// Records a change observed by this node.
    pub(super) fn mark_changed(&mut self) {
        self.version += 1;
        self.own_version = self.version;
    }

    /// Records a change received from another node.
    pub(super) fn mark_received(&mut self, now: Time) {
        self.version += 1;
        self.received = Some((self.version, now));
    }

    /// Records that a peer has the current version.
    pub(super) fn mark_acked(&mut self, peer: &NodeId) {
        self.acked.insert(peer.clone(), self.version);
    }

    /// Whether its replicas, which may have sent the last change, still have time to notify the
    /// other nodes.
    fn defers_to_replicas(&self, now: Time) -> bool {
        let is_recent = |(version, at)| version == self.version && now.since(at) < REPLICA_GRACE;
        self.received.is_some_and(is_recent)
    }

    /// Version that the recipients need. If only the replicas need to know of the request, each
    /// node sends them what it observed, and the replicas need not update each other.
    fn target_version(&self, is_global: bool) -> u64 {
        if is_global { self.version } else { self.own_version }
    }

    /// Whether a peer has acknowledged this version or a later one.
    fn is_acked(&self, peer: &NodeId, version: u64) -> bool {
        self.acked.get(peer).is_some_and(|acked| *acked >= version)
    }

    /// Records that nothing is left to send to these peers.
    fn settle(&mut self, peer_set: u64) {
        self.settled_at = Some((self.version, peer_set));
    }

    /// Whether nothing is left to send to these peers.
    fn is_settled(&self, is_global: bool, peer_set: u64) -> bool {
        match self.settled_at {
            Some(settled) if settled == (self.version, peer_set) => true,
            Some((_, peers)) => !is_global && self.own_version == 0 && peers == peer_set,
            None => !is_global && self.own_version == 0,
        }
    }
}

/// A message to be sent to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Recipient.
    pub peer: Node,
    /// Reports of requests.
    pub reports: Vec<SuspectReport>,
    /// Versions to pass to [`Quarantine::acknowledge`] once the peer has answered.
    pub versions: SentVersions,
}

impl Outgoing {
    fn to(peer: &Node) -> Self {
        Outgoing { peer: peer.clone(), reports: Vec::new(), versions: SentVersions(Vec::new()) }
    }
}

/// Requests in a message and the versions of their state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentVersions(Vec<(Fingerprint, u64)>);

impl Quarantine {
    /// Messages due to peers for which `may_send` holds; `me` is this node.
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
                if message.reports.len() < MAX_MESSAGE {
                    message.reports.push(suspect.to_report(*request, now));
                    message.versions.0.push((*request, suspect.gossip.version));
                }
            }
        }
        messages.into_values().collect()
    }

    /// Peers that support quarantine messages, as far as known. The others are neither replicas nor
    /// recipients, so supporting peers replace them as replicas.
    pub(super) fn supporting<'a>(&self, peers: &'a [Node]) -> Cow<'a, [Node]> {
        if self.unsupported.is_empty() {
            return Cow::Borrowed(peers);
        }
        let known = peers.iter().filter(|p| !self.unsupported.contains(&p.id));
        Cow::Owned(known.cloned().collect())
    }

    /// Records that a peer does not support quarantine messages.
    pub fn mark_unsupported(&mut self, peer: &NodeId) {
        self.unsupported.insert(peer.clone());
    }

    /// Records that a peer has accepted a message.
    pub fn acknowledge(&mut self, peer: &NodeId, versions: &SentVersions) {
        for (request, version) in &versions.0 {
            if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.gossip.acked.insert(peer.clone(), *version);
            }
        }
    }

    /// Reports on those of a peer's requests of which this node knows more than the peer.
    pub fn missing_from(&self, reports: &[SuspectReport], now: Time) -> Vec<SuspectReport> {
        let known = reports.iter().filter_map(|n| Some((n, self.suspects.get(&n.request)?)));
        let newer = known.filter(|(n, suspect)| suspect.is_ahead_of(n));
        newer.map(|(n, suspect)| suspect.to_report(n.request, now)).collect()
    }
}

/// Peers that must know of a request by now, and the version that they need; `None` if there is
/// nothing to send.
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

/// Replicas of a request by rendezvous hashing; `None` is this node.
pub(super) fn replicas<'a>(
    request: Fingerprint,
    me: &Name,
    peers: &'a [Node],
) -> Vec<Option<&'a Node>> {
    let score = |name: &Name| hash::mix(request.low, hash::hash64(name.as_bytes()));
    let mut all: Vec<(u64, Option<&Node>)> =
        peers.iter().map(|p| (score(&p.id.name), Some(p))).collect();
    all.push((score(me), None));
    all.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    all.truncate(REPLICAS);
    all.into_iter().map(|(_, node)| node).collect()
}

/// Digest of a set of peers, used to detect changes.
fn digest(peers: &[Node]) -> u64 {
    let of = |p: &Node| hash::mix(hash::hash64(p.id.name.as_bytes()), p.id.start);
    peers.iter().map(of).fold(0, |all, one| all ^ one)
}
