//! Membership over a network that loses and delays datagrams: joins, deaths,
//! pauses, restarts, partitions, and how fast news of a manifest spreads.

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

struct Net {
    rng: Rng,
    nodes: BTreeMap<usize, Member>,
    /// When each process started: its time counts from there.
    born: BTreeMap<usize, Time>,
    paused: BTreeMap<usize, Time>,
    wire: BTreeMap<(Time, u64), (SocketAddr, usize, Packet)>,
    seq: u64,
    now: Time,
    loss: usize,
    cut: Option<usize>,
    heard: BTreeMap<usize, (u64, Time)>,
    loads: BTreeMap<usize, LoadRumor>,
    /// Datagrams sent by each node.
    sent: BTreeMap<usize, usize>,
}

impl Net {
    fn new(n: usize, loss: usize, seed: u64) -> Self {
        let mut net = Net {
            rng: Rng::new(seed),
            nodes: BTreeMap::new(),
            born: BTreeMap::new(),
            paused: BTreeMap::new(),
            wire: BTreeMap::new(),
            seq: 0,
            now: Time::ZERO,
            loss,
            cut: None,
            heard: BTreeMap::new(),
            loads: BTreeMap::new(),
            sent: BTreeMap::new(),
        };
        for i in 0..n {
            net.start(i);
        }
        net
    }

    fn start(&mut self, i: usize) {
        self.start_on(i, 0);
    }

    /// Starts a node on a host that bears this much.
    fn start_on(&mut self, i: usize, capacity: u8) {
        let start = self.rng.next_u64().max(1);
        let me = Node { capacity, ..node(i, start) };
        let mut m = Member::new(me, Tuning::default(), self.rng.next_u64());
        self.born.insert(i, self.now);
        m.handle_event(Time::ZERO, Event::Seeds(vec![address(0), address(1), address(2)]));
        self.nodes.insert(i, m);
    }

    fn feed(&mut self, i: usize, event: Event) {
        let now = self.own_time(i);
        let Some(m) = self.nodes.get_mut(&i) else {
            return;
        };
        for action in m.handle_event(now, event) {
            match action {
                Action::Send(to, packet) => self.send(i, to, packet),
                Action::NewerManifest(number, _) => {
                    // The fetch takes a little while; then it is in force here.
                    self.heard.insert(i, (number, self.now + Duration::from_millis(10)));
                }
                Action::Load(load) => {
                    if self.loads.insert(i, load) != Some(load) {
                        self.feed(i, Event::Load(load));
                    }
                }
                Action::Changed(_) => {}
            }
        }
    }

    fn own_time(&self, i: usize) -> Time {
        Time::ZERO + self.born.get(&i).map_or(Duration::ZERO, |born| self.now.since(*born))
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        let std::net::IpAddr::V4(ip) = to.ip() else {
            return;
        };
        let [.., high, low] = ip.octets();
        let to = usize::from(u16::from_be_bytes([high, low]));
        *self.sent.entry(from).or_default() += 1;
        let parted = self.cut.is_some_and(|c| (from < c) != (to < c));
        if parted || self.rng.below(100) < self.loss {
            return;
        }
        self.seq += 1;
        let at = self.now + Duration::from_micros(300 + self.rng.below(2000) as u64);
        self.wire.insert((at, self.seq), (address(from), to, packet));
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            let later = self.wire.split_off(&(self.now, u64::MAX));
            for (_, (from, to, packet)) in std::mem::replace(&mut self.wire, later) {
                if self.paused.get(&to).is_none_or(|until| *until <= self.now) {
                    self.feed(to, Event::Packet { from, packet });
                }
            }
            for (i, (number, at)) in self.heard.clone() {
                if at <= self.now {
                    self.heard.remove(&i);
                    self.feed(i, Event::Applied(number));
                }
            }
            let due: Vec<usize> = self
                .nodes
                .iter()
                .filter(|(i, m)| {
                    m.next_tick() <= self.own_time(**i)
                        && self.paused.get(i).is_none_or(|until| *until <= self.now)
                })
                .map(|(i, _)| *i)
                .collect();
            for i in due {
                self.feed(i, Event::Tick);
            }
        }
    }

    /// How many nodes see how many up.
    fn views(&self) -> Vec<usize> {
        self.nodes.values().map(Member::count).collect()
    }

    fn sees(&self, i: usize, other: usize) -> bool {
        self.nodes[&i].peers().any(|p| p.node.address == address(other))
    }
}

