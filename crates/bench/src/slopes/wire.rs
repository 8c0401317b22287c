//! Datagrams and timers of simulated nodes, taken in the order of their times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use decide::rng::Rng;
use model::Time;
use model::member::Packet;

/// Bytes of IPv4 and UDP headers.
const HEADERS: usize = 28;

/// Address of a simulated node.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000))
}

/// What comes next.
pub enum Todo<T> {
    /// A datagram from an address reaches a node.
    Packet(SocketAddr, usize, Box<Packet>),
    /// A node's timer ends.
    Tick(usize),
    /// Something of the simulation's own.
    Own(T),
}

/// A network that loses datagrams, and the clock of all.
pub struct Wire<T> {
    pub rng: Rng,
    pub now: Time,
    pub packets: u64,
    pub bytes: u64,
    loss: f64,
    queue: BTreeMap<(Time, u64), Todo<T>>,
    seq: u64,
}

impl<T> Wire<T> {
    /// Nothing is under way.
    pub fn new(loss: f64, seed: u64) -> Self {
        Wire {
            rng: Rng::new(seed),
            now: Time::ZERO,
            packets: 0,
            bytes: 0,
            loss,
            queue: BTreeMap::new(),
            seq: 0,
        }
    }

    /// Something is to come at a time.
    pub fn at(&mut self, at: Time, what: Todo<T>) {
        self.seq += 1;
        self.queue.insert((at, self.seq), what);
    }

    /// What comes next before the end of a span, to which the clock goes on.
    pub fn next_before(&mut self, end: Time) -> Option<Todo<T>> {
        let next = self.queue.first_entry().filter(|entry| entry.key().0 < end);
        let Some(entry) = next else {
            self.now = end;
            return None;
        };
        let ((at, _), what) = entry.remove_entry();
        self.now = at;
        Some(what)
    }

    /// A node sends a datagram of so many bytes.
    pub fn send(&mut self, from: usize, to: SocketAddr, packet: Packet, bytes: usize) {
        self.packets += 1;
        self.bytes += (bytes + HEADERS) as u64;
        if self.loss > 0.0 && self.rng.next_f64() < self.loss {
            return;
        }
        let SocketAddr::V4(v4) = to else {
            return;
        };
        let [_, _, a, b] = v4.ip().octets();
        let to = usize::from(a) * 250 + usize::from(b);
        let at = self.now + Duration::from_micros(400 + self.rng.below(1500) as u64);
        self.at(at, Todo::Packet(address(from), to, Box::new(packet)));
    }
}

/// Bytes of a datagram's content.
pub fn length(packet: &Packet) -> usize {
    rmp_serde::to_vec(packet).map_or(0, |b| b.len())
}
