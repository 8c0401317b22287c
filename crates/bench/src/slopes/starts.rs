//! A start of all nodes: how long until each knows all others, and what that takes; and what is
//! told while one node a second is restarted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use decide::member::{Action, Event, Member, Tuning};
use decide::rng::Rng;
use model::Time;
use model::member::{Node, NodeId, Packet};

use super::{Figure, counted};

/// Bytes of IPv4 and UDP headers.
const HEADERS: usize = 28;
/// Of the hosts, one in this many bears more.
const HUB_EVERY: usize = 20;
/// Failure domains.
const DOMAINS: usize = 5;
/// Time within which all processes start.
const SPREAD: Duration = Duration::from_millis(500);
/// Longest time that is waited for all to know all.
const LONGEST: Duration = Duration::from_secs(20);
/// Seconds in each of which a node is restarted, after the start of all.
const RESTARTS: u64 = 10;

enum Todo {
    Start(usize),
    Packet(SocketAddr, usize, Box<Packet>),
    Tick(usize),
}

struct Herd {
    rng: Rng,
    nodes: Vec<Option<Member>>,
    /// When each process started: its time counts from there.
    born: Vec<Time>,
    wire: BTreeMap<(Time, u64), Todo>,
    seq: u64,
    now: Time,
    packets: u64,
    bytes: u64,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (i / 250) as u8, (i % 250) as u8], 7000))
}

impl Herd {
    fn new(n: usize) -> Self {
        let mut herd = Herd {
            rng: Rng::new(5),
            nodes: (0..n).map(|_| None).collect(),
            born: vec![Time::ZERO; n],
            wire: BTreeMap::new(),
            seq: 0,
            now: Time::ZERO,
            packets: 0,
            bytes: 0,
        };
        for i in 0..n {
            let at = Time::ZERO + herd.rng.jitter(SPREAD);
            herd.todo(at, Todo::Start(i));
        }
        herd
    }

    fn todo(&mut self, at: Time, what: Todo) {
        self.seq += 1;
        self.wire.insert((at, self.seq), what);
    }

    fn start(&mut self, i: usize) {
        let start = self.rng.draw().max(1);
        let node = Node {
            id: NodeId { name: format!("node-{i}").into(), start },
            address: address(i),
            entry: address(i),
            domain: format!("d{}", i % DOMAINS).into(),
            capacity: u8::from((i / DOMAINS).is_multiple_of(HUB_EVERY)),
        };
        let mut member = Member::new(node, Tuning::of_nodes(), self.rng.draw());
        self.born[i] = self.now;
        member.on(Time::ZERO, Event::Seeds((1..4).map(address).collect()));
        self.nodes[i] = Some(member);
        self.todo(self.now, Todo::Tick(i));
    }

    fn feed(&mut self, i: usize, event: Event) {
        let Some(member) = &mut self.nodes[i] else {
            return;
        };
        let now = Time::ZERO + self.now.since(self.born[i]);
        for action in member.on(now, event) {
            if let Action::Send(to, packet) = action {
                self.send(i, to, packet);
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        let bytes = rmp_serde::to_vec(&packet).map_or(0, |b| b.len());
        self.packets += 1;
        self.bytes += (bytes + HEADERS) as u64;
        let SocketAddr::V4(v4) = to else {
            return;
        };
        let [_, _, a, b] = v4.ip().octets();
        let to = usize::from(a) * 250 + usize::from(b);
        let at = self.now + Duration::from_micros(400 + self.rng.below(1500) as u64);
        self.todo(at, Todo::Packet(address(from), to, Box::new(packet)));
    }

    fn step(&mut self) {
        let Some(entry) = self.wire.first_entry() else {
            return;
        };
        let ((at, _), what) = entry.remove_entry();
        self.now = at;
        match what {
            Todo::Start(i) => self.start(i),
            Todo::Packet(from, to, packet) => {
                self.feed(to, Event::Packet { from, packet: *packet });
            }
            Todo::Tick(i) => {
                self.feed(i, Event::Tick);
                if let Some(member) = &self.nodes[i] {
                    let next = self.born[i] + member.next_tick().since(Time::ZERO);
                    let next = next.max(at + Duration::from_millis(1));
                    self.todo(next, Todo::Tick(i));
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.wire.first_key_value().is_some_and(|((at, _), _)| *at < end) {
            self.step();
        }
        self.now = end;
    }

    fn all_know_all(&self) -> bool {
        let n = self.nodes.len();
        self.nodes.iter().all(|m| m.as_ref().is_some_and(|m| m.count() == n))
    }
}

/// Figures of a fleet of `n`.
pub fn measure(n: usize) -> Vec<Figure> {
    const LOOK: Duration = Duration::from_millis(50);
    let mut herd = Herd::new(n);
    while !herd.all_know_all() && herd.now.since(Time::ZERO) < LONGEST {
        herd.run(LOOK);
    }
    let per = |total: u64| total as f64 / n as f64;
    let mut figures = vec![
        counted("start of all: seconds until all know all, by nodes", n, herd.now.0 as f64 / 1e6),
        counted("start of all: datagrams per node, by nodes", n, per(herd.packets)),
        counted("start of all: KB per node, by nodes", n, per(herd.bytes) / 1e3),
    ];
    herd.run(LONGEST);
    let (packets, bytes) = (herd.packets, herd.bytes);
    for restarted in 0..RESTARTS {
        let i = 7 + restarted as usize;
        herd.nodes[i] = None;
        herd.todo(herd.now + Duration::from_millis(300), Todo::Start(i));
        herd.run(Duration::from_secs(1));
    }
    let each = |total: u64| per(total) / RESTARTS as f64;
    figures.extend([
        counted(
            "a restart a second: datagrams per node and second, by nodes",
            n,
            each(herd.packets - packets),
        ),
        counted(
            "a restart a second: KB per node and second, by nodes",
            n,
            each(herd.bytes - bytes) / 1e3,
        ),
    ]);
    figures
}
