//! How a node that has just started finds its peers.
//!
//! Hundreds start together after a loss of power, and the seeds may be the smallest of all
//! hosts: they tell a newcomer of the hosts that bear most, the hubs, and no more. To these
//! it makes itself known, and asks one of them after the other, which tells it the whole list
//! if it does not know the same. Where no host bears more than the others all are hubs.

use std::net::SocketAddr;
use std::time::Duration;

use model::Time;
use model::member::{Packet, Purpose, Rumor};

use super::machine::Member;
use super::peers::Peer;
use super::types::Action;

/// Rumors in one packet that answers a newcomer.
const PUSH_RUMORS: usize = 16;
/// Peers that an answer has to bring for the whole list to be asked for once more: fewer come and
/// go at any time, and rumors tell of them.
const MIN_PULL_GAIN: usize = 4;
/// Uptime from which on a peer did not start together with a new node.
const OLD_UPTIME: Duration = Duration::from_secs(5);
/// Time for which a node counts as new.
const JOIN_WINDOW: Duration = Duration::from_secs(3);
/// Time between two questions for the whole list, in the time in which most others start
/// and after it.
const HERD_PULL_INTERVAL: Duration = Duration::from_millis(100);
const PULL_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which most others start, if all do.
const HERD_WINDOW: Duration = Duration::from_millis(800);
/// Time between two tries of a seed in the time in which most others start: the seeds may be
/// the last to come, and a datagram comes back in a few milliseconds.
const HERD_SEED_INTERVAL: Duration = Duration::from_millis(60);

/// What a node has done to find its peers.
#[derive(Debug, Default)]
pub(super) struct Joining {
    started: Option<Time>,
    seed_attempts: u32,
    next_pull: Time,
    /// Peers known at the last question for the whole list.
    known_peers: Option<usize>,
    /// The whole list is known.
    is_done: bool,
}

impl Joining {
    fn is_joining(&self, now: Time) -> bool {
        self.started.is_some_and(|began| now.since(began) < JOIN_WINDOW)
    }

    /// Whether others most likely start too.
    fn in_herd(&self, now: Time) -> bool {
        self.started.is_some_and(|began| now.since(began) < HERD_WINDOW)
    }

    /// When the whole list is asked for next.
    pub(super) fn next(&self, now: Time) -> Time {
        if self.is_joining(now) && !self.is_done { self.next_pull } else { Time::NEVER }
    }
}

impl Member {
    /// Notes that the node runs.
    pub(super) fn mark_started(&mut self, now: Time) {
        self.joining.started.get_or_insert(now);
    }

    /// A question to whoever is at an address. It carries no news: each is told only so many
    /// times, and would be lost where nobody listens.
    pub(super) fn hello(&self) -> Packet {
        Packet { rumors: vec![self.own_rumor()], ..self.empty_packet(Purpose::Ping { start: 0 }) }
    }

    /// Tries a seed: another one each time, since some may be down or not up yet.
    pub(super) fn contact_seed(&mut self, now: Time, out: &mut Vec<Action>) {
        let tries = self.joining.seed_attempts;
        self.joining.seed_attempts += 1;
        let seek = self.tuning.seed_interval;
        self.next_period =
            now + if self.joining.in_herd(now) { seek.min(HERD_SEED_INTERVAL) } else { seek };
        if !self.seeds.is_empty() {
            let first = self.me.id.start as usize;
            let seed = self.seeds[first.wrapping_add(tries as usize) % self.seeds.len()];
            let packet = self.hello();
            out.push(Action::Send(seed, packet));
        }
        self.notify_link(out);
    }

    /// Makes a new node known to a hub that it has just heard of.
    pub(super) fn announce_to_hub(&self, now: Time, rumor: &Rumor, out: &mut Vec<Action>) {
        if self.joining.is_joining(now) && rumor.node.capacity > self.me.capacity {
            self.send_rumors(rumor.node.address, vec![self.own_rumor()], out);
        }
    }

    /// Asks a hub for the whole list.
    pub(super) fn pull(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.joining.is_done || !self.joining.is_joining(now) || now < self.joining.next_pull {
            return;
        }
        // Those that start together tell each other as long as any may still be coming.
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

    /// Up to `n` of the peers whose hosts bear most.
    fn sample_hubs(&mut self, n: usize) -> Vec<&Peer> {
        let Some((_, hubs)) = self.peers.hubs() else {
            return Vec::new();
        };
        let drawn = hubs.sample(n, None, &mut self.rng);
        drawn.into_iter().filter_map(|id| self.peers.get(id)).collect()
    }

    /// Answers a newcomer: a hub with all that it knows, the others with the hubs.
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

    /// Tells a peer about everybody.
    pub(super) fn push_all(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let others = self.peers.iter_up().map(|p| p.rumor(self.now));
        let all: Vec<Rumor> = others.chain([self.own_rumor()]).collect();
        self.push_each(to, &all, out);
    }

    /// Tells a peer this news, some in each datagram.
    pub(super) fn push_each(&self, to: SocketAddr, rumors: &[Rumor], out: &mut Vec<Action>) {
        for chunk in rumors.chunks(PUSH_RUMORS) {
            self.send_rumors(to, chunk.to_vec(), out);
        }
    }

    fn send_rumors(&self, to: SocketAddr, rumors: Vec<Rumor>, out: &mut Vec<Action>) {
        out.push(Action::Send(to, Packet { rumors, ..self.empty_packet(Purpose::News) }));
    }
}
