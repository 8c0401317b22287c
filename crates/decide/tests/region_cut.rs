//! Hour-long partitions between regions in simulated time: membership, coordinators, schedulers and
//! owners of cold starts on each side, and after the partition heals.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use decide::fleet::Regions;
use decide::member::{Action, Event, Member, Tuning};
use decide::rng::Rng;
use decide::roster::{PeerView, Roster};
use model::forward::PoolId;
use model::member::{Health, Node, NodeId, Packet};
use model::{Name, Time};

const NODES_PER_DOMAIN: usize = 2;
const DOMAINS: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
const REGIONS: [&str; 3] = ["a", "b", "c"];
/// Time within which all nodes detect a partition or its end.
const CONVERGENCE: Duration = Duration::from_secs(20);
const HOUR: Duration = Duration::from_secs(3600);

fn region(i: usize) -> &'static str {
    &DOMAINS[i / NODES_PER_DOMAIN][..1]
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7000))
}

fn node(i: usize) -> Node {
    let domain = DOMAINS[i / NODES_PER_DOMAIN];
    let id = NodeId { name: format!("{domain}-{i}").into(), start: 1 };
    Node { id, address: address(i), entry: address(i), domain: domain.into(), capacity: 0 }
}

/// Directed links between regions that drop all packets.
type Links = &'static [(&'static str, &'static str)];

struct Host {
    member: Member,
    roster: Roster,
}

/// Twelve nodes in three regions.
struct Net {
    now: Time,
    rng: Rng,
    hosts: Vec<Host>,
    wire: BTreeMap<(Time, u64), (usize, usize, Packet)>,
    sent: u64,
    cut: Links,
}

impl Net {
    fn new() -> Net {
        let regions = DOMAINS.iter().map(|d| ((*d).into(), d[..1].into()));
        let regions = Regions::new(regions.collect());
        let mut rng = Rng::new(7);
        let host = |i: usize| {
            let me = node(i);
            let mut roster = Roster::new(me.id.name.clone(), me.domain.clone(), 0);
            roster.set_regions(regions.clone());
            Host { member: Member::new(me, Tuning::default(), rng.next_u64()), roster }
        };
        let hosts = (0..DOMAINS.len() * NODES_PER_DOMAIN).map(host).collect();
        let mut net = Net { now: Time::ZERO, rng, hosts, wire: BTreeMap::new(), sent: 0, cut: &[] };
        let seeds: Vec<SocketAddr> =
            (0..DOMAINS.len()).map(|d| address(d * NODES_PER_DOMAIN)).collect();
        for i in 0..net.hosts.len() {
            net.feed(i, Event::Seeds(seeds.clone()));
        }
        net.run(CONVERGENCE);
        net
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let tick = self.hosts.iter().map(|h| h.member.next_tick()).min().expect("hosts");
            let packet = self.wire.first_key_value().map_or(Time::NEVER, |((at, _), _)| *at);
            let next = tick.min(packet).max(self.now);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
            if packet <= next {
                let (_, (from, to, packet)) = self.wire.pop_first().expect("a packet");
                self.feed(to, Event::Packet { from: address(from), packet });
                continue;
            }
            for i in 0..self.hosts.len() {
                if self.hosts[i].member.next_tick() <= next {
                    self.feed(i, Event::Tick);
                }
            }
        }
    }

    fn feed(&mut self, i: usize, event: Event) {
        let now = self.now;
        for action in self.hosts[i].member.handle_event(now, event) {
            if let Action::Send(to, packet) = action {
                self.send(i, to, packet);
            }
        }
        let Host { member, roster } = &mut self.hosts[i];
        for (domain, took) in member.take_round_trips() {
            roster.record_rtt(&domain, took);
        }
        let view = |p: &decide::member::Peer| PeerView {
            node: p.node.clone(),
            suspect: p.health == Health::Suspect,
            up: p.uptime(now),
            at: now,
        };
        roster.update(member.peers().map(view).collect(), now);
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        let IpAddr::V4(ip) = to.ip() else {
            return;
        };
        let to = usize::from(ip.octets()[3]);
        if self.cut.contains(&(region(from), region(to))) {
            return;
        }
        let latency = if region(from) == region(to) { 500 } else { 20_000 };
        let at = self.now + Duration::from_micros(latency + self.rng.below(200) as u64);
        self.sent += 1;
        self.wire.insert((at, self.sent), (from, to, packet));
    }

    /// Whether a request from one node to another is answered.
    fn answers(&self, from: usize, to: usize) -> bool {
        let (from, to) = (region(from), region(to));
        !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from))
    }

    /// The coordinator of a region's workers, as a node finds it by asking.
    fn coordinator(&mut self, i: usize, region: &str) -> usize {
        let pool = PoolId { service: "encode".into(), region: Some(region.into()) };
        loop {
            let now = self.now;
            let order = self.hosts[i].roster.coordinators(&pool, now);
            let Some(first) = order.into_iter().next().expect("this node at least") else {
                return i;
            };
            let to = index(&first);
            if self.answers(i, to) {
                self.hosts[i].roster.mark_answered(&first.id, now);
                return to;
            }
            self.hosts[i].roster.mark_silent(&first.id, now);
        }
    }

    /// Nodes among these that own the cold starts of a target.
    fn owners(&self, nodes: &[usize], target: &str) -> Vec<usize> {
        let owns = |i: &&usize| self.hosts[**i].roster.owns(target, self.now);
        nodes.iter().filter(owns).copied().collect()
    }

    /// Asserts that these nodes work together, and with no others.
    fn assert_side(&mut self, regions: &[&str], why: &str) {
        let nodes: Vec<usize> = self.nodes_of(regions);
        for i in &nodes {
            let sees: BTreeSet<Name> =
                self.hosts[*i].roster.ids().into_iter().map(|id| id.name).collect();
            let others = nodes.iter().filter(|j| *j != i).map(|j| node(*j).id.name);
            assert_eq!(sees, others.collect(), "{why}: what {i} sees");
            assert!(self.hosts[*i].roster.map().is_split(), "{why}: distances are kept");
        }
        self.assert_duties(regions, why);
        for target in 0..20 {
            let owners = self.owners(&nodes, &format!("t{target}"));
            assert_eq!(owners.len(), 1, "{why}: owners of t{target} are {owners:?}");
        }
    }

    /// Asserts that the nodes of these regions agree on the coordinators and schedulers there.
    fn assert_duties(&mut self, regions: &[&str], why: &str) {
        let nodes = self.nodes_of(regions);
        for of in REGIONS {
            let found: BTreeSet<usize> = nodes.iter().map(|i| self.coordinator(*i, of)).collect();
            let is_there = found.iter().all(|i| region(*i) == of);
            let is_here = regions.contains(&of);
            assert_eq!(is_there, is_here, "{why}: {of} is coordinated by {found:?}");
            assert!(!is_here || found.len() == 1, "{why}: {of} by {found:?}");
        }
        for domain in DOMAINS {
            let now = self.now;
            let who = |i: &usize| {
                let scheduler = self.hosts[*i].roster.scheduler("chat", domain, now)?;
                Some(scheduler.as_ref().map_or(*i, index))
            };
            let found: BTreeSet<Option<usize>> = nodes.iter().map(who).collect();
            let is_there =
                |i: &Option<usize>| i.is_some_and(|i| DOMAINS[i / NODES_PER_DOMAIN] == domain);
            let is_here = regions.contains(&&domain[..1]);
            assert!(!is_here || found.len() == 1, "{why}: {domain} is scheduled by {found:?}");
            assert_eq!(found.iter().all(is_there), is_here, "{why}: {domain}, {found:?}");
        }
    }

    fn nodes_of(&self, regions: &[&str]) -> Vec<usize> {
        (0..self.hosts.len()).filter(|i| regions.contains(&region(*i))).collect()
    }

    fn coordinators(&mut self) -> Vec<usize> {
        REGIONS.iter().map(|r| self.coordinator(0, r)).collect()
    }
}

