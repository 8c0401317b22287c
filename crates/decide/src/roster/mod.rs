//! What a node believes of its peers, and in which order nodes coordinate a service.
//!
//! Membership says who is up; answers of peers, or their silence, say more and sooner.
//! The order is a rendezvous order, so that all nodes that agree on the members agree
//! on the coordinator without a message. Being wrong about it only costs batches.

mod changes;
mod contact;
mod ranking;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::forward::PoolId;
use model::member::{Node, NodeId};
use model::{Name, Time, hash};

use crate::fleet::Regions;
use crate::region::Map;
use crate::relay::{Relays, Role};
use crate::tally::Tally;

pub use changes::{Changes, ViewChange};
pub use contact::Contact;
use contact::Contacts;
use ranking::{Rankings, score};

/// Nodes of each failure domain that its followers ask: the relay, which reads the store,
/// and its standby. If both fail others take their place.
const RELAYS: usize = 2;
/// What relays are ordered by.
const RELAY_KEY: &str = "relay of the store";
/// Of the hosts that bear least, one in this many reads the store before it knows its peers:
/// a failure domain of such hosts alone has a source then as soon as its members meet.
const EARLY_ONE_IN: u64 = 16;
/// Time for which it waits for word of a host that bears more and has read the store.
const EARLY_WAIT: Duration = Duration::from_millis(300);
/// Longest time in which nodes that started together find each other.
const GATHERING: Duration = Duration::from_millis(800);
/// Time without a new peer on a host that bears as much as any, after which they have found
/// each other. News of a peer goes from node to node within some tens of milliseconds.
const STILL: Duration = Duration::from_millis(100);
/// Time after which a node that came counts as settled.
const SETTLED: Duration = Duration::from_secs(3);
/// Nodes that started within this time of the oldest one came together with it: there is
/// no work yet that could move to them. Restarts after a loss of power lie 0.5 s apart.
const TOGETHER: Duration = Duration::from_millis(1500);
/// Silent peers asked for a sign of life together.
const CHECKED: usize = 3;
/// Peers asked together whether they are there once one has fallen silent: this many in
/// the order, and this many of each failure domain.
const SURVEYED: usize = 3;
/// Skipped peers that an order names at most.
const SKIPPED: usize = 8;
/// Time for which a peer that stopped is remembered.
const STOPPED_KEPT: Duration = Duration::from_secs(60);

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
    fn uptime(&self, now: Time) -> Duration {
        self.up + now.since(self.at)
    }

    /// Start of its process in microseconds on this node's clock, on which it may lie before
    /// this node's own.
    fn born(&self) -> i64 {
        let at = i64::try_from(self.at.0).unwrap_or(i64::MAX);
        at.saturating_sub(i64::try_from(self.up.as_micros()).unwrap_or(i64::MAX))
    }
}

/// Peers as one node sees them. Times count from the node's own start.
#[derive(Debug)]
pub struct Roster {
    me: Name,
    domain: Name,
    map: Arc<Map>,
    capacity: u8,
    stops: bool,
    up: BTreeMap<NodeId, PeerView>,
    addresses: HashMap<SocketAddr, NodeId>,
    /// Peers of each failure domain.
    domains: Tally<Name>,
    /// Peers on hosts that bear this much.
    capacities: Tally<u8>,
    /// Starts of the peers' processes.
    births: BTreeSet<(i64, NodeId)>,
    rankings: RefCell<Rankings>,
    visited: Cell<u64>,
    contacts: Contacts,
    stopping: BTreeMap<NodeId, Time>,
    most: usize,
    /// When the hosts that bear most last became more: others coordinate and relay nothing.
    grown: Time,
}

impl Roster {
    /// The node `me` of a failure domain, which knows nobody yet.
    pub fn new(me: Name, domain: Name, capacity: u8) -> Self {
        Roster {
            me,
            map: Arc::new(Map::new(domain.clone(), Regions::default())),
            domain,
            capacity,
            stops: false,
            up: BTreeMap::new(),
            addresses: HashMap::new(),
            domains: Tally::default(),
            capacities: Tally::default(),
            births: BTreeSet::new(),
            rankings: RefCell::default(),
            visited: Cell::new(0),
            contacts: Contacts::default(),
            stopping: BTreeMap::new(),
            most: 1,
            grown: Time::ZERO,
        }
    }

    /// Takes where failure domains lie.
    pub fn set_regions(&mut self, regions: Regions) {
        self.map = Arc::new(Map::new(self.domain.clone(), regions));
    }

    /// How far regions lie apart.
    pub fn map(&self) -> Arc<Map> {
        self.map.clone()
    }

    /// A probe of a node in a failure domain was answered after this time.
    pub fn measured(&mut self, domain: &Name, took: Duration) {
        Arc::make_mut(&mut self.map).measured(domain, took);
    }

