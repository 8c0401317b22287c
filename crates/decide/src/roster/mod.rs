//! What a node believes of its peers, and in which order nodes coordinate a service.
//!
//! Membership says who is up; answers of peers, or their silence, say more and sooner. Here is
//! what is known of them; who does what follows from it (`duty`), and who is asked for the store's
//! state (`sources`).

mod changes;
mod contact;
mod duty;
mod ranking;
mod sources;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::member::{Node, NodeId};
use model::{Name, Time};

use crate::fleet::Regions;
use crate::region::Map;
use crate::tally::Tally;

pub use changes::{Changes, ViewChange};
pub use contact::Contact;
use contact::Contacts;
pub use duty::Duty;
use ranking::Rankings;

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
        Arc::make_mut(&mut self.map).record_round_trip(domain, took);
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

    /// Nodes that are up as far as is known, but for this one: suspected and stopping ones too.
    pub fn ids(&self) -> Vec<NodeId> {
        self.up.keys().cloned().collect()
    }

    /// The same with their addresses.
    pub fn peers(&self) -> Vec<Node> {
        self.up.values().map(|p| p.node.clone()).collect()
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
