//! Membership of one failure domain: messages, bytes and time per node, and how
//! often a live node is taken for dead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use decide::member::{Action, Event, Member, Tuning};
use model::Time;
use model::member::{Health, LoadRumor, Node, NodeId, Packet};

use super::wire::{Todo, Wire, address, length};
use super::{Figure, counted, timed};

/// Targets for each node: 217 before 57 nodes in one failure domain.
const TARGETS: f64 = 217.0 / 57.0;
/// Seconds between two changes worth telling of one target's load.
const CHANGE_EVERY: f64 = 8.0;
/// Seconds measured.
const SECONDS: u64 = 60;
/// Seconds until a domain has found itself.
const SETTLE: u64 = 150;

/// The load of a target changes.
struct Change(u32);

/// A failure domain over a network that loses datagrams, by events.
struct Domain {
    wire: Wire<Change>,
    nodes: Vec<Option<Member>>,
    spent: Duration,
    loads: Vec<BTreeMap<u32, u16>>,
    dead: Vec<(usize, usize, Time)>,
}

impl Domain {
    fn new(n: usize, loss: f64, seed: u64) -> Self {
        let mut d = Domain {
            wire: Wire::new(loss, seed),
            nodes: Vec::new(),
            spent: Duration::ZERO,
            loads: vec![BTreeMap::new(); n],
            dead: Vec::new(),
        };
        for i in 0..n {
            let start = d.wire.rng.next_u64().max(1);
            let id = NodeId { name: format!("hall-a-{i}").into(), start };
            let node = Node {
                id,
                address: address(i),
                entry: address(i),
                domain: "a".into(),
                capacity: 0,
            };
            let mut m = Member::new(node, Tuning::default(), d.wire.rng.next_u64());
            m.handle_event(Time::ZERO, Event::Seeds((0..3.min(n)).map(address).collect()));
            d.nodes.push(Some(m));
            let at = Time(d.wire.rng.below(1_000_000) as u64);
            d.wire.at(at, Todo::Tick(i));
        }
        d
    }

    /// Every target's load changes now and then, as its pollers see it.
    fn with_loads(mut self) -> Self {
        let targets = (self.nodes.len() as f64 * TARGETS) as u32;
        for t in 0..targets {
            let at = Time((self.wire.rng.next_f64() * CHANGE_EVERY * 1e6) as u64);
            self.wire.at(at, Todo::Own(Change(t)));
        }
        self
    }

    fn run(&mut self, seconds: u64) {
        let end = self.wire.now + Duration::from_secs(seconds);
        while let Some(what) = self.wire.next_before(end) {
            match what {
                Todo::Packet(from, to, packet) => {
                    self.feed(to, Event::Packet { from, packet: *packet });
                }
                Todo::Tick(i) => self.tick(i),
                Todo::Own(Change(t)) => self.change(t),
            }
        }
    }

    fn tick(&mut self, i: usize) {
        self.feed(i, Event::Tick);
        if let Some(m) = &self.nodes[i] {
            let next = m.next_tick().max(self.wire.now + Duration::from_millis(1));
            self.wire.at(next, Todo::Tick(i));
        }
    }

    fn change(&mut self, t: u32) {
        let poller = t as usize % self.nodes.len();
        let seq = (self.wire.now.0 / 100_000) as u16;
        let wait = self.wire.rng.below(500) as u16;
        let load = LoadRumor { target: t, wait, seq, flags: 1 };
        self.loads[poller].insert(t, seq);
        self.feed(poller, Event::Load(load));
        let next = self.wire.now
            + Duration::from_secs_f64(CHANGE_EVERY * (0.5 + self.wire.rng.next_f64()));
        self.wire.at(next, Todo::Own(Change(t)));
    }

