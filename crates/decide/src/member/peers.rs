//! A node's view of its peers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use model::member::{Health, Node, NodeId, Rumor};
use model::{Time, hash};

use super::sample::SampleSet;
use crate::rng::Rng;

/// How long dead peers are remembered, so that stale rumors cannot revive them.
const DEAD_RETENTION: Duration = Duration::from_secs(120);

/// Minimum difference by which a known uptime is corrected; smaller ones are network delay.
const UPTIME_NOISE: Duration = Duration::from_millis(50);

/// Minimum difference in uptime for two starts of a name to be separate processes. A process that
/// was wrongly declared dead continues under a new start with the same uptime, which others know
/// only up to the delay of the rumor.
const RESTART_UPTIME_GAP: Duration = Duration::from_secs(2);

/// Peers examined to decide whether any has a long uptime.
const OLD_SAMPLE: usize = 32;

/// A peer as this node knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Identity and addresses.
    pub node: Node,
    /// Believed health.
    pub health: Health,
    /// Highest incarnation received.
    pub incarnation: u32,
    /// Highest manifest number known to be in force there.
    pub manifest: u64,
    /// Uptime of its process at `updated`.
    uptime: Duration,
    updated: Time,
    /// When it entered this health.
    pub since: Time,
    /// Independent confirmations of the current suspicion.
    pub confirms: u32,
}

impl Peer {
    /// Whether it is alive or only suspected.
    pub fn is_up(&self) -> bool {
        self.health <= Health::Suspect
    }

    /// Uptime of its process, as far as known.
    pub fn uptime(&self, now: Time) -> Duration {
        self.uptime + now.since(self.updated)
    }

    /// The rumor that describes this peer.
    pub fn rumor(&self, now: Time) -> Rumor {
        Rumor {
            node: self.node.clone(),
            health: self.health,
            incarnation: self.incarnation,
            number: self.manifest,
            up_ms: self.uptime(now).as_millis() as u64,
        }
    }
}

/// All peers, the recently dead included.
#[derive(Debug, Default)]
pub struct Peers {
    map: BTreeMap<NodeId, Peer>,
    /// Peers that are up.
    live: SampleSet<NodeId>,
    /// Peers that are up, by host capacity.
    by_capacity: BTreeMap<u8, SampleSet<NodeId>>,
    addresses: HashMap<SocketAddr, NodeId>,
    suspects: BTreeSet<NodeId>,
    /// All peers by the time of their last health change, the latest last.
    by_change: BTreeSet<(Time, NodeId)>,
    /// Peers that left or died, by time.
    departed: BTreeSet<(Time, NodeId)>,
    /// Peers with a change that `take_changed` has not returned yet.
    changed: BTreeSet<NodeId>,
    digest: u32,
}

/// Contribution of one node to a digest of nodes.
pub fn digest_of(id: &NodeId) -> u32 {
    hash::mix(hash::hash64(id.name.as_bytes()), id.start) as u32
}

impl Peers {
    /// Count of peers that are up.
    pub fn up(&self) -> usize {
        self.live.len()
    }

    /// Digest of the peers that are up, equal on nodes with equal views.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The peer with this identity, dead ones included.
    pub fn get(&self, id: &NodeId) -> Option<&Peer> {
        self.map.get(id)
    }

    /// Peers that are up.
    pub fn iter_up(&self) -> impl Iterator<Item = &Peer> {
        self.map.values().filter(|p| p.is_up())
    }

    /// Highest host capacity among peers that are up, and the peers that have it.
    pub fn hubs(&self) -> Option<(u8, &SampleSet<NodeId>)> {
        self.by_capacity.last_key_value().map(|(capacity, hubs)| (*capacity, hubs))
    }

    /// Up to `n` random peers that are up, excluding `except`.
    pub fn sample(&self, n: usize, except: &NodeId, rng: &mut Rng) -> Vec<&Peer> {
        let drawn = self.live.sample(n, Some(except), rng);
        drawn.into_iter().filter_map(|id| self.map.get(id)).collect()
    }

