//! A node's view of its peers, and the roles that follow from it.
//!
//! Membership says which nodes are up; answers of peers, or their absence, reveal more and sooner.
//! This view determines which node holds which role (`role_key`) and which peers are asked for the
//! store's state (`sources`).

mod backups;
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

/// Maximum time in which nodes that start together discover each other.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a new peer on a host of the highest capacity after which discovery is complete.
/// Gossip about a peer takes some tens of milliseconds from node to node.
const DISCOVERY_QUIET: Duration = Duration::from_millis(100);
/// Uptime after which a node counts as settled.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Nodes that started within this time of the oldest one count as started together with it: there
/// is no work yet that could move to them. Restarts after a power loss lie 0.5 s apart.
const SAME_START_WINDOW: Duration = Duration::from_millis(1500);
/// Time for which a peer that began to stop is remembered.
const STOPPED_TTL: Duration = Duration::from_secs(60);

/// A peer that is up.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// Identity and addresses.
    pub node: Node,
    /// Whether it is suspected of having failed.
    pub suspect: bool,
    /// Uptime of its process at `at`.
    pub up: Duration,
    /// When this view was taken.
    pub at: Time,
}

impl PeerView {
    fn uptime(&self, now: Time) -> Duration {
        self.up + now.since(self.at)
    }

    /// Start of its process in microseconds on this node's clock; negative if it started before
    /// this node.
    fn started_us(&self) -> i64 {
        let at = i64::try_from(self.at.0).unwrap_or(i64::MAX);
        at.saturating_sub(i64::try_from(self.up.as_micros()).unwrap_or(i64::MAX))
    }
}

/// Peers as seen by one node. Times count from the node's own start.
#[derive(Debug)]
pub struct Roster {
    me: Name,
    domain: Name,
    map: Arc<Map>,
    capacity: u8,
    is_stopping: bool,
    /// This node reaches no target.
    links_lost: bool,
    up: BTreeMap<NodeId, PeerView>,
    addresses: HashMap<SocketAddr, NodeId>,
    /// Number of peers in each failure domain.
    domains: Tally<Name>,
    /// Number of peers at each host capacity.
    capacities: Tally<u8>,
    /// Peers by the start of their process, the oldest first.
    starts: BTreeSet<(i64, NodeId)>,
    rankings: RefCell<Rankings>,
    visited: Cell<u64>,
    liveness: PeerLiveness,
    stopping: BTreeMap<NodeId, Time>,
    max_up: usize,
    /// When the number of hosts of the highest capacity last grew. Other hosts coordinate and relay
    /// nothing.
    hubs_grown: Time,
}