    fn feed(&mut self, i: usize, event: Event) {
        let Some(m) = &mut self.nodes[i] else {
            return;
        };
        let begun = Instant::now();
        let actions = m.handle_event(self.wire.now, event);
        self.spent += begun.elapsed();
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send(i, to, packet),
                Action::Load(load) => {
                    let known = self.loads[i].get(&load.target).copied();
                    let newer = known.is_none_or(|k| (load.seq.wrapping_sub(k) as i16) > 0);
                    if newer {
                        self.loads[i].insert(load.target, load.seq);
                        self.feed(i, Event::Load(load));
                    }
                }
                Action::Changed(r) if r.health == Health::Dead => {
                    let who = (0..self.nodes.len()).find(|n| address(*n) == r.node.address);
                    self.dead.extend(who.map(|w| (i, w, self.wire.now)));
                }
                Action::Changed(_) | Action::NewerManifest(..) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        let begun = Instant::now();
        let bytes = length(&packet);
        self.spent += begun.elapsed();
        self.wire.send(from, to, packet, bytes);
    }
}

/// Messages, bytes and time of one node in a domain of `n`, in the steady state.
pub fn measure(n: usize) -> Vec<Figure> {
    let mut quiet = Domain::new(n, 0.01, 7);
    quiet.run(SETTLE);
    let (packets, bytes) = (quiet.wire.packets, quiet.wire.bytes);
    quiet.run(SECONDS);
    let per = |total: u64| total as f64 / n as f64 / SECONDS as f64;
    let mut out = vec![
        counted(
            "membership packets sent per node and second",
            n,
            per(quiet.wire.packets - packets),
        ),
        counted("membership bytes sent per node and second", n, per(quiet.wire.bytes - bytes)),
    ];
    let mut busy = Domain::new(n, 0.01, 7).with_loads();
    busy.run(SETTLE);
    let (bytes, spent) = (busy.wire.bytes, busy.spent);
    busy.run(SECONDS);
    let micros = (busy.spent - spent).as_secs_f64() * 1e6;
    out.push(counted(
        "with load news: bytes sent per node and second",
        n,
        per(busy.wire.bytes - bytes),
    ));
    let share = micros / n as f64 / SECONDS as f64 / 1e4;
    out.push(timed("with load news: per cent of a core per node", n, share));
    let targets = (n as f64 * TARGETS) as usize;
    let now = (busy.wire.now.0 / 100_000) as u16;
    let ages = busy.loads.iter().flat_map(|l| l.values()).map(|s| f64::from(now.wrapping_sub(*s)));
    let known = busy.loads.iter().map(|l| l.len()).sum::<usize>();
    out.push(counted(
        "load news: share of targets known per node",
        n,
        known as f64 / (n * targets) as f64,
    ));
    out.push(counted(
        "load news: mean age in seconds",
        n,
        ages.sum::<f64>() / known.max(1) as f64 / 10.0,
    ));
    out
}

/// Deaths seen over a long run.
#[derive(Debug, Clone, Copy)]
pub struct Deaths {
    /// Hours run.
    pub hours: f64,
    /// Live nodes that somebody took for dead.
    pub false_deaths: usize,
    /// Nodes killed.
    pub killed: usize,
    /// Seconds until the first, the median and the last of the others knew, worst kill.
    pub first: f64,
    /// Median over kills and observers.
    pub median: f64,
    /// Worst over kills and observers.
    pub worst: f64,
}

/// A domain of `n` with `loss`: `hours` without a death, then `kills` deaths.
pub fn deaths(n: usize, loss: f64, hours: f64, kills: usize) -> Deaths {
    let mut d = Domain::new(n, loss, 11);
    d.run(SETTLE);
    d.dead.clear();
    d.run((hours * 3600.0) as u64);
    let false_deaths: std::collections::BTreeSet<_> = d.dead.iter().map(|(_, w, _)| *w).collect();
    let mut times = Vec::new();
    let mut first: f64 = 0.0;
    for k in 0..kills {
        d.dead.clear();
        let killed = d.wire.now;
        let victim = 3 + k;
        d.nodes[victim] = None;
        d.run(20);
        let own: Vec<f64> = d
            .dead
            .iter()
            .filter(|(_, w, _)| *w == victim)
            .map(|(_, _, at)| at.since(killed).as_secs_f64())
            .collect();
        first = first.max(own.iter().copied().fold(f64::INFINITY, f64::min));
        times.extend(own);
    }
    times.sort_by(f64::total_cmp);
    Deaths {
        hours,
        false_deaths: false_deaths.len(),
        killed: kills,
        first,
        median: times.get(times.len() / 2).copied().unwrap_or(0.0),
        worst: times.last().copied().unwrap_or(0.0),
    }
}
