//! Membership of one failure domain: packets, bytes and time spent per node, and how often a live
//! node is declared dead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use decide::member::{Action, Event, Member, Tuning};
use model::Time;
use model::member::{Health, LoadRumor, Node, NodeId, Packet};

use super::wire::{Scheduled, SimNetwork, address, encoded_len};
use super::{Figure, counted, timed};

/// Targets per node: one failure domain has 217 targets and 57 nodes.
const TARGETS_PER_NODE: f64 = 217.0 / 57.0;
/// Mean seconds between two changes of a target's load that are announced.
const LOAD_CHANGE_SECONDS: f64 = 8.0;
/// Simulated seconds in the steady state.
const MEASURED_SECONDS: u64 = 60;
/// Simulated seconds until the members of a domain know each other.
const SETTLE_SECONDS: u64 = 150;

/// Change of the load of the target with this number.
struct LoadChange(u32);

/// Discrete-event simulation of a failure domain over a network that loses datagrams.
struct SimDomain {
    network: SimNetwork<LoadChange>,
    /// `None` if killed.
    nodes: Vec<Option<Member>>,
    /// Time spent in the members' code, all nodes together.
    busy_time: Duration,
    /// For each node, the sequence number of the latest known load by target.
    known_loads: Vec<BTreeMap<u32, u16>>,
    /// Observer, node declared dead, and time.
    observed_deaths: Vec<(usize, usize, Time)>,
}

impl SimDomain {
    fn new(n: usize, loss: f64, seed: u64) -> Self {
        let mut d = SimDomain {
            network: SimNetwork::new(loss, seed),
            nodes: Vec::new(),
            busy_time: Duration::ZERO,
            known_loads: vec![BTreeMap::new(); n],
            observed_deaths: Vec::new(),
        };
        for i in 0..n {
            let start = d.network.rng.next_u64().max(1);
            let id = NodeId { name: format!("hall-a-{i}").into(), start };
            let node = Node {
                id,
                address: address(i),
                entry: address(i),
                domain: "a".into(),
                capacity: 0,
            };
            let mut m = Member::new(node, Tuning::default(), d.network.rng.next_u64());
            m.handle_event(Time::ZERO, Event::Seeds((0..3.min(n)).map(address).collect()));
            d.nodes.push(Some(m));
            let at = Time(d.network.rng.below(1_000_000) as u64);
            d.network.schedule(at, Scheduled::Tick(i));
        }
        d
    }

    /// Schedules changes of every target's load, each seen first by the node that polls the target.
    fn with_loads(mut self) -> Self {
        let targets = (self.nodes.len() as f64 * TARGETS_PER_NODE) as u32;
        for t in 0..targets {
            let at = Time((self.network.rng.next_f64() * LOAD_CHANGE_SECONDS * 1e6) as u64);
            self.network.schedule(at, Scheduled::Custom(LoadChange(t)));
        }
        self
    }

    fn run(&mut self, seconds: u64) {
        let end = self.network.now + Duration::from_secs(seconds);
        while let Some(item) = self.network.next_before(end) {
            match item {
                Scheduled::Packet(from, to, packet) => {
                    self.deliver(to, Event::Packet { from, packet: *packet });
                }
                Scheduled::Tick(i) => self.tick(i),
                Scheduled::Custom(LoadChange(t)) => self.change_load(t),
            }
        }
    }

    fn tick(&mut self, i: usize) {
        self.deliver(i, Event::Tick);
        if let Some(m) = &self.nodes[i] {
            let next = m.next_tick().max(self.network.now + Duration::from_millis(1));
            self.network.schedule(next, Scheduled::Tick(i));
        }
    }

    /// Feeds a load change to the target's poller and schedules the next one.
    fn change_load(&mut self, t: u32) {
        let poller = t as usize % self.nodes.len();
        let seq = (self.network.now.0 / 100_000) as u16;
        let wait = self.network.rng.below(500) as u16;
        let load = LoadRumor { target: t, wait, seq, flags: 1 };
        self.known_loads[poller].insert(t, seq);
        self.deliver(poller, Event::Load(load));
        let next = self.network.now
            + Duration::from_secs_f64(LOAD_CHANGE_SECONDS * (0.5 + self.network.rng.next_f64()));
        self.network.schedule(next, Scheduled::Custom(LoadChange(t)));
    }

