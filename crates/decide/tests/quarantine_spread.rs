//! Crashes seen by different nodes are combined until all nodes hold the request, while messages
//! are lost, nodes leave and join, and domains are partitioned.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::quarantine::{Outgoing, Quarantine};
use decide::rng::Rng;
use model::Time;
use model::forward::{Fingerprint, TargetId};
use model::member::{Node, NodeId};
use proptest::prelude::*;

/// Interval at which nodes send what is due.
const STEP: Duration = Duration::from_millis(250);

fn node(n: usize) -> Node {
    let address = "127.0.0.1:1".parse().expect("an address");
    let id = NodeId { name: format!("node-{n}").as_str().into(), start: 1 };
    Node { id, address, entry: address, domain: "hall".into(), capacity: 0 }
}

fn request() -> Fingerprint {
    Fingerprint::of(&[b"fatal"])
}

fn target(n: usize) -> TargetId {
    format!("i-{n}").as_str().into()
}

struct Cluster {
    nodes: Vec<(Node, Quarantine)>,
    up: BTreeSet<usize>,
    /// Nodes on one side of a partition, which reach only each other.
    cut: BTreeSet<usize>,
    /// Nodes of an older build without support for these messages.
    unsupported: BTreeSet<usize>,
    now: Time,
    loss: f64,
    rng: Rng,
    messages: usize,
}

impl Cluster {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        Cluster {
            nodes: (0..count).map(|n| (node(n), Quarantine::default())).collect(),
            up: (0..count).collect(),
            cut: BTreeSet::new(),
            unsupported: BTreeSet::new(),
            now: Time::from_millis(1000),
            loss,
            rng: Rng::new(seed),
            messages: 0,
        }
    }

    fn crash(&mut self, at: usize, target_number: usize) {
        let now = self.now;
        self.nodes[at].1.record_crash(&target(target_number), &"s".into(), &[request()], now);
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.up.contains(&b) && self.cut.contains(&a) == self.cut.contains(&b)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for from in self.up.clone() {
            let peers: Vec<usize> =
                (0..self.nodes.len()).filter(|n| *n != from && self.reaches(from, *n)).collect();
            let peers: Vec<Node> = peers.into_iter().map(|n| self.nodes[n].0.clone()).collect();
            let (me, now) = (self.nodes[from].0.id.clone(), self.now);
            for Outgoing { peer, reports, versions } in
                self.nodes[from].1.outgoing(&me.name, &peers, |_| true, now)
            {
                self.messages += 1;
                let is_lost = (self.rng.below(1000) as f64) < self.loss * 1000.0;
                if is_lost {
                    continue;
                }
                let to = self.nodes.iter().position(|(n, _)| n.id == peer.id).expect("a node");
                if self.unsupported.contains(&to) {
                    self.nodes[from].1.mark_unsupported(&peer.id);
                    continue;
                }
                self.nodes[to].1.merge(Some(&me), &reports, now);
                let reply = self.nodes[to].1.missing_from(&reports, now);
                self.nodes[from].1.merge(Some(&peer.id), &reply, now);
                self.nodes[from].1.acknowledge(&peer.id, &versions);
            }
        }
    }

    fn holders(&self) -> usize {
        let holds = |n: &&usize| self.nodes[**n].1.hold(request(), self.now).is_some();
        self.up.iter().filter(holds).count()
    }

    /// Steps until all nodes that are up hold the request; returns how many.
    fn steps_until_held(&mut self) -> usize {
        (1..=40)
            .find(|_| {
                self.step();
                self.holders() == self.up.len()
            })
            .expect("all nodes hold it within 40 steps")
    }
}

#[test]
fn three_crashes_at_three_nodes_reach_all_nodes_within_a_second() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(340, 0.0, seed);
        for n in 0..3 {
            let at = cluster.rng.below(340);
            cluster.crash(at, n);
        }
        let steps = cluster.steps_until_held();
        assert!(STEP * steps as u32 <= Duration::from_secs(1), "{steps} steps");
        // No more messages are sent afterwards.
        (0..8).for_each(|_| cluster.step());
        let before = cluster.messages;
        (0..8).for_each(|_| cluster.step());
        assert_eq!(cluster.messages, before);
        assert!(before <= 340 * 6, "{before} messages");
    }
}

