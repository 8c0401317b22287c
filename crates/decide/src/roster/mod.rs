//! What a node believes of its peers, and in which order nodes coordinate a service.
//!
//! Membership says who is up; answers of peers, or their silence, say more and sooner.
//! The order is a rendezvous order, so that all nodes that agree on the members agree
//! on the coordinator without a message. Being wrong about it only costs batches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::member::{Node, NodeId};
use model::{Name, Time, hash};

use crate::relay::Relays;

/// Relays of the store's state in each failure domain; three, so that two may fail at once.
const RELAYS: usize = 3;
/// What relays are ordered by.
const RELAY_KEY: &str = "relay of the store";
/// Time in which nodes that started together find each other.
const GATHERING: Duration = Duration::from_millis(800);
/// Time after which a node that came counts as settled.
const SETTLED: Duration = Duration::from_secs(3);
/// Time for which an answer of a peer is taken to hold.
const ANSWER_KEPT: Duration = Duration::from_millis(250);
/// Time for which a peer that did not answer is passed over.
const SILENCE_KEPT: Duration = Duration::from_millis(1000);
/// Time for which a peer that stopped is remembered.
const STOPPED_KEPT: Duration = Duration::from_secs(60);

/// A peer that is up.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// Identity and addresses.
    pub node: Node,
    /// A probe of it failed.
    pub suspect: bool,
    /// How long its process had run at `at`.
    pub up: Duration,
    /// When this view was taken.
    pub at: Time,
}

impl PeerView {
    fn is_settled(&self, now: Time) -> bool {
        self.up + now.since(self.at) >= SETTLED
    }
}

/// What is known of a peer's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It answered a moment ago, or is being asked.
    Answers,
    /// It did not answer a moment ago.
    Silent,
    /// Nothing is known: it is to be asked.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    answered: Time,
    silent: Option<Time>,
    asking: bool,
}

/// Peers as one node sees them. Times count from the node's own start.
#[derive(Debug)]
pub struct Roster {
    me: Name,
    stops: bool,
    up: Vec<PeerView>,
    heard: BTreeMap<NodeId, Heard>,
    stopping: BTreeMap<NodeId, Time>,
    most: usize,
}

impl Roster {
    /// A node that knows nobody.
    pub fn new(me: Name) -> Self {
        Roster {
            me,
            stops: false,
            up: Vec::new(),
            heard: BTreeMap::new(),
            stopping: BTreeMap::new(),
            most: 1,
        }
    }

    /// Takes the peers that are up, and forgets what concerns others.
    pub fn update(&mut self, up: Vec<PeerView>, now: Time) {
        self.most = self.most.max(up.len() + 1);
        let ids: BTreeSet<&NodeId> = up.iter().map(|p| &p.node.id).collect();
        self.heard.retain(|id, _| ids.contains(id));
        self.stopping.retain(|_, since| now.since(*since) < STOPPED_KEPT);
        self.up = up;
    }

    /// This node stops.
    pub fn stop(&mut self) {
        self.stops = true;
    }

    /// Nodes up, this one included.
    pub fn count(&self) -> usize {
        self.up.len() + 1
    }

    /// Most nodes seen up together, this one included.
    pub fn most_seen(&self) -> usize {
        self.most
    }

    /// A peer told that it stops and coordinates no more.
    pub fn note_stopping(&mut self, id: &NodeId, now: Time) {
        self.stopping.entry(id.clone()).or_insert(now);
    }

    /// Whether this start of a peer can be waited for: it is up and not suspected,
    /// or stops as planned and ends what it has begun.
    pub fn is_sound(&self, id: &NodeId) -> bool {
        let sound = self.up.iter().any(|p| p.node.id == *id && !p.suspect);
        sound || self.stopping.contains_key(id)
    }

    /// A peer answered.
    pub fn answered(&mut self, id: &NodeId, now: Time) {
        self.heard.insert(id.clone(), Heard { answered: now, silent: None, asking: false });
    }