    /// Takes the peers that are up, and forgets what concerns others.
    pub fn update(&mut self, up: Vec<PeerView>, now: Time) {
        let there: BTreeSet<&NodeId> = up.iter().map(|p| &p.node.id).collect();
        let gone: Vec<NodeId> = self.up.keys().filter(|id| !there.contains(id)).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
        for view in up {
            self.put(view, now);
        }
        self.forget_gone(now);
    }

    /// Takes one peer that is up, as it is now.
    pub fn put(&mut self, view: PeerView, now: Time) {
        let hubs = self.hubs();
        let known = self.up.get(&view.node.id);
        if known.is_some_and(|known| known.node != view.node) {
            self.remove(&view.node.id);
        } else if let Some(known) = known {
            self.births.remove(&(known.born(), known.node.id.clone()));
        }
        let node = &view.node;
        self.births.insert((view.born(), node.id.clone()));
        if !self.up.contains_key(&node.id) {
            self.rankings.get_mut().insert(node);
            self.domains.add(&node.domain);
            self.capacities.add(&node.capacity);
        }
        for address in [node.address, node.entry] {
            self.addresses.insert(address, node.id.clone());
        }
        self.up.insert(node.id.clone(), view);
        self.most = self.most.max(self.up.len() + 1);
        if self.hubs() > hubs {
            self.grown = now;
        }
    }

    /// A peer is not up any more.
    pub fn remove(&mut self, id: &NodeId) {
        let Some(view) = self.up.remove(id) else {
            return;
        };
        let node = &view.node;
        self.births.remove(&(view.born(), id.clone()));
        self.rankings.get_mut().remove(node);
        self.domains.remove(&node.domain);
        self.capacities.remove(&node.capacity);
        for address in [node.address, node.entry] {
            if self.addresses.get(&address) == Some(id) {
                self.addresses.remove(&address);
            }
        }
        self.contacts.forget(id, &node.domain);
    }

    /// Forgets peers that stopped long ago, and what was heard of peers after they were gone.
    pub fn forget_gone(&mut self, now: Time) {
        self.stopping.retain(|_, since| now.since(*since) < STOPPED_KEPT);
        if self.contacts.len() > self.up.len() {
            self.contacts.retain(|id| self.up.contains_key(id));
        }
    }

    /// The most that a host bears, and how many hosts bear that.
    fn hubs(&self) -> (u8, usize) {
        let known = self.capacities.keys().next_back().copied().unwrap_or(0);
        let most = known.max(self.capacity);
        (most, self.capacities.count(&most) + usize::from(most == self.capacity))
    }

    /// Peers looked at so far for questions of who does something.
    pub fn visited(&self) -> u64 {
        self.visited.get()
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
        let sound = self.up.get(id).is_some_and(|p| !p.suspect);
        sound || self.stopping.contains_key(id)
    }

    fn domain_of(&self, id: &NodeId) -> Option<Name> {
        self.up.get(id).map(|p| p.node.domain.clone())
    }

    /// Failure domain of the peer at an address, if it is up.
    pub fn domain_at(&self, address: SocketAddr) -> Option<&Name> {
        let id = self.addresses.get(&address)?;
        self.up.get(id).map(|p| &p.node.domain)
    }

    /// A peer answered.
    pub fn answered(&mut self, id: &NodeId, now: Time) {
        let domain = self.domain_of(id);
        self.contacts.answered(id, domain.as_ref(), now);
    }

    /// A peer did not answer. It counts as silent until it does.
    pub fn silent(&mut self, id: &NodeId, now: Time) {
        let domain = self.domain_of(id);
        self.contacts.silent(id, domain.as_ref(), now);
    }

    /// An order begins to wait at a peer of which nothing may be known yet.
    pub fn begin_wait(&mut self, id: &NodeId, now: Time) {
        self.contacts.begin_wait(id, now);
    }

    /// What is known of a peer's answers; if nothing is, the peer counts as being asked
    /// from now on.
    pub fn contact(&mut self, id: &NodeId, now: Time) -> Contact {
        self.contacts.contact(id, now)
    }

    /// Whether a peer counts as silent.
    pub fn is_silent(&self, id: &NodeId) -> bool {
        self.contacts.is_silent(id)
    }

    /// Whether a peer may coordinate, as far as this node knows.
    fn is_wanted(&self, p: &PeerView) -> bool {
        let id = &p.node.id;
        let domain = &p.node.domain;
        let is_cut = *domain != self.domain && self.contacts.is_cut(domain);
        let reachable = !self.contacts.is_silent(id) && !is_cut;
        !p.suspect && !self.stopping.contains_key(id) && reachable
    }

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