#[test]
fn all_find_each_other_from_seeds() {
    for loss in [0, 5] {
        let mut net = Net::new(20, loss, 1);
        net.run(8_000);
        assert!(net.views().iter().all(|n| *n == 20), "loss {loss}: {:?}", net.views());
    }
}

/// Starts nodes in any order within 300 ms; every twentieth is on a host that bears this
/// much, the seeds are not.
fn herd(n: usize, capacity: u8) -> Net {
    let mut net = Net::new(0, 1, 6);
    let mut order: Vec<usize> = (0..n).collect();
    net.rng.shuffle(&mut order);
    for started in order.chunks(n.div_ceil(100)) {
        for i in started {
            net.start_on(*i, if i % 20 == 7 { capacity } else { 0 });
        }
        net.run(3);
    }
    net
}

/// Share of their peers that nodes know, in the mean.
fn known(net: &Net) -> f64 {
    let views = net.views();
    views.iter().sum::<usize>() as f64 / (views.len() * views.len()) as f64
}

#[test]
fn hundreds_that_start_together_soon_know_each_other_and_small_seeds_bear_little_of_it() {
    let mut net = herd(295, 2);
    net.run(300);
    assert!(known(&net) > 0.99, "{:.3} after 300 ms", known(&net));
    net.run(1_000);
    assert!(net.views().iter().all(|n| *n == 295), "{:?}", net.views());
    let by_seeds = (0..3).map(|i| net.sent[&i]).max().unwrap_or(0);
    assert!(by_seeds <= 600, "{by_seeds} datagrams from one small seed");
    let most = net.sent.values().max().copied().unwrap_or(0);
    assert!(most <= 3_000, "{most} datagrams from one host");
}

#[test]
fn hundreds_of_like_hosts_that_start_together_know_each_other_within_two_seconds() {
    let mut net = herd(295, 0);
    net.run(500);
    assert!(known(&net) > 0.9, "{:.3} after 500 ms", known(&net));
    net.run(1_500);
    assert!(net.views().iter().all(|n| *n == 295), "{:?}", net.views());
}

