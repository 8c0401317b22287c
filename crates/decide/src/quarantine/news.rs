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

use super::{Case, Quarantine};

/// Keepers of a request. The first may be down without anybody knowing, and the second cut off.
const KEEPERS: usize = 3;
/// Time that a node which only heard of a request leaves to its keepers before it tells them
/// itself: they tell everybody, and most likely told this node.
const KEEPERS_FIRST: Duration = Duration::from_secs(1);
/// Requests in one message: 2 KB to 100 KB.
const MESSAGE_MOST: usize = 64;

/// What of one request was told to whom: its state by a number that rises.
#[derive(Debug, Default)]
pub(super) struct Tellings {
    state: u64,
    /// The last state that this node brought about; 0 if it only heard of the request.
    own: u64,
    told: HashMap<NodeId, u64>,
    /// The state that another node told of, and when.
    heard: Option<(u64, Time)>,
    /// All have been told who are to know, as of this state and these peers.
    settled: Option<(u64, u64)>,
}

impl Tellings {
    /// This node knows something new: all are to be told.
    pub(super) fn changed(&mut self) {
        self.state += 1;
        self.own = self.state;
    }

    /// The same, since another node told of it.
    pub(super) fn heard(&mut self, now: Time) {
        self.state += 1;
        self.heard = Some((self.state, now));
    }

    /// A peer knows what is known here.
    pub(super) fn knows(&mut self, peer: &NodeId) {
        self.told.insert(peer.clone(), self.state);
    }

    /// Whether its keepers, who may have told of it, are left time to tell the others.
    fn is_left_to_keepers(&self, now: Time) -> bool {
        let is_recent = |(state, at)| state == self.state && now.since(at) < KEEPERS_FIRST;
        self.heard.is_some_and(is_recent)
    }

    /// State that listeners are to know. Of a request that concerns its keepers alone each
    /// witness tells them what it saw, and they need not tell each other.
    fn wanted(&self, concerns_all: bool) -> u64 {
        if concerns_all { self.state } else { self.own }
    }

    /// Whether a peer was told of this state.
    fn has(&self, peer: &NodeId, state: u64) -> bool {
        self.told.get(peer).is_some_and(|told| *told >= state)
    }

    /// All of these peers know what they are to know.
    fn settle(&mut self, seen: u64) {
        self.settled = Some((self.state, seen));
    }

    /// Whether there is nothing to tell, as of these peers.
    fn is_settled(&self, concerns_all: bool, seen: u64) -> bool {
        match self.settled {
            Some(settled) if settled == (self.state, seen) => true,
            Some((_, peers)) => !concerns_all && self.own == 0 && peers == seen,
            None => !concerns_all && self.own == 0,
        }
    }
}

/// A message that a peer is to have.
#[derive(Debug, Clone, PartialEq)]
pub struct Unsent {
    /// The peer.
    pub peer: Node,
    /// What it is to know.
    pub news: Vec<SuspectNews>,
    /// What it was told, for when it has answered.
    pub told: Told,
}

impl Unsent {
    fn to(peer: &Node) -> Self {
        Unsent { peer: peer.clone(), news: Vec::new(), told: Told(Vec::new()) }
    }
}

/// Requests of which a peer was told, and their states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told(Vec<(Fingerprint, u64)>);