/// Half of the nodes run a build that does not support these messages. Any replica may be among
/// them.
#[test]
fn nodes_of_an_older_build_are_skipped() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(12, 0.0, seed);
        cluster.unsupported = (0..6).collect();
        for n in 0..3 {
            cluster.crash(6 + n, n);
        }
        for _ in 0..8 {
            cluster.step();
        }
        assert_eq!(cluster.holders(), 6, "all nodes of the newer build");
        let before = cluster.messages;
        (0..8).for_each(|_| cluster.step());
        assert_eq!(cluster.messages, before, "no message is sent in vain");
    }
}

#[test]
fn crashes_of_a_rack_failure_cost_a_few_messages_each() {
    let mut cluster = Cluster::new(100, 0.0, 7);
    let many: Vec<Fingerprint> =
        (0..500u32).map(|n| Fingerprint::of(&[&n.to_le_bytes()])).collect();
    for (n, item) in many.iter().enumerate() {
        let now = cluster.now;
        cluster.nodes[n % 100].1.record_crash(&target(n % 10), &"s".into(), &[*item], now);
    }
    (0..8).for_each(|_| cluster.step());
    assert!(cluster.messages <= 500 * 3, "{} messages", cluster.messages);
}

#[test]
fn crashes_of_a_rack_failure_with_prompts_cost_a_few_messages_each_and_hold_nothing() {
    let mut cluster = Cluster::new(100, 0.0, 7);
    let key = |kind: &str, n: usize| Fingerprint::of(&[kind.as_bytes(), &n.to_le_bytes()]);
    for n in 0..500 {
        let (now, request) = (cluster.now, key("request", n));
        let common = [key("route", 0), key("tenant", n % 10)];
        let own = [key("session", n), key("page", n)];
        let q = &mut cluster.nodes[n % 100].1;
        common.iter().for_each(|part| _ = q.record_answer(*part, now));
        q.record_crash(&target(n % 10), &"s".into(), &[request], now);
        let parts: Vec<_> = common.into_iter().chain(own).map(|part| (part, request)).collect();
        q.record_part_crash(&target(n % 10), &"s".into(), &parts, now);
    }
    (0..8).for_each(|_| cluster.step());
    assert!(cluster.messages <= 1500 * 3, "{} messages", cluster.messages);
    let held: usize = cluster.nodes.iter().map(|(_, q)| q.count_held(cluster.now)).sum();
    assert_eq!(held, 0);
}

proptest! {
    #[test]
    fn all_connected_nodes_hold_the_request_despite_loss_and_churn(
        count in 2usize..40,
        loss in 0.0..0.5f64,
        seed in any::<u64>(),
        witnesses in prop::collection::vec(any::<usize>(), 3),
        gone in prop::collection::vec(any::<usize>(), 0..4),
    ) {
        let mut cluster = Cluster::new(count, loss, seed);
        for (n, witness) in witnesses.iter().enumerate() {
            cluster.crash(witness % count, n);
        }
        // Nodes that saw no crash leave after those that did have notified the replicas.
        cluster.step();
        for item in gone {
            let item = item % count;
            let is_witness = witnesses.iter().any(|witness| witness % count == item);
            if !is_witness && cluster.up.len() > 1 {
                cluster.up.remove(&item);
            }
        }
        cluster.steps_until_held();
        // A node that joins knows nothing and is notified.
        cluster.nodes.push((node(count), Quarantine::default()));
        cluster.up.insert(count);
        cluster.steps_until_held();
    }

    #[test]
    fn a_partitioned_domain_exchanges_crashes_after_it_heals(
        seed in any::<u64>(),
        cut in 1usize..8,
        inside in 0usize..4,
    ) {
        let mut cluster = Cluster::new(12, 0.1, seed);
        cluster.cut = (0..cut).collect();
        for n in 0..3 {
            let at = if n < inside { n % cut } else { cut + n % (12 - cut) };
            cluster.crash(at, n);
        }
        (0..12).for_each(|_| cluster.step());
        cluster.cut.clear();
        cluster.steps_until_held();
    }
}