    /// Whether a peer at this address is up.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains_key(&address)
    }

    /// Addresses of peers that left or died less than `within` ago.
    pub fn departed_since(&self, now: Time, within: Duration) -> Vec<SocketAddr> {
        let recent = self.departed.iter().rev().take_while(|(at, _)| now.since(*at) < within);
        recent.filter_map(|(_, id)| self.map.get(id)).map(|p| p.node.address).collect()
    }

    /// Rumors about the peers whose health changed at or after `since`, the latest first.
    pub fn rumors_since(&self, since: Time, now: Time) -> impl Iterator<Item = Rumor> {
        let recent = self.by_change.iter().rev().take_while(move |(at, _)| *at >= since);
        recent.filter_map(|(_, id)| self.map.get(id)).map(move |p| p.rumor(now))
    }

    /// Whether any of a sample of the peers that are up has a longer uptime than `age`.
    pub fn has_older_than(&self, age: Duration, now: Time) -> bool {
        // Unless the whole fleet started together, nearly all peers have.
        self.iter_up().take(OLD_SAMPLE).any(|p| p.uptime(now) > age)
    }

    /// Peers that joined, went down, changed health or had their uptime corrected since the last
    /// call.
    pub fn take_changed(&mut self) -> BTreeSet<NodeId> {
        std::mem::take(&mut self.changed)
    }

    /// Records the manifest number in force on a peer.
    pub fn record_manifest(&mut self, id: &NodeId, number: u64) {
        if let Some(p) = self.map.get_mut(id) {
            p.manifest = p.manifest.max(number);
        }
    }

    /// Counts one more suspicion of a suspected peer.
    pub fn confirm(&mut self, id: &NodeId) {
        if let Some(p) = self.map.get_mut(id) {
            p.confirms += 1;
        }
    }

    /// Applies a rumor; returns whether it changed this view.
    pub fn apply(&mut self, now: Time, r: &Rumor) -> bool {
        let id = &r.node.id;
        let Some(p) = self.map.get_mut(id) else {
            let is_new = r.health < Health::Dead && !self.has_later_start(now, r);
            return is_new && self.add(now, r);
        };
        p.manifest = p.manifest.max(r.number);
        let up = Duration::from_millis(r.up_ms);
        if up > p.uptime(now) + UPTIME_NOISE {
            (p.uptime, p.updated) = (up, now);
            self.changed.insert(id.clone());
        }
        let is_final = p.health >= Health::Dead;
        let supersedes = (r.incarnation, r.health) > (p.incarnation, p.health);
        let marks_dead = r.health >= Health::Dead && !is_final;
        if (is_final || !supersedes) && !marks_dead {
            return false;
        }
        let was_up = p.is_up();
        self.by_change.remove(&(p.since, id.clone()));
        self.by_change.insert((now, id.clone()));
        p.health = r.health;
        p.incarnation = r.incarnation.max(p.incarnation);
        p.since = now;
        p.confirms = 0;
        let is_up = p.is_up();
        self.changed.insert(id.clone());
        if r.health == Health::Suspect {
            self.suspects.insert(id.clone());
        } else {
            self.suspects.remove(id);
        }
        if was_up && !is_up {
            self.mark_down(now, id);
        }
        true
    }

    /// Other starts of the same name that are up.
    fn other_starts(&self, id: &NodeId) -> impl Iterator<Item = &Peer> {
        let start = |start| NodeId { name: id.name.clone(), start };
        let all = self.map.range(start(0)..=start(u64::MAX)).map(|(_, p)| p);
        all.filter(move |p| p.is_up() && p.node.id.start != id.start)
    }

    /// Whether a later start of the rumor's node is known.
    fn has_later_start(&self, now: Time, r: &Rumor) -> bool {
        let up = Duration::from_millis(r.up_ms);
        self.other_starts(&r.node.id).any(|p| p.uptime(now) + RESTART_UPTIME_GAP < up)
    }

    /// Earlier starts of a peer. They must have ended, since a name runs only once.
    pub fn earlier_starts(&self, id: &NodeId, now: Time) -> Vec<NodeId> {
        let Some(up) = self.map.get(id).map(|p| p.uptime(now)) else {
            return Vec::new();
        };
        let earlier = self.other_starts(id).filter(|p| p.uptime(now) > up + RESTART_UPTIME_GAP);
        earlier.map(|p| p.node.id.clone()).collect()
    }

    /// Adds a peer that was unknown.
    fn add(&mut self, now: Time, r: &Rumor) -> bool {
        let id = &r.node.id;
        let peer = Peer {
            node: r.node.clone(),
            health: r.health,
            incarnation: r.incarnation,
            manifest: r.number,
            uptime: Duration::from_millis(r.up_ms),
            updated: now,
            since: now,
            confirms: 0,
        };
        self.map.insert(id.clone(), peer);
        self.by_change.insert((now, id.clone()));
        self.live.insert(id.clone());
        self.by_capacity.entry(r.node.capacity).or_default().insert(id.clone());
        self.addresses.insert(r.node.address, id.clone());
        if r.health == Health::Suspect {
            self.suspects.insert(id.clone());
        }
        self.changed.insert(id.clone());
        self.digest ^= digest_of(id);
        true
    }

    /// Removes a peer that went down from the indexes of those that are up.
    fn mark_down(&mut self, now: Time, id: &NodeId) {
        let Some(p) = self.map.get(id) else {
            return;
        };
        self.digest ^= digest_of(id);
        self.departed.insert((now, id.clone()));
        self.live.remove(id);
        if self.addresses.get(&p.node.address) == Some(id) {
            self.addresses.remove(&p.node.address);
        }
        if let Some(same_capacity) = self.by_capacity.get_mut(&p.node.capacity) {
            same_capacity.remove(id);
            if same_capacity.is_empty() {
                self.by_capacity.remove(&p.node.capacity);
            }
        }
    }

    /// Forgets peers that left or died more than `DEAD_RETENTION` ago.
    pub fn purge_departed(&mut self, now: Time) {
        while let Some((at, id)) = self.departed.first().cloned() {
            if now.since(at) < DEAD_RETENTION {
                break;
            }
            self.departed.remove(&(at, id.clone()));
            self.by_change.remove(&(at, id.clone()));
            // Not every program calls `take_changed`.
            self.changed.remove(&id);
            self.map.remove(&id);
        }
    }

    /// Suspects that have exceeded their time to refute, as given by `wait`.
    pub fn expired(&self, now: Time, wait: impl Fn(&Peer) -> Duration) -> Vec<NodeId> {
        let is_expired =
            |id: &&NodeId| self.map.get(*id).is_some_and(|p| now.since(p.since) >= wait(p));
        self.suspects.iter().filter(is_expired).cloned().collect()
    }
}
