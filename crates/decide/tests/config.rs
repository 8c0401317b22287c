//! Configuration from concurrent operators to every node, with two publishers that both believe
//! that they hold the lease, lost and delayed writes, stale lists, and lost and reordered messages.
//! It must never revert, never be applied in part, and reach every node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use decide::config::{
    Declared, Follower, FollowerAction, FollowerEvent, Publisher, PublisherAction, PublisherEvent,
    PutOutcome, Source,
};
use decide::rng::Rng;
use model::manifest::{Chunk, Manifest};
use model::object::{ObjectSet, Pipeline, Pool, Role, Spec, Stage, Workspace};
use model::status::Status;
use model::{Name, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed, so that every run has the same cases.
const SEED: u64 = 1;

fn workspace(deadline: u64) -> Spec {
    Spec::Workspace(Workspace {
        deadline,
        grace: 0,
        priority: Default::default(),
        limits: Vec::new(),
    })
}

fn pool() -> Spec {
    Spec::Pool(Pool { role: Role::Encoder, cost: 1.0, fenced: false, targets: Vec::new() })
}

fn pipeline(pool: &str) -> Spec {
    let stage = Stage { name: "a".into(), pool: pool.into(), model: None, repeatable: true };
    Spec::Pipeline(Pipeline { stages: vec![stage] })
}

/// The platform's store, reduced to configuration objects.
#[derive(Default)]
struct Store {
    declared: BTreeMap<Name, (u64, Option<Spec>)>,
    previous: BTreeMap<Name, (u64, Option<Spec>)>,
    chunks: BTreeMap<Name, Arc<str>>,
    manifests: Vec<Manifest>,
}

impl Store {
    fn declare(&mut self, key: &str, spec: Option<Spec>) {
        let entry = self.declared.entry(key.into()).or_insert((0, None));
        *entry = (entry.0 + 1, spec);
    }

    fn list(&self, stale: bool) -> Vec<Declared> {
        let all = if stale { &self.previous } else { &self.declared };
        let one = |(key, (version, spec)): (&Name, &(u64, Option<Spec>))| Declared {
            key: key.clone(),
            version: *version,
            spec: spec.clone().map(Ok),
        };
        all.iter().map(one).collect()
    }

    fn base(&self, versions_back: usize) -> PublisherEvent {
        let n = self.manifests.len().saturating_sub(versions_back);
        let manifest = n.checked_sub(1).map(|i| self.manifests[i].clone()).unwrap_or_default();
        let chunks = manifest.slots.iter().map(|h| self.chunks[h].clone()).collect();
        PublisherEvent::Base { version: n as u64, manifest, chunks }
    }

    fn put(&mut self, expect: u64, manifest: Manifest) -> bool {
        if self.manifests.len() as u64 != expect {
            return false;
        }
        for hash in &manifest.slots {
            assert!(self.chunks.contains_key(hash), "a manifest refers only to stored chunks");
        }
        self.manifests.push(manifest);
        true
    }

    /// Version and spec of each object in a manifest.
    fn items(&self, number: u64) -> BTreeMap<Name, (u64, Option<Spec>)> {
        let mut out = BTreeMap::new();
        if let Some(m) = number.checked_sub(1).map(|i| &self.manifests[i as usize]) {
            for hash in &m.slots {
                let chunk: Chunk = serde_json::from_str(&self.chunks[hash]).expect("a chunk");
                out.extend(chunk.into_iter().map(|i| (i.key, (i.version, i.spec))));
            }
        }
        out
    }

    fn set(&self, number: u64) -> ObjectSet {
        let mut set = ObjectSet::default();
        for (key, (_, spec)) in self.items(number) {
            if let (Some((_, name)), Some(spec)) = (key.split_once('/'), spec) {
                set.insert(name.into(), spec);
            }
        }
        set
    }
}

struct Simulation {
    rng: Rng,
    store: Store,
    publishers: Vec<Publisher>,
    held: Vec<bool>,
    epoch: u64,
    followers: Vec<Follower>,
    applied: Vec<u64>,
    delayed_writes: Vec<(u64, Manifest)>,
    delayed_chunks: Vec<(Name, Arc<str>)>,
    inbox: Vec<(usize, PublisherEvent)>,
    messages: Vec<(usize, FollowerEvent)>,
    statuses: Vec<Status>,
    now: Time,
    fault_percent: usize,
}

impl Simulation {
    fn new(seed: u64, fault_percent: usize) -> Self {
        Simulation {
            rng: Rng::new(seed),
            store: Store::default(),
            publishers: (0..2).map(|i| Publisher::new(seed ^ i)).collect(),
            held: vec![false; 2],
            epoch: 0,
            followers: (0..4).map(|_| Follower::default()).collect(),
            applied: vec![0; 4],
            delayed_writes: Vec::new(),
            delayed_chunks: Vec::new(),
            inbox: Vec::new(),
            messages: Vec::new(),
            statuses: Vec::new(),
            now: Time::ZERO,
            fault_percent,
        }
    }

    fn inject_fault(&mut self) -> bool {
        self.fault_percent > 0 && self.rng.below(100) < self.fault_percent
    }

    fn publisher(&mut self, i: usize, event: PublisherEvent) {
        for action in self.publishers[i].handle_event(event) {
            let event = match action {
                PublisherAction::PutStatus(list) => {
                    for s in list {
                        self.put_status(s);
                    }
                    continue;
                }
                PublisherAction::ReadBase if self.inject_fault() => PublisherEvent::BaseFailed,
                PublisherAction::ReadBase => {
                    let back = usize::from(self.inject_fault());
                    self.store.base(back)
                }
                PublisherAction::PutChunk(hash, text) => {
                    let end = if self.inject_fault() {
                        self.delayed_chunks.push((hash.clone(), text));
                        PutOutcome::Lost
                    } else {
                        self.store.chunks.insert(hash.clone(), text);
                        PutOutcome::Done
                    };
                    PublisherEvent::Chunk(hash, end)
                }
                PublisherAction::PutManifest { expect, manifest } => {
                    let nonce = manifest.nonce;
                    let end = if self.inject_fault() {
                        self.delayed_writes.push((expect, manifest));
                        PutOutcome::Lost
                    } else if self.put(expect, manifest) {
                        PutOutcome::Done
                    } else {
                        PutOutcome::Conflict
                    };
                    PublisherEvent::Manifest(nonce, end)
                }
            };
            self.inbox.push((i, event));
        }
    }

    /// Stores a status unless one of a newer version exists, as the control process does.
    fn put_status(&mut self, s: Status) {
        let newer = |o: &Status| o.object == s.object && o.version > s.version;
        if !self.statuses.iter().any(newer) {
            self.statuses.push(s);
        }
    }

    /// Writes a manifest and checks an accepted one against its predecessor.
    fn put(&mut self, expect: u64, manifest: Manifest) -> bool {
        let before = self.store.items(self.store.manifests.len() as u64);
        let number = manifest.number;
        if !self.store.put(expect, manifest) {
            return false;
        }
        assert_eq!(number, self.store.manifests.len() as u64, "numbers have no gaps");
        let after = self.store.items(number);
        for (key, (version, _)) in &before {
            let now = after.get(key).map(|(v, _)| *v);
            assert!(now >= Some(*version), "{key} reverted from {version} to {now:?}");
        }
        let faults = model::object::check(&self.store.set(number));
        assert!(faults.is_empty(), "invalid manifest: {faults:?}");
        true
    }

    fn follower(&mut self, i: usize, event: FollowerEvent) {
        let actions = self.followers[i].handle_event(self.now, event);
        for action in actions {
            match action {
                FollowerAction::Applied(change) => {
                    assert!(change.number > self.applied[i], "node {i} reverted");
                    self.applied[i] = change.number;
                    let want = self.store.set(change.number);
                    assert_eq!(self.followers[i].set(), want, "node {i} applied a part");
                }
                fetch if self.inject_fault() => {
                    let from = match fetch {
                        FollowerAction::FetchDelta { from, .. } => from,
                        FollowerAction::FetchChunks { from, .. } => from,
                        FollowerAction::Applied(_) => continue,
                    };
                    if self.rng.below(2) == 0 {
                        self.messages.push((i, FollowerEvent::FetchFailed(from)));
                    }
                }
                FollowerAction::FetchDelta { from, have } => {
                    let event = match &from {
                        Source::Store => match self.store.manifests.last() {
                            Some(m) => FollowerEvent::Manifest(m.clone()),
                            None => continue,
                        },
                        Source::Peer(p) => {
                            let peer: usize = p.parse().expect("an index");
                            FollowerEvent::Delta { delta: self.followers[peer].delta(have), from }
                        }
                    };
                    self.messages.push((i, event));
                }
                FollowerAction::FetchChunks { from, hashes } => {
                    for hash in hashes {
                        let text = match &from {
                            Source::Store => self.store.chunks.get(&hash).cloned(),
                            Source::Peer(p) => {
                                let peer: usize = p.parse().expect("an index");
                                self.followers[peer].chunk(&hash).cloned()
                            }
                        };
                        let text = text.unwrap_or_else(|| "".into());
                        self.messages.push((i, FollowerEvent::Chunk { hash, text }));
                    }
                }
            }
        }
    }

    fn step(&mut self, operators: bool) {
        self.now = self.now + Duration::from_millis(5);
        match self.rng.below(12) {
            0 if operators => self.operator(),
            1 if self.fault_percent > 0 && operators => self.change_holder(),
            2 => {
                let stale = self.inject_fault();
                let list = self.store.list(stale);
                let i = self.rng.below(2);
                self.publisher(i, PublisherEvent::Objects(list));
            }
            3 => {
                let i = self.rng.below(2);
                self.publisher(i, PublisherEvent::Tick);
            }
            4 if !self.delayed_writes.is_empty() => {
                let i = self.rng.below(self.delayed_writes.len());
                let (expect, manifest) = self.delayed_writes.remove(i);
                self.put(expect, manifest);
            }
            5 if !self.delayed_chunks.is_empty() => {
                let (hash, text) = self.delayed_chunks.remove(0);
                self.store.chunks.insert(hash, text);
            }
            6 => self.gossip(),
            7 => {
                let i = self.rng.below(self.followers.len());
                self.follower(i, FollowerEvent::Tick);
            }
            _ => self.deliver(),
        }
    }

    fn operator(&mut self) {
        self.store.previous = self.store.declared.clone();
        match self.rng.below(8) {
            0 => self.store.declare("Pool/p", Some(pool())),
            1 => self.store.declare("Pipeline/q", Some(pipeline("p"))),
            2 => self.store.declare("Pipeline/q", None),
            3 => self.store.declare("Pool/p", None),
            _ => {
                let key = format!("Workspace/w{}", self.rng.below(5));
                let spec = workspace(1 + self.rng.below(1000) as u64);
                let gone = self.rng.below(5) == 0;
                self.store.declare(&key, (!gone).then_some(spec));
            }
        }
    }

    /// Gives the lease to a new holder, while the previous one may not know yet.
    fn change_holder(&mut self) {
        let i = self.rng.below(2);
        self.epoch += 1;
        self.held[i] = true;
        self.publisher(i, PublisherEvent::Lease(Some(self.epoch)));
        if self.rng.below(2) == 0 {
            self.held[1 - i] = false;
            self.publisher(1 - i, PublisherEvent::Lease(None));
        }
    }

    fn gossip(&mut self) {
        let (from, to) = (self.rng.below(4), self.rng.below(4));
        let announced = if from == 0 {
            let number = self.store.manifests.len() as u64;
            FollowerEvent::Announced { number, from: Source::Store }
        } else {
            let number = self.applied[from];
            FollowerEvent::Announced { number, from: Source::Peer(from.to_string().into()) }
        };
        self.messages.push((to, announced));
    }

    fn deliver(&mut self) {
        if !self.inbox.is_empty() {
            let (i, event) = self.inbox.remove(0);
            self.publisher(i, event);
        }
        if self.messages.is_empty() {
            return;
        }
        let at = self.rng.below(self.messages.len());
        let (i, event) = self.messages[at].clone();
        // A fault duplicates or drops the message.
        if !self.inject_fault() {
            self.messages.remove(at);
        }
        if !self.inject_fault() {
            self.follower(i, event);
        }
    }

    fn converge(&mut self) {
        self.fault_percent = 0;
        self.epoch += 1;
        self.publisher(1, PublisherEvent::Lease(None));
        self.publisher(0, PublisherEvent::Lease(Some(self.epoch)));
        for _ in 0..20_000 {
            self.step(false);
        }
    }

    fn check_converged(&self) {
        let number = self.store.manifests.len() as u64;
        for (i, n) in self.applied.iter().enumerate() {
            assert_eq!(*n, number, "node {i} did not catch up");
        }
        for (key, (version, spec)) in &self.store.declared {
            let items = self.store.items(number);
            let published = items.get(key).map_or(0, |(v, _)| *v);
            let reported = self.statuses.iter().rev().find(|s| s.object == *key);
            let refused = reported.is_some_and(|s| s.version == *version && !s.accepted);
            assert!(
                published == *version || refused,
                "{key} version {version} ({spec:?}) is neither published nor refused"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Default::default() })]

    #[test]
    fn configuration_never_reverts_applies_atomically_and_converges(
        seed in any::<u64>(),
        fault_percent in 0usize..35,
    ) {
        let mut sim = Simulation::new(seed, fault_percent);
        sim.epoch = 1;
        sim.publisher(0, PublisherEvent::Lease(Some(1)));
        for _ in 0..1500 {
            sim.step(true);
        }
        sim.converge();
        sim.check_converged();
    }
}

fn publish(declared: &[(&str, Option<Spec>)]) -> Simulation {
    let mut sim = Simulation::new(1, 0);
    for (key, spec) in declared {
        sim.store.declare(key, spec.clone());
    }
    sim.converge();
    sim
}

#[test]
fn an_invalid_object_is_refused_and_the_rest_is_published() {
    let sim = publish(&[
        ("Workspace/good", Some(workspace(100))),
        ("Pipeline/bad", Some(pipeline("nowhere"))),
    ]);
    let set = sim.store.set(1);
    assert!(set.workspaces.contains_key("good"));
    assert!(set.pipelines.is_empty());
    let bad = sim.statuses.iter().find(|s| &*s.object == "Pipeline/bad").expect("a status");
    assert!(!bad.accepted);
    assert!(bad.reason.contains("no Pool is named \"nowhere\""), "{}", bad.reason);
}

#[test]
fn a_deletion_that_would_break_another_object_is_refused() {
    let mut sim = publish(&[("Pool/p", Some(pool())), ("Pipeline/q", Some(pipeline("p")))]);
    sim.store.declare("Pool/p", None);
    sim.converge();
    let number = sim.store.manifests.len() as u64;
    assert!(sim.store.set(number).pools.contains_key("p"));
    let last = sim.statuses.iter().rev().find(|s| &*s.object == "Pool/p").expect("a status");
    assert!(!last.accepted && last.reason.contains("would break"), "{}", last.reason);
}

#[test]
fn an_object_refused_for_a_missing_reference_is_accepted_once_that_exists() {
    let mut sim = publish(&[("Pipeline/q", Some(pipeline("p")))]);
    assert!(sim.store.manifests.is_empty());
    sim.store.declare("Pool/p", Some(pool()));
    sim.converge();
    let number = sim.store.manifests.len() as u64;
    assert!(sim.store.set(number).pipelines.contains_key("q"));
    let last = sim.statuses.iter().rev().find(|s| &*s.object == "Pipeline/q").expect("a status");
    assert!(last.accepted, "{}", last.reason);
}

#[test]
fn a_new_holder_writes_the_statuses_that_the_previous_one_left_unwritten() {
    let mut sim = publish(&[("Workspace/w", Some(workspace(100)))]);
    sim.statuses.clear();
    let list = sim.store.list(false);
    sim.publisher(1, PublisherEvent::Objects(list));
    sim.publisher(1, PublisherEvent::Statuses(Vec::new()));
    sim.publisher(1, PublisherEvent::Lease(Some(9)));
    for _ in 0..100 {
        sim.deliver();
    }
    let reported = sim.statuses.iter().any(|s| &*s.object == "Workspace/w" && s.accepted);
    assert!(reported, "{:?}", sim.statuses);
}

#[test]
fn one_change_among_thousands_replaces_one_chunk() {
    let mut sim = Simulation::new(2, 0);
    for i in 0..3000 {
        sim.store.declare(&format!("Workspace/w{i}"), Some(workspace(100 + i)));
    }
    sim.converge();
    let before = sim.store.manifests.last().cloned().expect("published");
    sim.store.declare("Workspace/w77", Some(workspace(7)));
    sim.converge();
    let after = sim.store.manifests.last().cloned().expect("published");
    assert_eq!(after.slots.len(), before.slots.len());
    let moved = before.slots.iter().zip(&after.slots).filter(|(a, b)| a != b).count();
    assert_eq!(moved, 1);
}

#[test]
fn a_restarted_node_fetches_the_configuration_from_a_peer_alone() {
    let sim = publish(&[("Workspace/w", Some(workspace(100)))]);
    let mut follower = Follower::default();
    let from = Source::Peer("1".into());
    let number = sim.applied[1];
    let out =
        follower.handle_event(sim.now, FollowerEvent::Announced { number, from: from.clone() });
    assert_eq!(out, vec![FollowerAction::FetchDelta { from: from.clone(), have: 0 }]);
    let delta = sim.followers[1].delta(0);
    let out = follower.handle_event(sim.now, FollowerEvent::Delta { delta, from });
    let Some(FollowerAction::FetchChunks { hashes, .. }) = out.first() else {
        panic!("{out:?}");
    };
    for hash in hashes {
        let text = sim.followers[1].chunk(hash).cloned().expect("held");
        follower.handle_event(sim.now, FollowerEvent::Chunk { hash: hash.clone(), text });
    }
    assert_eq!(follower.number(), number);
    assert_eq!(follower.set(), sim.followers[1].set());
}

#[test]
fn a_chunk_that_does_not_match_its_address_is_rejected() {
    let sim = publish(&[("Workspace/w", Some(workspace(100)))]);
    let mut follower = Follower::default();
    let manifest = sim.store.manifests[0].clone();
    let hash = manifest.slots[0].clone();
    follower.handle_event(sim.now, FollowerEvent::Manifest(manifest));
    follower.handle_event(sim.now, FollowerEvent::Chunk { hash, text: "[]".into() });
    assert_eq!(follower.number(), 0);
}