    /// A peer did not answer.
    pub fn silent(&mut self, id: &NodeId, now: Time) {
        let heard = Heard { answered: Time::ZERO, silent: Some(now), asking: false };
        self.heard.insert(id.clone(), heard);
    }

    fn is_silent(&self, id: &NodeId, now: Time) -> bool {
        let silent = self.heard.get(id).and_then(|h| h.silent);
        silent.is_some_and(|at| now.since(at) < SILENCE_KEPT)
    }

    /// What is known of a peer's answers; if nothing is, the peer counts as being asked
    /// from now on. A first question waits for as long as an answer holds.
    pub fn contact(&mut self, id: &NodeId, now: Time) -> Contact {
        if self.is_silent(id, now) {
            return Contact::Silent;
        }
        let fresh = Heard { answered: now, silent: None, asking: false };
        let heard = self.heard.entry(id.clone()).or_insert(fresh);
        if heard.asking || now.since(heard.answered) < ANSWER_KEPT {
            return Contact::Answers;
        }
        heard.asking = true;
        Contact::Unknown
    }

    /// Nodes in the order in which they coordinate `service`; `None` is this node.
    ///
    /// Nodes that have just come go behind those that have not, so that a restart moves
    /// the work once and not twice; one that stops goes last; one that did not answer a
    /// moment ago is left out.
    pub fn coordinators(&self, service: &str, now: Time) -> Vec<Option<Node>> {
        let key = hash::of(service.as_bytes());
        let score = |name: &Name| hash::mix(key, hash::of(name.as_bytes()));
        let wanted = |p: &&PeerView| {
            let id = &p.node.id;
            !p.suspect && !self.stopping.contains_key(id) && !self.is_silent(id, now)
        };
        let mut order: Vec<(bool, u64, Option<Node>)> = self
            .up
            .iter()
            .filter(wanted)
            .map(|p| (p.is_settled(now), score(&p.node.id.name), Some(p.node.clone())))
            .collect();
        let own_score = if self.stops { 0 } else { score(&self.me) };
        let is_settled = !self.stops && now.since(Time::ZERO) >= SETTLED;
        order.push((is_settled, own_score, None));
        order.sort_by_key(|(settled, score, _)| std::cmp::Reverse((*settled, *score)));
        order.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Whether this node comes first among the coordinators of `service`.
    pub fn coordinates(&self, service: &str, now: Time) -> bool {
        self.coordinators(service, now).first().is_none_or(Option::is_none)
    }

    /// Who relays the store's state to a node of this failure domain: the first few of
    /// it, and one of each other domain in case those fail.
    pub fn relays(&self, domain: &str, now: Time) -> Relays {
        let (near, far): (Vec<_>, Vec<_>) = self
            .coordinators(RELAY_KEY, now)
            .into_iter()
            .partition(|n| n.as_ref().is_none_or(|n| *n.domain == *domain));
        let first = &near[..near.len().min(RELAYS)];
        let mut peers: Vec<Node> = first.iter().flatten().cloned().collect();
        if !peers.is_empty() {
            // Followers share the relays out among themselves.
            let turn = hash::of(self.me.as_bytes()) as usize % peers.len();
            peers.rotate_left(turn);
        }
        let mut domains = BTreeSet::new();
        peers.extend(far.into_iter().flatten().filter(|n| domains.insert(n.domain.clone())));
        Relays { own: first.contains(&None), followed: near.len() > RELAYS, peers }
    }

    /// Peers that are up and not suspected.
    pub fn sound(&self) -> Vec<Node> {
        self.up.iter().filter(|p| !p.suspect).map(|p| p.node.clone()).collect()
    }

    /// Whether the nodes that are up may still be finding each other: this one has just
    /// started, and knows none that has been up for longer.
    pub fn is_gathering(&self, now: Time) -> bool {
        now.since(Time::ZERO) < GATHERING && !self.up.iter().any(|p| p.is_settled(now))
    }
}
