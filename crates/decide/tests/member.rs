//! Membership over a network that loses and delays datagrams: joins, failures,
//! pauses, restarts, partitions, and how fast a manifest number spreads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use decide::member::{Action, Event, Member, Tuning};
use decide::rng::Rng;
use model::Time;
use model::member::{Health, LoadRumor, Node, NodeId, Packet, Purpose, Rumor};

fn address(i: usize) -> SocketAddr {
    let [.., high, low] = (i as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn node(i: usize, start: u64) -> Node {
    let id = NodeId { name: format!("n{i}").into(), start };
    Node { id, address: address(i), entry: address(i), domain: "a".into(), capacity: 0 }
}

struct Network {
    rng: Rng,
    nodes: BTreeMap<usize, Member>,
    /// Start of each process, from which its local time counts.
    started: BTreeMap<usize, Time>,
    paused_until: BTreeMap<usize, Time>,
    in_flight: BTreeMap<(Time, u64), (SocketAddr, usize, Packet)>,
    seq: u64,
    now: Time,
    loss_percent: usize,
    partition: Option<usize>,
    fetching: BTreeMap<usize, (u64, Time)>,
    loads: BTreeMap<usize, LoadRumor>,
    /// Datagrams sent by each node.
    sent: BTreeMap<usize, usize>,
}

impl Network {
    fn new(n: usize, loss_percent: usize, seed: u64) -> Self {
        let mut network = Network {
            rng: Rng::new(seed),
            nodes: BTreeMap::new(),
            started: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            seq: 0,
            now: Time::ZERO,
            loss_percent,
            partition: None,
            fetching: BTreeMap::new(),
            loads: BTreeMap::new(),
            sent: BTreeMap::new(),
        };
        for i in 0..n {
            network.start(i);
        }
        network
    }

    fn start(&mut self, i: usize) {
        self.start_with_capacity(i, 0);
    }

    /// Starts a node on a host of this capacity.
    fn start_with_capacity(&mut self, i: usize, capacity: u8) {
        let start = self.rng.next_u64().max(1);
        let me = Node { capacity, ..node(i, start) };
        let mut m = Member::new(me, Tuning::default(), self.rng.next_u64());
        self.started.insert(i, self.now);
        m.handle_event(Time::ZERO, Event::Seeds(vec![address(0), address(1), address(2)]));
        self.nodes.insert(i, m);
    }

    fn deliver(&mut self, i: usize, event: Event) {
        let now = self.local_time(i);
        let Some(m) = self.nodes.get_mut(&i) else {
            return;
        };
        for action in m.handle_event(now, event) {
            match action {
                Action::Send(to, packet) => self.send(i, to, packet),
                Action::NewerManifest(number, _) => {
                    // The manifest is in force here once it has been fetched, which takes 10 ms.
                    self.fetching.insert(i, (number, self.now + Duration::from_millis(10)));
                }
                Action::Load(load) => {
                    if self.loads.insert(i, load) != Some(load) {
                        self.deliver(i, Event::Load(load));
                    }
                }
                Action::Changed(_) => {}
            }
        }
    }

    fn local_time(&self, i: usize) -> Time {
        Time::ZERO + self.started.get(&i).map_or(Duration::ZERO, |started| self.now.since(*started))
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        let std::net::IpAddr::V4(ip) = to.ip() else {
            return;
        };
        let [.., high, low] = ip.octets();
        let to = usize::from(u16::from_be_bytes([high, low]));
        *self.sent.entry(from).or_default() += 1;
        let is_partitioned = self.partition.is_some_and(|c| (from < c) != (to < c));
        if is_partitioned || self.rng.below(100) < self.loss_percent {
            return;
        }
        self.seq += 1;
        let at = self.now + Duration::from_micros(300 + self.rng.below(2000) as u64);
        self.in_flight.insert((at, self.seq), (address(from), to, packet));
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            let later = self.in_flight.split_off(&(self.now, u64::MAX));
            for (_, (from, to, packet)) in std::mem::replace(&mut self.in_flight, later) {
                if self.paused_until.get(&to).is_none_or(|until| *until <= self.now) {
                    self.deliver(to, Event::Packet { from, packet });
                }
            }
            for (i, (number, at)) in self.fetching.clone() {
                if at <= self.now {
                    self.fetching.remove(&i);
                    self.deliver(i, Event::Applied(number));
                }
            }
            let due: Vec<usize> = self
                .nodes
                .iter()
                .filter(|(i, m)| {
                    m.next_tick() <= self.local_time(**i)
                        && self.paused_until.get(i).is_none_or(|until| *until <= self.now)
                })
                .map(|(i, _)| *i)
                .collect();
            for i in due {
                self.deliver(i, Event::Tick);
            }
        }
    }

    /// Number of nodes that each node considers up.
    fn counts(&self) -> Vec<usize> {
        self.nodes.values().map(Member::count).collect()
    }

    fn sees(&self, i: usize, other: usize) -> bool {
        self.nodes[&i].peers().any(|p| p.node.address == address(other))
    }
}

#[test]
fn all_nodes_discover_each_other_from_seeds() {
    for loss_percent in [0, 5] {
        let mut network = Network::new(20, loss_percent, 1);
        network.run(8_000);
        assert!(
            network.counts().iter().all(|n| *n == 20),
            "loss {loss_percent}: {:?}",
            network.counts()
        );
    }
}

/// Starts nodes in random order within 300 ms. Every twentieth is on a host of this capacity; the
/// seeds are not.
fn start_together(n: usize, capacity: u8) -> Network {
    let mut network = Network::new(0, 1, 6);
    let mut order: Vec<usize> = (0..n).collect();
    network.rng.shuffle(&mut order);
    for started in order.chunks(n.div_ceil(100)) {
        for i in started {
            network.start_with_capacity(*i, if i % 20 == 7 { capacity } else { 0 });
        }
        network.run(3);
    }
    network
}

/// Mean share of all nodes that a node knows.
fn mean_known_share(network: &Network) -> f64 {
    let counts = network.counts();
    counts.iter().sum::<usize>() as f64 / (counts.len() * counts.len()) as f64
}

#[test]
fn simultaneous_start_converges_fast_with_little_load_on_small_seeds() {
    let mut network = start_together(295, 2);
    network.run(300);
    assert!(mean_known_share(&network) > 0.99, "{:.3} after 300 ms", mean_known_share(&network));
    network.run(1_000);
    assert!(network.counts().iter().all(|n| *n == 295), "{:?}", network.counts());
    let by_seeds = (0..3).map(|i| network.sent[&i]).max().unwrap_or(0);
    assert!(by_seeds <= 600, "{by_seeds} datagrams from one small seed");
    let most = network.sent.values().max().copied().unwrap_or(0);
    assert!(most <= 3_000, "{most} datagrams from one host");
}

#[test]
fn simultaneous_start_on_equal_hosts_converges_within_two_seconds() {
    let mut network = start_together(295, 0);
    network.run(500);
    assert!(mean_known_share(&network) > 0.9, "{:.3} after 500 ms", mean_known_share(&network));
    network.run(1_500);
    assert!(network.counts().iter().all(|n| *n == 295), "{:?}", network.counts());
}

/// The starts of a peer that a node considers up after rumors of two of them, each with the given
/// uptime of its process.
fn live_starts_after(first_up_ms: u64, second_up_ms: u64) -> Vec<u64> {
    let mut m = Member::new(node(1, 1), Tuning::default(), 1);
    for (start, up_ms) in [(10, first_up_ms), (20, second_up_ms)] {
        let rumor =
            Rumor { node: node(2, start), health: Health::Alive, incarnation: 0, number: 0, up_ms };
        let from = node(3, 3);
        let packet = Packet {
            from: from.id,
            seq: 0,
            purpose: Purpose::News,
            number: 0,
            digest: 0,
            rumors: vec![rumor],
            loads: Vec::new(),
        };
        m.handle_event(Time::from_millis(100), Event::Packet { from: from.address, packet });
    }
    m.peers().map(|p| p.node.id.start).collect()
}

#[test]
fn restart_replaces_previous_start_but_new_identity_of_same_process_does_not() {
    assert_eq!(live_starts_after(60_000, 300), [20], "the name was restarted");
    assert_eq!(live_starts_after(300, 60_000), [10], "stale rumor of the previous start");
    // A process wrongly declared dead continues under a new start; rumors of either may be late.
    assert_eq!(live_starts_after(60_000, 60_400), [10, 20]);
    assert_eq!(live_starts_after(60_400, 60_000), [10, 20]);
}

/// Guards against full list exchanges after each probe. Under constant churn no two digests match,
/// so every node sent traffic proportional to the fleet size.
#[test]
fn gossip_per_node_under_churn_does_not_grow_with_the_fleet() {
    let send_rate = |n: usize| {
        let mut network = start_together(n, 5);
        network.run(20_000);
        let before: usize = network.sent.values().sum();
        for i in 20..30 {
            network.nodes.remove(&i);
            network.run(300);
            network.start_with_capacity(i, 0);
            network.run(700);
        }
        let sent = network.sent.values().sum::<usize>() - before;
        network.run(10_000);
        assert!(network.counts().iter().all(|count| *count == n), "{n}: {:?}", network.counts());
        sent as f64 / n as f64 / 10.0
    };
    let (small, large) = (send_rate(60), send_rate(300));
    // The number of transmissions per rumor grows with the logarithm of the fleet size.
    let growth = 300_f64.ln() / 60_f64.ln();
    assert!(large <= small * growth, "{small} datagrams per node and second at 60, {large} at 300");
}

#[test]
fn all_nodes_detect_a_dead_node_within_eight_seconds() {
    let mut network = Network::new(20, 1, 2);
    network.run(10_000);
    network.nodes.remove(&7);
    let killed = network.now;
    while network.nodes.keys().any(|i| network.sees(*i, 7)) {
        network.run(100);
        let took = network.now.since(killed);
        assert!(took < Duration::from_secs(8), "still seen after {took:?}");
    }
}

#[test]
fn packet_loss_causes_no_false_deaths() {
    let mut network = Network::new(20, 2, 3);
    network.run(10_000);
    for _ in 0..60 {
        network.run(1_000);
        assert!(network.counts().iter().all(|n| *n == 20), "{:?}", network.counts());
    }
}

#[test]
fn a_paused_node_rejoins_as_a_new_member() {
    let mut network = Network::new(12, 0, 4);
    network.run(8_000);
    network.paused_until.insert(5, network.now + Duration::from_secs(20));
    network.run(15_000);
    assert!(network.nodes.keys().filter(|i| **i != 5).all(|i| !network.sees(*i, 5)));
    network.run(20_000);
    assert!(network.counts().iter().all(|n| *n == 12), "{:?}", network.counts());
}

#[test]
fn a_restart_at_the_same_address_replaces_the_previous_identity() {
    let mut network = Network::new(12, 0, 5);
    network.run(8_000);
    let previous = network.nodes[&4].me().id.clone();
    network.start(4);
    network.run(12_000);
    assert!(network.counts().iter().all(|n| *n == 12), "{:?}", network.counts());
    let is_still_up = network.nodes.values().any(|m| m.peers().any(|p| p.node.id == previous));
    assert!(!is_still_up, "the previous identity is still up");
}

#[test]
fn views_converge_after_a_partition_heals() {
    let mut network = Network::new(12, 0, 6);
    network.run(8_000);
    network.partition = Some(6);
    network.run(30_000);
    assert!(network.counts().iter().all(|n| *n == 6), "{:?}", network.counts());
    network.partition = None;
    network.run(60_000);
    assert!(network.counts().iter().all(|n| *n == 12), "{:?}", network.counts());
}

#[test]
fn nodes_that_restart_while_seeds_are_down_are_rediscovered_at_their_old_addresses() {
    for seed in 0..20 {
        let mut network = Network::new(7, 0, seed);
        network.run(5000);
        // Nodes 0 to 2 are the seeds of all; only 5 and 6 stay up throughout.
        for i in 0..5 {
            network.deliver(i, Event::Leave);
            network.nodes.remove(&i);
        }
        network.run(3000);
        network.start(3);
        network.start(4);
        network.run(4000);
        assert_eq!(network.counts(), [4; 4], "seed {seed}");
    }
}

#[test]
fn a_planned_leave_reaches_all_nodes_at_once() {
    let mut network = Network::new(12, 0, 7);
    network.run(8_000);
    network.deliver(3, Event::Leave);
    assert_eq!(network.nodes[&3].next_tick(), Time::NEVER, "no further ticks are due");
    network.nodes.remove(&3);
    network.run(50);
    assert!(network.nodes.keys().all(|i| !network.sees(*i, 3)));
}

#[test]
fn a_manifest_reaches_all_nodes_within_a_second() {
    let mut network = Network::new(57, 1, 8);
    network.run(12_000);
    network.deliver(11, Event::Applied(42));
    network.run(1_000);
    let applied = network.nodes.values().filter(|m| m.applied() == 42).count();
    assert_eq!(applied, 57);
    // Soon afterwards all nodes that may report on the domain know it of every node.
    network.run(5_000);
    let relays = network.nodes[&0].relays();
    for m in network.nodes.values().filter(|m| relays.contains(&m.me().id.name)) {
        assert_eq!(m.manifest_progress(42), (57, 57, 42), "{}", m.me().id.name);
    }
}

#[test]
fn a_draining_load_reaches_all_nodes_within_a_few_periods() {
    let mut network = Network::new(57, 1, 9);
    network.run(12_000);
    let load = LoadRumor { target: 77, wait: 0, seq: 1, flags: 3 };
    network.loads.insert(2, load);
    network.deliver(2, Event::Load(load));
    network.run(7_000);
    assert_eq!(network.loads.len(), 57);
}

#[test]
fn a_briefly_paused_node_refutes_its_suspicion() {
    let mut network = Network::new(20, 0, 10);
    network.run(10_000);
    for i in 3..9 {
        let start = network.nodes[&i].me().id.start;
        network.paused_until.insert(i, network.now + Duration::from_millis(1300));
        network.run(8_000);
        assert_eq!(network.nodes[&i].me().id.start, start, "node {i} was declared dead");
        assert!(network.counts().iter().all(|n| *n == 20), "{:?}", network.counts());
    }
}