    /// Passes an event to a node and executes the actions that it returns.
    fn deliver(&mut self, i: usize, event: Event) {
        let Some(m) = &mut self.nodes[i] else {
            return;
        };
        let started = Instant::now();
        let actions = m.handle_event(self.network.now, event);
        self.busy_time += started.elapsed();
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send(i, to, packet),
                Action::Load(load) => {
                    let known = self.known_loads[i].get(&load.target).copied();
                    let newer = known.is_none_or(|k| (load.seq.wrapping_sub(k) as i16) > 0);
                    if newer {
                        self.known_loads[i].insert(load.target, load.seq);
                        self.deliver(i, Event::Load(load));
                    }
                }
                Action::Changed(r) if r.health == Health::Dead => {
                    let subject = (0..self.nodes.len()).find(|n| address(*n) == r.node.address);
                    self.observed_deaths.extend(subject.map(|w| (i, w, self.network.now)));
                }
                Action::Changed(_) | Action::NewerManifest(..) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        let started = Instant::now();
        let bytes = encoded_len(&packet);
        self.busy_time += started.elapsed();
        self.network.send(from, to, packet, bytes);
    }
}

/// Packets, bytes and time spent per node in a domain of `n` nodes, in the steady state with and
/// without load changes.
pub fn measure(n: usize) -> Vec<Figure> {
    let mut idle = SimDomain::new(n, 0.01, 7);
    idle.run(SETTLE_SECONDS);
    let (packets, bytes) = (idle.network.packets, idle.network.bytes);
    idle.run(MEASURED_SECONDS);
    let per_node_second = |total: u64| total as f64 / n as f64 / MEASURED_SECONDS as f64;
    let mut out = vec![
        counted(
            "membership packets sent per node and second",
            n,
            per_node_second(idle.network.packets - packets),
        ),
        counted(
            "membership bytes sent per node and second",
            n,
            per_node_second(idle.network.bytes - bytes),
        ),
    ];
    let mut loaded = SimDomain::new(n, 0.01, 7).with_loads();
    loaded.run(SETTLE_SECONDS);
    let (bytes, busy_before) = (loaded.network.bytes, loaded.busy_time);
    loaded.run(MEASURED_SECONDS);
    let micros = (loaded.busy_time - busy_before).as_secs_f64() * 1e6;
    out.push(counted(
        "with load news: bytes sent per node and second",
        n,
        per_node_second(loaded.network.bytes - bytes),
    ));
    let share = micros / n as f64 / MEASURED_SECONDS as f64 / 1e4;
    out.push(timed("with load news: per cent of a core per node", n, share));
    let targets = (n as f64 * TARGETS_PER_NODE) as usize;
    let now = (loaded.network.now.0 / 100_000) as u16;
    let ages =
        loaded.known_loads.iter().flat_map(|l| l.values()).map(|s| f64::from(now.wrapping_sub(*s)));
    let known = loaded.known_loads.iter().map(|l| l.len()).sum::<usize>();
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

/// Failure detection over a long run.
#[derive(Debug, Clone, Copy)]
pub struct DetectionStats {
    /// Simulated hours without a crash.
    pub hours: f64,
    /// Live nodes that any node declared dead.
    pub false_deaths: usize,
    /// Number of nodes killed.
    pub killed: usize,
    /// Seconds until the first observer declared the node dead, for the slowest kill.
    pub first: f64,
    /// Median seconds until an observer declared the node dead, over all kills and observers.
    pub median: f64,
    /// Maximum of the same.
    pub worst: f64,
}

/// Runs a domain of `n` nodes, which loses the share `loss` of datagrams, for `hours` without a
/// crash, then kills `kills` nodes one after another.
pub fn measure_detection(n: usize, loss: f64, hours: f64, kills: usize) -> DetectionStats {
    let mut d = SimDomain::new(n, loss, 11);
    d.run(SETTLE_SECONDS);
    d.observed_deaths.clear();
    d.run((hours * 3600.0) as u64);
    let false_deaths: std::collections::BTreeSet<_> =
        d.observed_deaths.iter().map(|(_, w, _)| *w).collect();
    let mut times = Vec::new();
    let mut first: f64 = 0.0;
    for k in 0..kills {
        d.observed_deaths.clear();
        let killed_at = d.network.now;
        let victim = 3 + k;
        d.nodes[victim] = None;
        d.run(20);
        let delays: Vec<f64> = d
            .observed_deaths
            .iter()
            .filter(|(_, w, _)| *w == victim)
            .map(|(_, _, at)| at.since(killed_at).as_secs_f64())
            .collect();
        first = first.max(delays.iter().copied().fold(f64::INFINITY, f64::min));
        times.extend(delays);
    }
    times.sort_by(f64::total_cmp);
    DetectionStats {
        hours,
        false_deaths: false_deaths.len(),
        killed: kills,
        first,
        median: times.get(times.len() / 2).copied().unwrap_or(0.0),
        worst: times.last().copied().unwrap_or(0.0),
    }
}
