//! Datagrams and timers of simulated nodes, taken in the order of their times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use decide::rng::Rng;
use model::Time;
use model::member::Packet;

/// Bytes of IPv4 and UDP headers.
const HEADER_BYTES: usize = 28;

/// Address of a simulated node.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000))
}

/// What comes next.
pub enum Scheduled<T> {
    /// A datagram from an address reaches a node.
    Packet(SocketAddr, usize, Box<Packet>),
    /// A node's timer ends.
    Tick(usize),
    /// Something of the simulation's own.
    Custom(T),
}

/// A network that loses datagrams, and the clock of all.
pub struct SimNetwork<T> {
    pub rng: Rng,
    pub now: Time,
    pub packets: u64,
    pub bytes: u64,
    loss_rate: f64,
    queue: BTreeMap<(Time, u64), Scheduled<T>>,
    seq: u64,
}

impl<T> SimNetwork<T> {
    /// Nothing is under way.
    pub fn new(loss_rate: f64, seed: u64) -> Self {
        SimNetwork {
            rng: Rng::new(seed),
            now: Time::ZERO,
            packets: 0,
            bytes: 0,
            loss_rate,
            queue: BTreeMap::new(),
            seq: 0,
        }
    }

    /// Something is to come at a time.
    pub fn schedule(&mut self, at: Time, item: Scheduled<T>) {
        self.seq += 1;
        self.queue.insert((at, self.seq), item);
    }

    /// What comes next before the end of a span, to which the clock goes on.
    pub fn next_before(&mut self, end: Time) -> Option<Scheduled<T>> {
        let next = self.queue.first_entry().filter(|entry| entry.key().0 < end);
        let Some(entry) = next else {
            self.now = end;
            return None;
        };
        let ((at, _), item) = entry.remove_entry();
        self.now = at;
        Some(item)
    }

    /// A node sends a datagram of so many bytes.
    pub fn send(&mut self, from: usize, to: SocketAddr, packet: Packet, bytes: usize) {
        self.packets += 1;
        self.bytes += (bytes + HEADER_BYTES) as u64;
        if self.loss_rate > 0.0 && self.rng.next_f64() < self.loss_rate {
            return;
        }
        let SocketAddr::V4(v4) = to else {
            return;
        };
        let [_, _, a, b] = v4.ip().octets();
        let to = usize::from(a) * 250 + usize::from(b);
        let at = self.now + Duration::from_micros(400 + self.rng.below(1500) as u64);
        self.schedule(at, Scheduled::Packet(address(from), to, Box::new(packet)));
    }
}

/// Bytes of a datagram's content.
pub fn encoded_len(packet: &Packet) -> usize {
    rmp_serde::to_vec(packet).map_or(0, |b| b.len())
}
