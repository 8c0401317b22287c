//! How ends that different nodes saw come together, and all come to hold a request: messages
//! between machines are lost, nodes go and come, domains are cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::quarantine::{Outgoing, Quarantine};
use decide::rng::Rng;
use model::Time;
use model::forward::{Fingerprint, TargetId};
use model::member::{Node, NodeId};
use proptest::prelude::*;

/// Time between two looks of a node at what is unsent.
const LOOK: Duration = Duration::from_millis(250);

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

struct World {
    nodes: Vec<(Node, Quarantine)>,
    up: BTreeSet<usize>,
    /// Nodes on this side of a cut reach no others.
    cut: BTreeSet<usize>,
    /// Nodes of an older build.
    old: BTreeSet<usize>,
    now: Time,
    lost: f64,
    rng: Rng,
    messages: usize,
}

impl World {
    fn new(count: usize, lost: f64, seed: u64) -> Self {
        World {
            nodes: (0..count).map(|n| (node(n), Quarantine::default())).collect(),
            up: (0..count).collect(),
            cut: BTreeSet::new(),
            old: BTreeSet::new(),
            now: Time::from_millis(1000),
            lost,
            rng: Rng::new(seed),
            messages: 0,
        }
    }

    fn ends(&mut self, at: usize, target_number: usize) {
        let now = self.now;
        self.nodes[at].1.record_crash(&target(target_number), &"s".into(), &[request()], now);
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.up.contains(&b) && self.cut.contains(&a) == self.cut.contains(&b)
    }

    fn step(&mut self) {
        self.now = self.now + LOOK;
        for from in self.up.clone() {
            let peers: Vec<usize> =
                (0..self.nodes.len()).filter(|n| *n != from && self.reaches(from, *n)).collect();
            let peers: Vec<Node> = peers.into_iter().map(|n| self.nodes[n].0.clone()).collect();
            let (me, now) = (self.nodes[from].0.id.clone(), self.now);
            for Outgoing { peer, news, versions: told } in
                self.nodes[from].1.outgoing(&me.name, &peers, |_| true, now)
            {
                self.messages += 1;
                let is_lost = (self.rng.below(1000) as f64) < self.lost * 1000.0;
                if is_lost {
                    continue;
                }
                let to = self.nodes.iter().position(|(n, _)| n.id == peer.id).expect("a node");
                if self.old.contains(&to) {
                    self.nodes[from].1.mark_unsupported(&peer.id);
                    continue;
                }
                self.nodes[to].1.merge(Some(&me), &news, now);
                let beyond = self.nodes[to].1.missing_from(&news, now);
                self.nodes[from].1.merge(Some(&peer.id), &beyond, now);
                self.nodes[from].1.acknowledge(&peer.id, &told);
            }
        }
    }

    fn holders(&self) -> usize {
        let holds = |n: &&usize| self.nodes[**n].1.hold(request(), self.now).is_some();
        self.up.iter().filter(holds).count()
    }

    /// Looks until all that are up hold the request.
    fn until_held(&mut self) -> usize {
        (1..=40)
            .find(|_| {
                self.step();
                self.holders() == self.up.len()
            })
            .expect("all hold it in the end")
    }
}

#[test]
fn three_ends_at_three_of_many_nodes_are_known_to_all_within_a_second() {
    for seed in 0..5 {
        let mut w = World::new(340, 0.0, seed);
        for n in 0..3 {
            let at = w.rng.below(340);
            w.ends(at, n);
        }
        let looks = w.until_held();
        assert!(LOOK * looks as u32 <= Duration::from_secs(1), "{looks} looks");
        // Afterwards nothing more is said.
        (0..8).for_each(|_| w.step());
        let before = w.messages;
        (0..8).for_each(|_| w.step());
        assert_eq!(w.messages, before);
        assert!(before <= 340 * 6, "{before} messages");
    }
}

/// Half of the nodes are of a build that knows no such messages, and may be any keepers.
#[test]
fn nodes_of_an_older_build_are_done_without() {
    for seed in 0..20 {
        let mut w = World::new(12, 0.0, seed);
        w.old = (0..6).collect();
        for n in 0..3 {
            w.ends(6 + n, n);
        }
        for _ in 0..8 {
            w.step();
        }
        assert_eq!(w.holders(), 6, "all of the newer build");
        let before = w.messages;
        (0..8).for_each(|_| w.step());
        assert_eq!(w.messages, before, "and nobody is told for nothing");
    }
}

#[test]
fn ends_of_a_racks_loss_cost_a_few_messages_each() {
    let mut w = World::new(100, 0.0, 7);
    let many: Vec<Fingerprint> =
        (0..500u32).map(|n| Fingerprint::of(&[&n.to_le_bytes()])).collect();
    for (n, one) in many.iter().enumerate() {
        let now = w.now;
        w.nodes[n % 100].1.record_crash(&target(n % 10), &"s".into(), &[*one], now);
    }
    (0..8).for_each(|_| w.step());
    assert!(w.messages <= 500 * 3, "{} messages", w.messages);
}

proptest! {
    #[test]
    fn all_in_touch_hold_it_whatever_is_lost_and_whoever_goes(
        count in 2usize..40,
        lost in 0.0..0.5f64,
        seed in any::<u64>(),
        witnesses in prop::collection::vec(any::<usize>(), 3),
        gone in prop::collection::vec(any::<usize>(), 0..4),
    ) {
        let mut w = World::new(count, lost, seed);
        for (n, witness) in witnesses.iter().enumerate() {
            w.ends(witness % count, n);
        }
        // Nodes that saw no end go once those that did have told the keepers.
        w.step();
        for one in gone {
            let one = one % count;
            let is_witness = witnesses.iter().any(|w| w % count == one);
            if !is_witness && w.up.len() > 1 {
                w.up.remove(&one);
            }
        }
        w.until_held();
        // One that starts anew knows nothing, and hears of it.
        w.nodes.push((node(count), Quarantine::default()));
        w.up.insert(count);
        w.until_held();
    }

    #[test]
    fn a_domain_that_was_cut_off_hears_of_it_and_tells_its_own(
        seed in any::<u64>(),
        cut in 1usize..8,
        inside in 0usize..4,
    ) {
        let mut w = World::new(12, 0.1, seed);
        w.cut = (0..cut).collect();
        for n in 0..3 {
            let at = if n < inside { n % cut } else { cut + n % (12 - cut) };
            w.ends(at, n);
        }
        (0..12).for_each(|_| w.step());
        w.cut.clear();
        w.until_held();
    }
}
