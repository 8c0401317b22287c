//! How a newly started node discovers its peers.
//!
//! Hundreds of nodes start together after a power loss, and the seeds may run on the smallest
//! hosts. A seed therefore tells a joining node only about the hubs, the peers on the hosts of
//! highest capacity. The joining node announces itself to the hubs and polls one after another;
//! a hub whose digest differs replies with the full list. If all hosts have equal capacity, all
//! are hubs.

use std::net::SocketAddr;
use std::time::Duration;

use model::Time;
use model::member::{Packet, Purpose, Rumor};

use super::machine::Member;
use super::peers::Peer;
use super::types::Action;

/// Rumors per packet when members are pushed to a peer.
const PUSH_RUMORS: usize = 16;
/// New peers that a pull must bring for the full list to be requested again. Smaller differences
/// are normal churn, which gossip covers.
const MIN_PULL_GAIN: usize = 4;
/// Uptime above which a peer did not start together with a joining node.
const OLD_UPTIME: Duration = Duration::from_secs(5);
/// Time after its start during which a node counts as joining.
const JOIN_WINDOW: Duration = Duration::from_secs(3);
/// Interval between two pulls of the full list while most other nodes are starting too.
const HERD_PULL_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval once the herd has started.
const PULL_INTERVAL: Duration = Duration::from_millis(300);
/// Time within which most nodes start if the whole fleet does.
const HERD_WINDOW: Duration = Duration::from_millis(800);
/// Interval between two attempts to reach a seed while most nodes are starting. The seeds may be
/// the last to start, and a round trip takes only a few milliseconds.
const HERD_SEED_INTERVAL: Duration = Duration::from_millis(60);

/// Progress of peer discovery after a start.
#[derive(Debug, Default)]
pub(super) struct Joining {
    started: Option<Time>,
    seed_attempts: u32,
    next_pull: Time,
    /// Number of peers known at the last pull of the full list.
    known_peers: Option<usize>,
    /// Whether the full list is known.
    is_done: bool,
}

impl Joining {
    fn is_joining(&self, now: Time) -> bool {
        self.started.is_some_and(|started| now.since(started) < JOIN_WINDOW)
    }

    /// Whether most other nodes are probably starting too.
    fn in_herd(&self, now: Time) -> bool {
        self.started.is_some_and(|started| now.since(started) < HERD_WINDOW)
    }

    /// When the next pull is due.
    pub(super) fn next(&self, now: Time) -> Time {
        if self.is_joining(now) && !self.is_done { self.next_pull } else { Time::NEVER }
    }
}

impl Member {
    /// Records the time of the first event.
    pub(super) fn mark_started(&mut self, now: Time) {
        self.joining.started.get_or_insert(now);
    }

    /// A ping to an address whose node is unknown. It carries no gossip: each rumor has a limited
    /// number of transmissions, which would be wasted if nobody listens there.
    pub(super) fn hello(&self) -> Packet {
        Packet { rumors: vec![self.own_rumor()], ..self.empty_packet(Purpose::Ping { start: 0 }) }
    }

    /// Pings a seed, a different one on each attempt, since some may be down or not yet started.
    pub(super) fn contact_seed(&mut self, now: Time, out: &mut Vec<Action>) {
        let attempt = self.joining.seed_attempts;
        self.joining.seed_attempts += 1;
        let interval = self.tuning.seed_interval;
        self.next_period = now
            + if self.joining.in_herd(now) { interval.min(HERD_SEED_INTERVAL) } else { interval };
        if !self.seeds.is_empty() {
            let first = self.me.id.start as usize;
            let seed = self.seeds[first.wrapping_add(attempt as usize) % self.seeds.len()];
            let packet = self.hello();
            out.push(Action::Send(seed, packet));
        }
        self.notify_link(out);
    }

    /// Announces a joining node to a hub that it has just discovered.
    pub(super) fn announce_to_hub(&self, now: Time, rumor: &Rumor, out: &mut Vec<Action>) {
        if self.joining.is_joining(now) && rumor.node.capacity > self.me.capacity {
            self.send_rumors(rumor.node.address, vec![self.own_rumor()], out);
        }
    }

    /// Requests the full list from a hub.
    pub(super) fn pull(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.joining.is_done || !self.joining.is_joining(now) || now < self.joining.next_pull {
            return;
        }
        // Nodes that start together keep pulling while others may still be starting.
        let new_peers = self.joining.known_peers.map(|known| self.peers.up().saturating_sub(known));
        let is_complete = new_peers.is_some_and(|n| n < MIN_PULL_GAIN);
        if is_complete && self.peers.has_older_than(OLD_UPTIME, now) {
            self.joining.is_done = true;
            return;
        }
        let interval = if self.joining.in_herd(now) { HERD_PULL_INTERVAL } else { PULL_INTERVAL };
        self.joining.next_pull = now + interval;
        let hub = self.sample_hubs(1).first().map(|p| p.node.address);
        if let Some(hub) = hub {
            self.joining.known_peers = Some(self.peers.up());
            let mut packet = self.join_packet(Purpose::Ping { start: 0 }, 0);
            packet.rumors.push(self.own_rumor());
            out.push(Action::Send(hub, packet));
        }
    }

    /// Up to `n` random hubs.
    fn sample_hubs(&mut self, n: usize) -> Vec<&Peer> {
        let Some((_, hubs)) = self.peers.hubs() else {
            return Vec::new();
        };
        let drawn = hubs.sample(n, None, &mut self.rng);
        drawn.into_iter().filter_map(|id| self.peers.get(id)).collect()
    }

    /// Replies to a joining node: a hub sends the full list, other nodes send the hubs.
    pub(super) fn push_members(&mut self, to: SocketAddr, out: &mut Vec<Action>) {
        if self.peers.hubs().is_none_or(|(max_capacity, _)| max_capacity <= self.me.capacity) {
            return self.push_all(to, out);
        }
        let now = self.now;
        let mut hubs: Vec<Rumor> =
            self.sample_hubs(PUSH_RUMORS - 1).into_iter().map(|p| p.rumor(now)).collect();
        hubs.push(self.own_rumor());
        self.send_rumors(to, hubs, out);
    }

    /// Sends a peer all members that are up, this node included.
    pub(super) fn push_all(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let others = self.peers.iter_up().map(|p| p.rumor(self.now));
        let all: Vec<Rumor> = others.chain([self.own_rumor()]).collect();
        self.push_each(to, &all, out);
    }

    /// Sends a peer these rumors, split over several datagrams.
    pub(super) fn push_each(&self, to: SocketAddr, rumors: &[Rumor], out: &mut Vec<Action>) {
        for chunk in rumors.chunks(PUSH_RUMORS) {
            self.send_rumors(to, chunk.to_vec(), out);
        }
    }

    fn send_rumors(&self, to: SocketAddr, rumors: Vec<Rumor>, out: &mut Vec<Action>) {
        out.push(Action::Send(to, Packet { rumors, ..self.empty_packet(Purpose::News) }));
    }
}