impl Quarantine {
    /// Messages to peers that `may` be told now; `me` is this node.
    pub fn unsent(
        &mut self,
        me: &Name,
        peers: &[Node],
        may: impl Fn(&NodeId) -> bool,
        now: Time,
    ) -> Vec<Unsent> {
        self.strangers.retain(|id| peers.iter().any(|p| p.id == *id));
        let peers = &self.known(peers)[..];
        let seen = digest(peers);
        let mut unsent: HashMap<NodeId, Unsent> = HashMap::new();
        for (request, case) in &mut self.cases {
            let Some((listeners, wanted)) = listeners(*request, case, me, peers, seen, now) else {
                continue;
            };
            let is_told = |p: &&Node| case.tellings.has(&p.id, wanted);
            let untold: Vec<&Node> = listeners.into_iter().filter(|p| !is_told(p)).collect();
            if untold.is_empty() {
                case.tellings.settle(seen);
            }
            for peer in untold.into_iter().filter(|p| may(&p.id)) {
                let message = unsent.entry(peer.id.clone()).or_insert_with(|| Unsent::to(peer));
                if message.news.len() < MESSAGE_MOST {
                    message.news.push(case.news(*request, now));
                    message.told.0.push((*request, case.tellings.state));
                }
            }
        }
        unsent.into_values().collect()
    }

    /// Peers that understand such messages, as far as is known. The others keep nothing and are
    /// told nothing, so that requests whose keepers they would be are kept by those that do.
    pub(super) fn known<'a>(&self, peers: &'a [Node]) -> Cow<'a, [Node]> {
        if self.strangers.is_empty() {
            return Cow::Borrowed(peers);
        }
        let known = peers.iter().filter(|p| !self.strangers.contains(&p.id));
        Cow::Owned(known.cloned().collect())
    }

    /// A peer does not understand such messages.
    pub fn stranger(&mut self, peer: &NodeId) {
        self.strangers.insert(peer.clone());
    }

    /// A peer took what it was told.
    pub fn told(&mut self, peer: &NodeId, told: &Told) {
        for (request, state) in &told.0 {
            if let Some(case) = self.cases.get_mut(request) {
                case.tellings.told.insert(peer.clone(), *state);
            }
        }
    }

    /// What this node knows beyond what it was told by a peer.
    pub fn beyond(&self, news: &[SuspectNews], now: Time) -> Vec<SuspectNews> {
        let known = news.iter().filter_map(|n| Some((n, self.cases.get(&n.request)?)));
        let more = known.filter(|(n, case)| case.knows_more(n));
        more.map(|(n, case)| case.news(n.request, now)).collect()
    }
}

/// Peers that are to know of a request by now, and the state that they are to know; `None` if
/// there is nothing to tell.
fn listeners<'a>(
    request: Fingerprint,
    case: &mut Case,
    me: &Name,
    peers: &'a [Node],
    seen: u64,
    now: Time,
) -> Option<(Vec<&'a Node>, u64)> {
    let concerns_all = case.concerns_all();
    let tellings = &mut case.tellings;
    if tellings.is_settled(concerns_all, seen) {
        tellings.settle(seen);
        return None;
    }
    tellings.told.retain(|id, _| peers.iter().any(|p| p.id == *id));
    let keepers = keepers(request, me, peers);
    let is_keeper = keepers.iter().any(Option::is_none);
    if !is_keeper && tellings.is_left_to_keepers(now) {
        return None;
    }
    let wanted = tellings.wanted(concerns_all);
    if is_keeper && concerns_all {
        return Some((peers.iter().collect(), wanted));
    }
    Some((keepers.into_iter().flatten().collect(), wanted))
}

/// Keepers of a request; `None` is this node.
pub(super) fn keepers<'a>(
    request: Fingerprint,
    me: &Name,
    peers: &'a [Node],
) -> Vec<Option<&'a Node>> {
    let score = |name: &Name| hash::mix(request.low, hash::of(name.as_bytes()));
    let mut all: Vec<(u64, Option<&Node>)> =
        peers.iter().map(|p| (score(&p.id.name), Some(p))).collect();
    all.push((score(me), None));
    all.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    all.truncate(KEEPERS);
    all.into_iter().map(|(_, node)| node).collect()
}

/// Tells apart sets of peers.
fn digest(peers: &[Node]) -> u64 {
    let of = |p: &Node| hash::mix(hash::of(p.id.name.as_bytes()), p.id.start);
    peers.iter().map(of).fold(0, |all, one| all ^ one)
}