    /// Longest time that a peer has run.
    fn longest_up(&self, now: Time) -> Option<Duration> {
        let (_, id) = self.births.first()?;
        self.up.get(id).map(|p| p.uptime(now))
    }

    /// Uptime from which on a node counts as settled: it would take no work from others.
    fn settled_from(&self, now: Time) -> Duration {
        let oldest = self.longest_up(now).unwrap_or_default().max(now.since(Time::ZERO));
        SETTLED.min(oldest.saturating_sub(TOGETHER))
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
        self.coordinators(Duty { service, region: None, domain: Some(&domain.into()) }, now).next()
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
        let near = Duty { service: target, region: None, domain: Some(&domain.into()) };
        let mut near = self.coordinators(near, now).filter(is_known);
        near.next().or_else(|| self.coordinators(target, now).find(is_known))
    }

    /// Nodes that are up as far as is known, but for this one: suspected and stopping ones too.
    pub fn ids(&self) -> Vec<NodeId> {
        self.up.keys().cloned().collect()
    }

    /// The same with their addresses.
    pub fn peers(&self) -> Vec<Node> {
        self.up.values().map(|p| p.node.clone()).collect()
    }

    /// Whether this node comes first among the coordinators of a duty.
    pub fn coordinates<'a>(&self, duty: impl Into<Duty<'a>>, now: Time) -> bool {
        self.coordinators(duty, now).next().is_none_or(|n| n.is_none())
    }

    /// Who relays the store's state to this node: the first of its failure domain, the second
    /// as its standby, and the first of each other domain in case those fail.
    ///
    /// A node that has just started knows only some of its peers, and may take itself for a
    /// relay that it is not. Until it knows them all it asks those that read the store from
    /// their start on, as their names and hosts tell.
    pub fn relays(&self, now: Time) -> Relays {
        if self.is_forming(now) {
            return self.early_relays(now);
        }
        let in_domain = |domain| {
            self.coordinators(Duty { service: RELAY_KEY, region: None, domain: Some(domain) }, now)
        };
        let near: Vec<Option<Node>> = in_domain(&self.domain).take(RELAYS).collect();
        let others = self.domains.keys().filter(|domain| **domain != self.domain);
        let mut far: Vec<Node> =
            others.filter_map(|domain| in_domain(domain).next().flatten()).collect();
        far.sort_by_key(|n| std::cmp::Reverse((n.capacity, score(RELAY_KEY, &n.id.name))));
        let role = match near.iter().position(Option::is_none) {
            Some(0) => Role::Relay,
            Some(_) => Role::Standby,
            None => Role::Follower,
        };
        let peers = near.into_iter().flatten().chain(far).collect();
        Relays { role, followers: self.near_count(), peers }
    }

    /// Peers in this node's failure domain.
    fn near_count(&self) -> usize {
        self.domains.count(&self.domain)
    }

    /// Sources while this node does not know yet who the relays are.
    fn early_relays(&self, now: Time) -> Relays {
        let near = Duty { service: RELAY_KEY, region: None, domain: Some(&self.domain) };
        let near = self.coordinators(near, now).flatten();
        let early = near.filter(|n| reads_early(&n.id.name, n.capacity));
        let peers = self.in_turn(early.take(RELAYS).collect());
        let has_better = peers.first().is_some_and(|n| n.capacity > self.capacity);
        let waits = self.capacity == 0 && (has_better || now.since(Time::ZERO) < EARLY_WAIT);
        let reads = reads_early(&self.me, self.capacity) && !waits;
        let role = if reads { Role::Relay } else { Role::Unknown };
        Relays { role, followers: self.near_count() + 1, peers }
    }

    /// Followers share the relays out among themselves.
    fn in_turn(&self, mut relays: Vec<Node>) -> Vec<Node> {
        if !relays.is_empty() {
            let turn = hash::of(self.me.as_bytes()) as usize % relays.len();
            relays.rotate_left(turn);
        }
        relays
    }

    /// Whether this node has just started and does not know all of its peers yet.
    fn is_forming(&self, now: Time) -> bool {
        let is_still = !self.up.is_empty() && now.since(self.grown) >= STILL;
        now.since(Time::ZERO) < GATHERING && !is_still
    }

    /// Whether the nodes that are up may still be finding each other: this one has just
    /// started, and knows none that has been up for longer.
    pub fn is_gathering(&self, now: Time) -> bool {
        self.is_forming(now) && self.longest_up(now).is_none_or(|up| up < SETTLED)
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

/// Whether a node reads the store before it knows its peers: hosts that bear more, and a few of
/// the others.
fn reads_early(name: &Name, capacity: u8) -> bool {
    capacity > 0 || hash::of(name.as_bytes()).is_multiple_of(EARLY_ONE_IN)
}