/// A node that knows one start of a peer and hears of another, each of a process that ran for
/// this long; the starts that it takes for up.
fn known_after(first_up_ms: u64, second_up_ms: u64) -> Vec<u64> {
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
fn a_restart_ends_the_start_before_and_a_new_identity_of_one_process_does_not() {
    assert_eq!(known_after(60_000, 300), [20], "the name was started again");
    assert_eq!(known_after(300, 60_000), [10], "old news of the start before");
    // Taken for dead, a process goes on under a new start; news of either may be late.
    assert_eq!(known_after(60_000, 60_400), [10, 20]);
    assert_eq!(known_after(60_400, 60_000), [10, 20]);
}

/// Where somebody comes or goes all the time no two lists are alike, and after each probe a node
/// told all that it knew: as much as the fleet is large.
#[test]
fn what_a_node_tells_while_others_restart_does_not_grow_with_the_fleet() {
    let told = |n: usize| {
        let mut net = herd(n, 5);
        net.run(20_000);
        let before: usize = net.sent.values().sum();
        for i in 20..30 {
            net.nodes.remove(&i);
            net.run(300);
            net.start_on(i, 0);
            net.run(700);
        }
        let sent = net.sent.values().sum::<usize>() - before;
        net.run(10_000);
        assert!(net.views().iter().all(|known| *known == n), "{n}: {:?}", net.views());
        sent as f64 / n as f64 / 10.0
    };
    let (small, large) = (told(60), told(300));
    // Rumors are repeated as often as the logarithm of the fleet says.
    let growth = 300_f64.ln() / 60_f64.ln();
    assert!(large <= small * growth, "{small} datagrams a node and second at 60, {large} at 300");
}

#[test]
fn a_dead_node_is_found_by_all_within_bound() {
    let mut net = Net::new(20, 1, 2);
    net.run(10_000);
    net.nodes.remove(&7);
    let killed = net.now;
    while net.nodes.keys().any(|i| net.sees(*i, 7)) {
        net.run(100);
        let took = net.now.since(killed);
        assert!(took < Duration::from_secs(8), "still seen after {took:?}");
    }
}

#[test]
fn nobody_is_taken_for_dead_without_cause() {
    let mut net = Net::new(20, 2, 3);
    net.run(10_000);
    for _ in 0..60 {
        net.run(1_000);
        assert!(net.views().iter().all(|n| *n == 20), "{:?}", net.views());
    }
}

#[test]
fn a_paused_node_comes_back_as_a_new_member() {
    let mut net = Net::new(12, 0, 4);
    net.run(8_000);
    net.paused.insert(5, net.now + Duration::from_secs(20));
    net.run(15_000);
    assert!(net.nodes.keys().filter(|i| **i != 5).all(|i| !net.sees(*i, 5)));
    net.run(20_000);
    assert!(net.views().iter().all(|n| *n == 12), "{:?}", net.views());
}

#[test]
fn a_restart_at_the_same_address_buries_the_former_self() {
    let mut net = Net::new(12, 0, 5);
    net.run(8_000);
    let former = net.nodes[&4].me().id.clone();
    net.start(4);
    net.run(12_000);
    assert!(net.views().iter().all(|n| *n == 12), "{:?}", net.views());
    let still = net.nodes.values().any(|m| m.peers().any(|p| p.node.id == former));
    assert!(!still, "the former self is gone");
}

#[test]
fn a_partition_heals() {
    let mut net = Net::new(12, 0, 6);
    net.run(8_000);
    net.cut = Some(6);
    net.run(30_000);
    assert!(net.views().iter().all(|n| *n == 6), "{:?}", net.views());
    net.cut = None;
    net.run(60_000);
    assert!(net.views().iter().all(|n| *n == 12), "{:?}", net.views());
}

#[test]
fn nodes_that_restart_while_their_seeds_are_down_are_found_by_those_that_knew_them() {
    for seed in 0..20 {
        let mut net = Net::new(7, 0, seed);
        net.run(5000);
        // Nodes 0 to 2 are everybody's seeds; only 5 and 6 stay up all the time.
        for i in 0..5 {
            net.feed(i, Event::Leave);
            net.nodes.remove(&i);
        }
        net.run(3000);
        net.start(3);
        net.start(4);
        net.run(4000);
        assert_eq!(net.views(), [4; 4], "seed {seed}");
    }
}

#[test]
fn a_node_that_leaves_is_known_at_once() {
    let mut net = Net::new(12, 0, 7);
    net.run(8_000);
    net.feed(3, Event::Leave);
    assert_eq!(net.nodes[&3].next_tick(), Time::NEVER, "it has nothing more to do");
    net.nodes.remove(&3);
    net.run(50);
    assert!(net.nodes.keys().all(|i| !net.sees(*i, 3)));
}

#[test]
fn a_manifest_is_known_to_all_within_a_second() {
    let mut net = Net::new(57, 1, 8);
    net.run(12_000);
    net.feed(11, Event::Applied(42));
    net.run(1_000);
    let have = net.nodes.values().filter(|m| m.applied() == 42).count();
    assert_eq!(have, 57);
    // And soon everybody that may report on the domain knows it of everybody.
    net.run(5_000);
    let relays = net.nodes[&0].relays();
    for m in net.nodes.values().filter(|m| relays.contains(&m.me().id.name)) {
        assert_eq!(m.manifest_progress(42), (57, 57, 42), "{}", m.me().id.name);
    }
}

#[test]
fn leaving_reaches_all_within_a_few_periods() {
    let mut net = Net::new(57, 1, 9);
    net.run(12_000);
    let load = LoadRumor { target: 77, wait: 0, seq: 1, flags: 3 };
    net.loads.insert(2, load);
    net.feed(2, Event::Load(load));
    net.run(7_000);
    assert_eq!(net.loads.len(), 57);
}

#[test]
fn a_node_that_pauses_for_a_moment_is_suspected_and_refutes() {
    let mut net = Net::new(20, 0, 10);
    net.run(10_000);
    for i in 3..9 {
        let start = net.nodes[&i].me().id.start;
        net.paused.insert(i, net.now + Duration::from_millis(1300));
        net.run(8_000);
        assert_eq!(net.nodes[&i].me().id.start, start, "node {i} was buried");
        assert!(net.views().iter().all(|n| *n == 20), "{:?}", net.views());
    }
}
