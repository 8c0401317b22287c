//! What a node believes of its peers, and in which order nodes coordinate a service.
//!
//! Membership says who is up; answers of peers, or their silence, say more and sooner. Here is
//! what is known of them; who does what follows from it (`role_key`), and who is asked for the store's
//! state (`sources`).

mod changes;
mod contact;
mod ranking;
mod role_key;
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

pub use changes::{PendingChanges, ViewChange};
use contact::PeerLiveness;
pub use contact::Reachability;
use ranking::Rankings;
pub use role_key::RoleKey;

/// Longest time in which nodes that started together find each other.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a new peer on a host that bears as much as any, after which they have found
/// each other. News of a peer goes from node to node within some tens of milliseconds.
const DISCOVERY_QUIET: Duration = Duration::from_millis(100);
/// Time after which a node that came counts as settled.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Nodes that started within this time of the oldest one came together with it: there is
/// no work yet that could move to them. Restarts after a loss of power lie 0.5 s apart.
const SAME_START_WINDOW: Duration = Duration::from_millis(1500);
/// Time for which a peer that stopped is remembered.
const STOPPED_TTL: Duration = Duration::from_secs(60);

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
    fn started_us(&self) -> i64 {
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
    is_stopping: bool,
    up: BTreeMap<NodeId, PeerView>,
    addresses: HashMap<SocketAddr, NodeId>,
    /// Peers of each failure domain.
    domains: Tally<Name>,
    /// Peers on hosts that bear this much.
    capacities: Tally<u8>,
    /// Starts of the peers' processes.
    starts: BTreeSet<(i64, NodeId)>,
    rankings: RefCell<Rankings>,
    visited: Cell<u64>,
    liveness: PeerLiveness,
    stopping: BTreeMap<NodeId, Time>,
    max_up: usize,
    /// When the hosts that bear most last became more: others coordinate and relay nothing.
    hubs_grown: Time,
}

