//! Simulated network and clock: delivers datagrams and timer events in the order of their times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use decide::rng::Rng;
use model::Time;
use model::member::Packet;

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Address of a simulated node.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000))
}

/// Event with a scheduled time.
pub enum Scheduled<T> {
    /// A datagram arrives: sender's address, receiving node and content.
    Packet(SocketAddr, usize, Box<Packet>),
    /// The timer of a node expires.
    Tick(usize),
    /// Event defined by the simulation that uses the network.
    Custom(T),
}

/// Network that loses a share of the datagrams, with the clock of all nodes.
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
    /// Creates a network at time zero with nothing scheduled.
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

    /// Schedules an event. Events of the same time keep the order in which they were scheduled.
    pub fn schedule(&mut self, at: Time, item: Scheduled<T>) {
        self.seq += 1;
        self.queue.insert((at, self.seq), item);
    }

    /// Advances the clock to the next event before `end` and returns it, or advances it to `end` if
    /// there is none.
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

    /// Counts a datagram with `bytes` of content and schedules its arrival, unless it is lost.
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

/// Encoded content of a datagram, in bytes.
pub fn encoded_len(packet: &Packet) -> usize {
    rmp_serde::to_vec(packet).map_or(0, |b| b.len())
}