fn index(node: &Node) -> usize {
    let IpAddr::V4(ip) = node.entry.ip() else {
        return 0;
    };
    usize::from(ip.octets()[3])
}

const C_ISOLATED: Links = &[("a", "c"), ("c", "a"), ("b", "c"), ("c", "b")];
const ALL_ISOLATED: Links =
    &[("a", "b"), ("b", "a"), ("a", "c"), ("c", "a"), ("b", "c"), ("c", "b")];

#[test]
fn each_side_of_an_hour_long_partition_works_alone_and_rejoins_after_it_heals() {
    let cases: [(Links, &[&[&str]], &str); 2] = [
        (C_ISOLATED, &[&["a", "b"], &["c"]], "two regions are connected, the third is isolated"),
        (ALL_ISOLATED, &[&["a"], &["b"], &["c"]], "all regions are isolated"),
    ];
    for (cut, sides, why) in cases {
        let mut net = Net::new();
        net.assert_side(&REGIONS, "before");
        let before = net.coordinators();
        net.cut = cut;
        net.run(CONVERGENCE);
        for _ in 0..4 {
            for side in sides {
                net.assert_side(side, why);
            }
            net.run(HOUR / 4);
        }
        net.cut = &[];
        net.run(CONVERGENCE);
        net.assert_side(&REGIONS, "healed");
        assert_eq!(net.coordinators(), before, "{why}: coordinators are restored");
    }
}

#[test]
fn a_one_way_link_splits_the_duties_of_two_regions_but_not_membership() {
    let mut net = Net::new();
    let before = net.coordinators();
    net.cut = &[("a", "b")];
    net.run(CONVERGENCE);
    for _ in 0..4 {
        for i in net.nodes_of(&REGIONS) {
            let up = net.hosts[i].roster.count();
            assert_eq!(up, net.hosts.len(), "{i} sees all nodes through the third region");
        }
        for of in REGIONS {
            for i in net.nodes_of(&[of]) {
                let own = net.coordinator(i, of);
                assert_eq!(region(own), of, "{of} coordinates its own workers");
            }
        }
        for (from, to) in [("a", "b"), ("b", "a")] {
            for i in net.nodes_of(&[from]) {
                let found = net.coordinator(i, to);
                assert_ne!(region(found), to, "{from} gets no answer from {to}");
            }
        }
        for target in 0..20 {
            let all = net.nodes_of(&REGIONS);
            let owners = net.owners(&all, &format!("t{target}"));
            assert!(owners.len() <= 2, "t{target}: {owners:?}, one on each side at most");
        }
        net.run(HOUR / 4);
    }
    net.cut = &[];
    net.run(CONVERGENCE);
    for i in net.nodes_of(&REGIONS) {
        let others = net.hosts[i].roster.ids();
        let now = net.now;
        others.iter().for_each(|id| net.hosts[i].roster.mark_answered(id, now));
    }
    net.assert_side(&REGIONS, "healed, once unresponsive nodes were asked again");
    assert_eq!(net.coordinators(), before);
}