impl Roster {
    /// The node `me` of a failure domain, which knows nobody yet.
    pub fn new(me: Name, domain: Name, capacity: u8) -> Self {
        Roster {
            me,
            map: Arc::new(Map::new(domain.clone(), Regions::default())),
            domain,
            capacity,
            is_stopping: false,
            up: BTreeMap::new(),
            addresses: HashMap::new(),
            domains: Tally::default(),
            capacities: Tally::default(),
            starts: BTreeSet::new(),
            rankings: RefCell::default(),
            visited: Cell::new(0),
            liveness: PeerLiveness::default(),
            stopping: BTreeMap::new(),
            max_up: 1,
            hubs_grown: Time::ZERO,
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
    pub fn record_rtt(&mut self, domain: &Name, took: Duration) {
        Arc::make_mut(&mut self.map).measured(domain, took);
    }

    /// Takes the peers that are up, and forgets what concerns others.
    pub fn update(&mut self, up: Vec<PeerView>, now: Time) {
        let present: BTreeSet<&NodeId> = up.iter().map(|p| &p.node.id).collect();
        let absent: Vec<NodeId> =
            self.up.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in absent {
            self.remove(&id);
        }
        for view in up {
            self.put(view, now);
        }
        self.purge_departed(now);
    }

    /// Takes one peer that is up, as it is now.
    pub fn put(&mut self, view: PeerView, now: Time) {
        let hubs = self.hubs();
        let previous = self.up.get(&view.node.id);
        if previous.is_some_and(|previous| previous.node != view.node) {
            self.remove(&view.node.id);
        } else if let Some(previous) = previous {
            self.starts.remove(&(previous.started_us(), previous.node.id.clone()));
        }
        let node = &view.node;
        self.starts.insert((view.started_us(), node.id.clone()));
        if !self.up.contains_key(&node.id) {
            self.rankings.get_mut().insert(node);
            self.domains.add(&node.domain);
            self.capacities.add(&node.capacity);
        }
        for address in [node.address, node.entry] {
            self.addresses.insert(address, node.id.clone());
        }
        self.up.insert(node.id.clone(), view);
        self.max_up = self.max_up.max(self.up.len() + 1);
        if self.hubs() > hubs {
            self.hubs_grown = now;
        }
    }

    /// A peer is not up any more.
    pub fn remove(&mut self, id: &NodeId) {
        let Some(view) = self.up.remove(id) else {
            return;
        };
        let node = &view.node;
        self.starts.remove(&(view.started_us(), id.clone()));
        self.rankings.get_mut().remove(node);
        self.domains.remove(&node.domain);
        self.capacities.remove(&node.capacity);
        for address in [node.address, node.entry] {
            if self.addresses.get(&address) == Some(id) {
                self.addresses.remove(&address);
            }
        }
        self.liveness.remove(id, &node.domain);
    }

    /// Forgets peers that stopped long ago, and what was heard of peers after they were gone.
    pub fn purge_departed(&mut self, now: Time) {
        self.stopping.retain(|_, since| now.since(*since) < STOPPED_TTL);
        if self.liveness.len() > self.up.len() {
            self.liveness.retain(|id| self.up.contains_key(id));
        }
    }

    /// The most that a host bears, and how many hosts bear that.
    fn hubs(&self) -> (u8, usize) {
        let known = self.capacities.keys().next_back().copied().unwrap_or(0);
        let max_capacity = known.max(self.capacity);
        (
            max_capacity,
            self.capacities.count(&max_capacity) + usize::from(max_capacity == self.capacity),
        )
    }

    /// Peers looked at so far for questions of who does something.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// This node stops.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Nodes up, this one included.
    pub fn count(&self) -> usize {
        self.up.len() + 1
    }

    /// Most nodes seen up together, this one included.
    pub fn max_seen(&self) -> usize {
        self.max_up
    }

    /// A peer told that it stops and coordinates no more.
    pub fn note_stopping(&mut self, id: &NodeId, now: Time) {
        self.stopping.entry(id.clone()).or_insert(now);
    }

    /// Whether this start of a peer can be waited for: it is up and not suspected,
    /// or stops as planned and ends what it has begun.
    pub fn is_awaitable(&self, id: &NodeId) -> bool {
        let is_trusted = self.up.get(id).is_some_and(|p| !p.suspect);
        is_trusted || self.stopping.contains_key(id)
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
    pub fn mark_answered(&mut self, id: &NodeId, now: Time) {
        let domain = self.domain_of(id);
        self.liveness.mark_answered(id, domain.as_ref(), now);
    }

    /// A peer did not answer. It counts as silent until it does.
    pub fn mark_silent(&mut self, id: &NodeId, now: Time) {
        let domain = self.domain_of(id);
        self.liveness.mark_silent(id, domain.as_ref(), now);
    }

    /// An order begins to wait at a peer of which nothing may be known yet.
    pub fn begin_wait(&mut self, id: &NodeId, now: Time) {
        self.liveness.begin_wait(id, now);
    }

    /// What is known of a peer's answers; if nothing is, the peer counts as being asked
    /// from now on.
    pub fn reachability(&mut self, id: &NodeId, now: Time) -> Reachability {
        self.liveness.reachability(id, now)
    }

    /// Whether a peer counts as silent.
    pub fn is_silent(&self, id: &NodeId) -> bool {
        self.liveness.is_silent(id)
    }

    /// Whether a peer may coordinate, as far as this node knows.
    fn is_eligible(&self, p: &PeerView) -> bool {
        let id = &p.node.id;
        let domain = &p.node.domain;
        let domain_is_cut = *domain != self.domain && self.liveness.is_cut(domain);
        let reachable = !self.liveness.is_silent(id) && !domain_is_cut;
        !p.suspect && !self.stopping.contains_key(id) && reachable
    }

    /// Longest time that a peer has run.
    fn longest_uptime(&self, now: Time) -> Option<Duration> {
        let (_, id) = self.starts.first()?;
        self.up.get(id).map(|p| p.uptime(now))
    }

    /// Uptime from which on a node counts as settled: it would take no work from others.
    fn settled_uptime(&self, now: Time) -> Duration {
        let oldest = self.longest_uptime(now).unwrap_or_default().max(now.since(Time::ZERO));
        SETTLED_AFTER.min(oldest.saturating_sub(SAME_START_WINDOW))
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
    fn is_discovering(&self, now: Time) -> bool {
        let is_quiet = !self.up.is_empty() && now.since(self.hubs_grown) >= DISCOVERY_QUIET;
        now.since(Time::ZERO) < DISCOVERY_TIMEOUT && !is_quiet
    }

    /// Whether the nodes that are up may still be finding each other: this one has just
    /// started, and knows none that has been up for longer.
    pub fn is_cluster_forming(&self, now: Time) -> bool {
        self.is_discovering(now) && self.longest_uptime(now).is_none_or(|up| up < SETTLED_AFTER)
    }
}
