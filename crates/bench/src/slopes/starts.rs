//! A start of all nodes: how long until each knows all others, and what that takes; and what is
//! told while one node a second is restarted.

use std::time::Duration;

use decide::member::{Action, Event, Member, Tuning};
use model::Time;
use model::member::{Node, NodeId};

use super::wire::{Todo, Wire, address, length};
use super::{Figure, counted};

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

/// A node is started.
struct Start(usize);

struct Herd {
    wire: Wire<Start>,
    nodes: Vec<Option<Member>>,
    /// When each process started: its time counts from there.
    born: Vec<Time>,
}

impl Herd {
    fn new(n: usize) -> Self {
        let nodes = (0..n).map(|_| None).collect();
        let mut herd = Herd { wire: Wire::new(0.0, 5), nodes, born: vec![Time::ZERO; n] };
        for i in 0..n {
            let at = Time::ZERO + herd.wire.rng.jitter(SPREAD);
            herd.wire.at(at, Todo::Own(Start(i)));
        }
        herd
    }

    fn start(&mut self, i: usize) {
        let start = self.wire.rng.next_u64().max(1);
        let node = Node {
            id: NodeId { name: format!("node-{i}").into(), start },
            address: address(i),
            entry: address(i),
            domain: format!("d{}", i % DOMAINS).into(),
            capacity: u8::from((i / DOMAINS).is_multiple_of(HUB_EVERY)),
        };
        let mut member = Member::new(node, Tuning::for_serving_nodes(), self.wire.rng.next_u64());
        self.born[i] = self.wire.now;
        member.handle_event(Time::ZERO, Event::Seeds((1..4).map(address).collect()));
        self.nodes[i] = Some(member);
        self.wire.at(self.wire.now, Todo::Tick(i));
    }

    fn feed(&mut self, i: usize, event: Event) {
        let Some(member) = &mut self.nodes[i] else {
            return;
        };
        let now = Time::ZERO + self.wire.now.since(self.born[i]);
        for action in member.handle_event(now, event) {
            if let Action::Send(to, packet) = action {
                let bytes = length(&packet);
                self.wire.send(i, to, packet, bytes);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.wire.now + time;
        while let Some(what) = self.wire.next_before(end) {
            match what {
                Todo::Own(Start(i)) => self.start(i),
                Todo::Packet(from, to, packet) => {
                    self.feed(to, Event::Packet { from, packet: *packet });
                }
                Todo::Tick(i) => self.tick(i),
            }
        }
    }

    fn tick(&mut self, i: usize) {
        self.feed(i, Event::Tick);
        if let Some(member) = &self.nodes[i] {
            let next = self.born[i] + member.next_tick().since(Time::ZERO);
            let next = next.max(self.wire.now + Duration::from_millis(1));
            self.wire.at(next, Todo::Tick(i));
        }
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
    while !herd.all_know_all() && herd.wire.now.since(Time::ZERO) < LONGEST {
        herd.run(LOOK);
    }
    let per = |total: u64| total as f64 / n as f64;
    let mut figures = vec![
        counted(
            "start of all: seconds until all know all, by nodes",
            n,
            herd.wire.now.0 as f64 / 1e6,
        ),
        counted("start of all: datagrams per node, by nodes", n, per(herd.wire.packets)),
        counted("start of all: KB per node, by nodes", n, per(herd.wire.bytes) / 1e3),
    ];
    herd.run(LONGEST);
    let (packets, bytes) = (herd.wire.packets, herd.wire.bytes);
    for restarted in 0..RESTARTS {
        let i = 7 + restarted as usize;
        herd.nodes[i] = None;
        herd.wire.at(herd.wire.now + Duration::from_millis(300), Todo::Own(Start(i)));
        herd.run(Duration::from_secs(1));
    }
    let each = |total: u64| per(total) / RESTARTS as f64;
    figures.extend([
        counted(
            "a restart a second: datagrams per node and second, by nodes",
            n,
            each(herd.wire.packets - packets),
        ),
        counted(
            "a restart a second: KB per node and second, by nodes",
            n,
            each(herd.wire.bytes - bytes) / 1e3,
        ),
    ]);
    figures
}
