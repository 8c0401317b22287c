//! Configuration from racing operators to every node, with two publishers that
//! both believe they hold the lease, lost and late writes, stale lists, lost and
//! reordered messages: never reverts, never half, and arrives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use decide::config::{
    Declared, Follower, FollowerAction, FollowerEvent, Publisher, PublisherAction, PublisherEvent,
    PutOutcome, Source,
};
use decide::rng::Rng;
use model::manifest::{Chunk, Manifest};
use model::object::{Pipeline, Pool, Role, Set, Spec, Stage, Workspace};
use model::status::Status;
use model::{Name, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The same cases on every run.
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

/// The platform's store, as far as configuration goes.
#[derive(Default)]
struct Store {
    declared: BTreeMap<Name, (u64, Option<Spec>)>,
    former: BTreeMap<Name, (u64, Option<Spec>)>,
    chunks: BTreeMap<Name, Arc<str>>,
    manifests: Vec<Manifest>,
}

impl Store {
    fn declare(&mut self, key: &str, spec: Option<Spec>) {
        let entry = self.declared.entry(key.into()).or_insert((0, None));
        *entry = (entry.0 + 1, spec);
    }

    fn list(&self, stale: bool) -> Vec<Declared> {
        let all = if stale { &self.former } else { &self.declared };
        let one = |(key, (version, spec)): (&Name, &(u64, Option<Spec>))| Declared {
            key: key.clone(),
            version: *version,
            spec: spec.clone().map(Ok),
        };
        all.iter().map(one).collect()
    }

    fn base(&self, back: usize) -> PublisherEvent {
        let n = self.manifests.len().saturating_sub(back);
        let manifest = n.checked_sub(1).map(|i| self.manifests[i].clone()).unwrap_or_default();
        let chunks = manifest.slots.iter().map(|h| self.chunks[h].clone()).collect();
        PublisherEvent::Base { version: n as u64, manifest, chunks }
    }

    fn put(&mut self, expect: u64, manifest: Manifest) -> bool {
        if self.manifests.len() as u64 != expect {
            return false;
        }
        for hash in &manifest.slots {
            assert!(self.chunks.contains_key(hash), "a manifest names only chunks that are there");
        }
        self.manifests.push(manifest);
        true
    }

    /// What a manifest says, with each object's version.
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

    fn set(&self, number: u64) -> Set {
        let mut set = Set::default();
        for (key, (_, spec)) in self.items(number) {
            if let (Some((_, name)), Some(spec)) = (key.split_once('/'), spec) {
                set.insert(name.into(), spec);
            }
        }
        set
    }
}

struct World {
    rng: Rng,
    store: Store,
    publishers: Vec<Publisher>,
    held: Vec<bool>,
    epoch: u64,
    followers: Vec<Follower>,
    numbers: Vec<u64>,
    late: Vec<(u64, Manifest)>,
    late_chunks: Vec<(Name, Arc<str>)>,
    inbox: Vec<(usize, PublisherEvent)>,
    messages: Vec<(usize, FollowerEvent)>,
    statuses: Vec<Status>,
    now: Time,
    trouble: usize,
}

impl World {
    fn new(seed: u64, trouble: usize) -> Self {
        World {
            rng: Rng::new(seed),
            store: Store::default(),
            publishers: (0..2).map(|i| Publisher::new(seed ^ i)).collect(),
            held: vec![false; 2],
            epoch: 0,
            followers: (0..4).map(|_| Follower::default()).collect(),
            numbers: vec![0; 4],
            late: Vec::new(),
            late_chunks: Vec::new(),
            inbox: Vec::new(),
            messages: Vec::new(),
            statuses: Vec::new(),
            now: Time::ZERO,
            trouble,
        }
    }

    fn unlucky(&mut self) -> bool {
        self.trouble > 0 && self.rng.below(100) < self.trouble
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
                PublisherAction::ReadBase if self.unlucky() => PublisherEvent::BaseFailed,
                PublisherAction::ReadBase => {
                    let back = usize::from(self.unlucky());
                    self.store.base(back)
                }
                PublisherAction::PutChunk(hash, text) => {
                    let end = if self.unlucky() {
                        self.late_chunks.push((hash.clone(), text));
                        PutOutcome::Lost
                    } else {
                        self.store.chunks.insert(hash.clone(), text);
                        PutOutcome::Done
                    };
                    PublisherEvent::Chunk(hash, end)
                }
                PublisherAction::PutManifest { expect, manifest } => {
                    let nonce = manifest.nonce;
                    let end = if self.unlucky() {
                        self.late.push((expect, manifest));
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

    /// As the control process does: an older version's status never replaces a newer one's.
    fn put_status(&mut self, s: Status) {
        let newer = |o: &Status| o.object == s.object && o.version > s.version;
        if !self.statuses.iter().any(newer) {
            self.statuses.push(s);
        }
    }

    /// Every accepted manifest is checked against the one before it.
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
        assert!(faults.is_empty(), "a manifest with faults: {faults:?}");
        true
    }

    fn follower(&mut self, i: usize, event: FollowerEvent) {
        let actions = self.followers[i].handle_event(self.now, event);
        for action in actions {
            match action {
                FollowerAction::Applied(change) => {
                    assert!(change.number > self.numbers[i], "node {i} went back");
                    self.numbers[i] = change.number;
                    let want = self.store.set(change.number);
                    assert_eq!(self.followers[i].set(), want, "node {i} is half in force");
                }
                fetch if self.unlucky() => {
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
            1 if self.trouble > 0 && operators => self.change_holder(),
            2 => {
                let stale = self.unlucky();
                let list = self.store.list(stale);
                let i = self.rng.below(2);
                self.publisher(i, PublisherEvent::Objects(list));
            }
            3 => {
                let i = self.rng.below(2);
                self.publisher(i, PublisherEvent::Tick);
            }
            4 if !self.late.is_empty() => {
                let i = self.rng.below(self.late.len());
                let (expect, manifest) = self.late.remove(i);
                self.put(expect, manifest);
            }
            5 if !self.late_chunks.is_empty() => {
                let (hash, text) = self.late_chunks.remove(0);
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
        self.store.former = self.store.declared.clone();
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

    /// A new holder, while the former one may not have noticed.
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
        let heard = if from == 0 {
            let number = self.store.manifests.len() as u64;
            FollowerEvent::Announced { number, from: Source::Store }
        } else {
            let number = self.numbers[from];
            FollowerEvent::Announced { number, from: Source::Peer(from.to_string().into()) }
        };
        self.messages.push((to, heard));
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
        // Some are delivered again later, some never.
        if !self.unlucky() {
            self.messages.remove(at);
        }
        if !self.unlucky() {
            self.follower(i, event);
        }
    }

    fn settle(&mut self) {
        self.trouble = 0;
        self.epoch += 1;
        self.publisher(1, PublisherEvent::Lease(None));
        self.publisher(0, PublisherEvent::Lease(Some(self.epoch)));
        for _ in 0..20_000 {
            self.step(false);
        }
    }

    fn check_settled(&self) {
        let number = self.store.manifests.len() as u64;
        for (i, n) in self.numbers.iter().enumerate() {
            assert_eq!(*n, number, "node {i} did not catch up");
        }
        for (key, (version, spec)) in &self.store.declared {
            let items = self.store.items(number);
            let published = items.get(key).map_or(0, |(v, _)| *v);
            let told = self.statuses.iter().rev().find(|s| s.object == *key);
            let refused = told.is_some_and(|s| s.version == *version && !s.accepted);
            assert!(
                published == *version || refused,
                "{key} version {version} ({spec:?}) is neither in force nor refused"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Default::default() })]

    #[test]
    fn never_reverts_never_half_and_arrives(seed in any::<u64>(), trouble in 0usize..35) {
        let mut world = World::new(seed, trouble);
        world.epoch = 1;
        world.publisher(0, PublisherEvent::Lease(Some(1)));
        for _ in 0..1500 {
            world.step(true);
        }
        world.settle();
        world.check_settled();
    }
}

fn publish(declared: &[(&str, Option<Spec>)]) -> World {
    let mut world = World::new(1, 0);
    for (key, spec) in declared {
        world.store.declare(key, spec.clone());
    }
    world.settle();
    world
}

#[test]
fn an_object_at_fault_is_refused_and_the_rest_goes_through() {
    let world = publish(&[
        ("Workspace/good", Some(workspace(100))),
        ("Pipeline/bad", Some(pipeline("nowhere"))),
    ]);
    let set = world.store.set(1);
    assert!(set.workspaces.contains_key("good"));
    assert!(set.pipelines.is_empty());
    let bad = world.statuses.iter().find(|s| &*s.object == "Pipeline/bad").expect("a status");
    assert!(!bad.accepted);
    assert!(bad.reason.contains("no Pool is named \"nowhere\""), "{}", bad.reason);
}

#[test]
fn a_deletion_that_would_break_another_object_is_refused() {
    let mut world = publish(&[("Pool/p", Some(pool())), ("Pipeline/q", Some(pipeline("p")))]);
    world.store.declare("Pool/p", None);
    world.settle();
    let number = world.store.manifests.len() as u64;
    assert!(world.store.set(number).pools.contains_key("p"));
    let last = world.statuses.iter().rev().find(|s| &*s.object == "Pool/p").expect("a status");
    assert!(!last.accepted && last.reason.contains("would break"), "{}", last.reason);
}

#[test]
fn an_object_refused_for_want_of_another_goes_through_once_that_is_there() {
    let mut world = publish(&[("Pipeline/q", Some(pipeline("p")))]);
    assert!(world.store.manifests.is_empty());
    world.store.declare("Pool/p", Some(pool()));
    world.settle();
    let number = world.store.manifests.len() as u64;
    assert!(world.store.set(number).pipelines.contains_key("q"));
    let last = world.statuses.iter().rev().find(|s| &*s.object == "Pipeline/q").expect("a status");
    assert!(last.accepted, "{}", last.reason);
}

#[test]
fn a_new_holder_writes_the_statuses_that_the_former_one_did_not() {
    let mut world = publish(&[("Workspace/w", Some(workspace(100)))]);
    world.statuses.clear();
    let list = world.store.list(false);
    world.publisher(1, PublisherEvent::Objects(list));
    world.publisher(1, PublisherEvent::Statuses(Vec::new()));
    world.publisher(1, PublisherEvent::Lease(Some(9)));
    for _ in 0..100 {
        world.deliver();
    }
    let told = world.statuses.iter().any(|s| &*s.object == "Workspace/w" && s.accepted);
    assert!(told, "{:?}", world.statuses);
}

#[test]
fn one_change_among_thousands_moves_one_chunk() {
    let mut world = World::new(2, 0);
    for i in 0..3000 {
        world.store.declare(&format!("Workspace/w{i}"), Some(workspace(100 + i)));
    }
    world.settle();
    let before = world.store.manifests.last().cloned().expect("published");
    world.store.declare("Workspace/w77", Some(workspace(7)));
    world.settle();
    let after = world.store.manifests.last().cloned().expect("published");
    assert_eq!(after.slots.len(), before.slots.len());
    let moved = before.slots.iter().zip(&after.slots).filter(|(a, b)| a != b).count();
    assert_eq!(moved, 1);
}

#[test]
fn a_restarted_node_takes_the_configuration_from_a_peer_alone() {
    let world = publish(&[("Workspace/w", Some(workspace(100)))]);
    let mut fresh = Follower::default();
    let from = Source::Peer("1".into());
    let number = world.numbers[1];
    let out =
        fresh.handle_event(world.now, FollowerEvent::Announced { number, from: from.clone() });
    assert_eq!(out, vec![FollowerAction::FetchDelta { from: from.clone(), have: 0 }]);
    let delta = world.followers[1].delta(0);
    let out = fresh.handle_event(world.now, FollowerEvent::Delta { delta, from });
    let Some(FollowerAction::FetchChunks { hashes, .. }) = out.first() else {
        panic!("{out:?}");
    };
    for hash in hashes {
        let text = world.followers[1].chunk(hash).cloned().expect("held");
        fresh.handle_event(world.now, FollowerEvent::Chunk { hash: hash.clone(), text });
    }
    assert_eq!(fresh.number(), number);
    assert_eq!(fresh.set(), world.followers[1].set());
}

#[test]
fn a_chunk_with_another_content_is_not_taken() {
    let world = publish(&[("Workspace/w", Some(workspace(100)))]);
    let mut fresh = Follower::default();
    let manifest = world.store.manifests[0].clone();
    let hash = manifest.slots[0].clone();
    fresh.handle_event(world.now, FollowerEvent::Manifest(manifest));
    fresh.handle_event(world.now, FollowerEvent::Chunk { hash, text: "[]".into() });
    assert_eq!(fresh.number(), 0);
}