impl Roster {
    /// The node `me` of a failure domain, which knows no peers yet.
    pub fn new(me: Name, domain: Name, capacity: u8) -> Self {
        Roster {
            me,
            map: Arc::new(Map::new(domain.clone(), Regions::default())),
            domain,
            capacity,
            is_stopping: false,
            links_lost: false,
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

    /// Sets the regions of failure domains.
    pub fn set_regions(&mut self, regions: Regions) {
        self.map = Arc::new(Map::new(self.domain.clone(), regions));
    }

    /// Regions and the distances between them.
    pub fn map(&self) -> Arc<Map> {
        self.map.clone()
    }

    /// Records the round-trip time of a probe to a node in a failure domain.
    pub fn record_rtt(&mut self, domain: &Name, took: Duration) {
        Arc::make_mut(&mut self.map).record_round_trip(domain, took);
    }

    /// Replaces the peers that are up and forgets state of all others.
    pub fn update(&mut self, up: Vec<PeerView>, now: Time) {
        let present: BTreeSet<&NodeId> = up.iter().map(|p| &p.node.id).collect();
        let absent: Vec<NodeId> =
            self.up.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in absent {
            self.remove(&id);
        }
        for view in up {
            self.upsert(view, now);
        }
        self.purge_departed(now);
    }

    /// Adds or updates a peer that is up.
    pub fn upsert(&mut self, view: PeerView, now: Time) {
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

    /// Removes a peer that is no longer up.
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

    /// Forgets peers that stopped long ago, and the reachability of peers that are no longer up.
    pub fn purge_departed(&mut self, now: Time) {
        self.stopping.retain(|_, since| now.since(*since) < STOPPED_TTL);
        if self.liveness.len() > self.up.len() {
            self.liveness.retain(|id| self.up.contains_key(id));
        }
    }

    /// Highest host capacity, and the number of nodes that have it, this one included.
    fn hubs(&self) -> (u8, usize) {
        let known = self.capacities.keys().next_back().copied().unwrap_or(0);
        let max_capacity = known.max(self.capacity);
        (
            max_capacity,
            self.capacities.count(&max_capacity) + usize::from(max_capacity == self.capacity),
        )
    }

    /// Number of peers visited so far by role lookups, as a measure of their cost.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Records that this node is stopping.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Records whether this node reaches no target. It then ranks last for roles that call targets.
    pub fn set_links_lost(&mut self, is_lost: bool) {
        self.links_lost = is_lost;
    }

    /// Number of nodes that are up, this one included.
    pub fn count(&self) -> usize {
        self.up.len() + 1
    }

    /// Maximum number of nodes seen up at the same time, this one included.
    pub fn max_seen(&self) -> usize {
        self.max_up
    }

    /// Records that a peer announced that it is stopping and no longer coordinates.
    pub fn mark_stopping(&mut self, id: &NodeId, now: Time) {
        self.stopping.entry(id.clone()).or_insert(now);
    }

    /// Whether work at this start of a peer is worth waiting for: it is up and not suspected, or it
    /// is stopping as planned and completes what it has begun.
    pub fn is_awaitable(&self, id: &NodeId) -> bool {
        let is_trusted = self.up.get(id).is_some_and(|p| !p.suspect);
        is_trusted || self.stopping.contains_key(id)
    }

    fn domain_of(&self, id: &NodeId) -> Option<Name> {
        self.up.get(id).map(|p| p.node.domain.clone())
    }

    /// Failure domain of the peer at an address, if one is up there.
    pub fn domain_at(&self, address: SocketAddr) -> Option<&Name> {
        let id = self.addresses.get(&address)?;
        self.up.get(id).map(|p| &p.node.domain)
    }

    /// Records that a peer answered.
    pub fn mark_answered(&mut self, id: &NodeId, now: Time) {
        let domain = self.domain_of(id);
        self.liveness.mark_answered(id, domain.as_ref(), now);
    }

    /// Records that a peer did not answer. It counts as silent until it does.
    pub fn mark_silent(&mut self, id: &NodeId, now: Time) {
        let domain = self.domain_of(id);
        self.liveness.mark_silent(id, domain.as_ref(), now);
    }

    /// Records that a peer did not answer while this node itself was late, which proves nothing.
    pub fn excuse_silence(&mut self, id: &NodeId, now: Time) {
        self.liveness.excuse_silence(id, now);
    }

    /// Records that an order begins to wait at a peer, whose reachability may not be known yet.
    pub fn begin_wait(&mut self, id: &NodeId, now: Time) {
        self.liveness.begin_wait(id, now);
    }

    /// Reachability of a peer. `Unknown` also marks it as being checked, which the caller must then
    /// do.
    pub fn reachability(&mut self, id: &NodeId, now: Time) -> Reachability {
        self.liveness.reachability(id, now)
    }

    /// Whether a peer counts as silent.
    pub fn is_silent(&self, id: &NodeId) -> bool {
        self.liveness.is_silent(id)
    }

    /// Whether a peer may hold a role, as far as this node knows.
    fn is_eligible(&self, p: &PeerView) -> bool {
        let id = &p.node.id;
        let domain = &p.node.domain;
        let domain_is_cut = *domain != self.domain && self.liveness.is_cut(domain);
        let reachable = !self.liveness.is_silent(id) && !domain_is_cut;
        !p.suspect && !self.stopping.contains_key(id) && reachable
    }

    /// Uptime of the peer that has run longest.
    fn longest_uptime(&self, now: Time) -> Option<Duration> {
        let (_, id) = self.starts.first()?;
        self.up.get(id).map(|p| p.uptime(now))
    }

    /// Uptime from which a node counts as settled, so that giving it a role moves no running work.
    fn settled_uptime(&self, now: Time) -> Duration {
        let oldest = self.longest_uptime(now).unwrap_or_default().max(now.since(Time::ZERO));
        SETTLED_AFTER.min(oldest.saturating_sub(SAME_START_WINDOW))
    }

    /// Peers that are up as far as known, including suspected and stopping ones.
    pub fn ids(&self) -> Vec<NodeId> {
        self.up.keys().cloned().collect()
    }

    /// The same peers with their addresses.
    pub fn peers(&self) -> Vec<Node> {
        self.up.values().map(|p| p.node.clone()).collect()
    }

    /// Whether this node has just started and may not know all of its peers yet.
    fn is_discovering(&self, now: Time) -> bool {
        let is_quiet = !self.up.is_empty() && now.since(self.hubs_grown) >= DISCOVERY_QUIET;
        now.since(Time::ZERO) < DISCOVERY_TIMEOUT && !is_quiet
    }

    /// Whether the cluster may still be forming: this node is discovering its peers and knows none
    /// that is settled.
    pub fn is_cluster_forming(&self, now: Time) -> bool {
        self.is_discovering(now) && self.longest_uptime(now).is_none_or(|up| up < SETTLED_AFTER)
    }
}
