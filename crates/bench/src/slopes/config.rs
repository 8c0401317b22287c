//! Bytes and time per configuration change, by the number of workspaces.

use std::sync::Arc;
use std::time::Instant;

use decide::config::{
    Declared, Follower, FollowerAction, FollowerEvent, Publisher, PublisherAction, PublisherEvent,
    PutOutcome, Source,
};
use model::manifest::Manifest;
use model::object::{Limit, Pipeline, Pool, Role, Spec, Stage, Target, Workspace};
use model::view::Chunks;
use model::{Name, Time};

use super::{Figure, counted, timed};

/// Measured numbers of workspaces; 11,000 is the design size.
const WORKSPACE_COUNTS: [usize; 4] = [300, 1000, 3300, 11_000];
/// Planned number of pools.
const POOLS: usize = 28;
/// Planned number of pipelines.
const PIPELINES: usize = 25;
/// Planned number of targets, spread evenly over the pools.
const TARGETS: usize = 1300;
/// Number of measured changes.
const CHANGES: usize = 10;

fn workspace(i: usize, deadline: u64) -> Declared {
    let limit = Limit { pipeline: format!("pipeline-{}", i % PIPELINES).into(), rate: 20.0 };
    let w = Workspace { deadline, grace: 0, priority: Default::default(), limits: vec![limit] };
    declared(format!("Workspace/workspace-{i}"), 1, Spec::Workspace(w))
}

fn declared(key: String, version: u64, spec: Spec) -> Declared {
    Declared { key: key.into(), version, spec: Some(Ok(spec)) }
}

/// All objects of a configuration with this many workspaces.
fn all_objects(workspaces: usize) -> Vec<Declared> {
    let mut all: Vec<Declared> = (0..workspaces).map(|i| workspace(i, 1000)).collect();
    for p in 0..POOLS {
        let target = |t: usize| Target {
            name: format!("target-{p}-{t}").into(),
            address: "10.11.12.13:9000".into(),
            domain: format!("domain-{}", t % 6).into(),
            host: format!("host-{p}-{t}").into(),
        };
        let targets = (0..TARGETS / POOLS).map(target).collect();
        let pool = Pool { role: Role::Encoder, cost: 1.0, fenced: false, targets };
        all.push(declared(format!("Pool/pool-{p}"), 1, Spec::Pool(pool)));
    }
    for p in 0..PIPELINES {
        let stage = |s: usize| Stage {
            name: format!("stage-{s}").into(),
            pool: format!("pool-{}", (p + s) % POOLS).into(),
            model: None,
            repeatable: true,
        };
        let pipeline = Pipeline { stages: (0..5).map(stage).collect() };
        all.push(declared(format!("Pipeline/pipeline-{p}"), 1, Spec::Pipeline(pipeline)));
    }
    all
}

/// Publisher and follower with an in-memory store that accepts every write.
struct ConfigHarness {
    publisher: Publisher,
    follower: Follower,
    /// Manifests in the store; the version of one is its position, from 1.
    manifests: Vec<Manifest>,
    /// Chunks in the store by hash.
    chunks: std::collections::BTreeMap<Name, Arc<str>>,
    /// Chunks written.
    puts: usize,
    /// Bytes of the chunks written.
    put_bytes: usize,
}

impl ConfigHarness {
    fn new() -> Self {
        ConfigHarness {
            publisher: Publisher::new(1),
            follower: Follower::default(),
            manifests: Vec::new(),
            chunks: Default::default(),
            puts: 0,
            put_bytes: 0,
        }
    }

    /// Passes an event to the publisher and executes its actions against the store.
    fn publish(&mut self, event: PublisherEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.publisher.handle_event(event) {
                match action {
                    PublisherAction::ReadBase => {
                        let manifest = self.manifests.last().cloned().unwrap_or_default();
                        let chunks = manifest.slots.iter().map(|h| self.chunks[h].clone());
                        let (version, chunks) = (self.manifests.len() as u64, chunks.collect());
                        events.push(PublisherEvent::Base { version, manifest, chunks });
                    }
                    PublisherAction::PutChunk(hash, text) => {
                        self.puts += 1;
                        self.put_bytes += text.len();
                        self.chunks.insert(hash.clone(), text);
                        events.push(PublisherEvent::Chunk(hash, PutOutcome::Done));
                    }
                    PublisherAction::PutManifest { manifest, .. } => {
                        let nonce = manifest.nonce;
                        self.manifests.push(manifest);
                        events.push(PublisherEvent::Manifest(nonce, PutOutcome::Done));
                    }
                    PublisherAction::PutStatus(_) => {}
                }
            }
        }
    }

    /// Updates the follower to a peer's newest manifest and returns the bytes fetched.
    fn sync_follower(&mut self, peer: &Follower) -> usize {
        let from = Source::Peer("n".into());
        let number = peer.number();
        let announcement = FollowerEvent::Announced { number, from: from.clone() };
        let mut bytes = 0;
        let mut actions = self.follower.handle_event(Time::ZERO, announcement);
        while let Some(action) = actions.pop() {
            match action {
                FollowerAction::FetchDelta { have, .. } => {
                    let delta = peer.delta(have);
                    bytes += encoded_len(&delta);
                    let event = FollowerEvent::Delta { delta, from: from.clone() };
                    actions.extend(self.follower.handle_event(Time::ZERO, event));
                }
                FollowerAction::FetchChunks { hashes, .. } => {
                    let texts: Vec<Arc<str>> =
                        hashes.iter().filter_map(|h| peer.chunk(h).cloned()).collect();
                    bytes += encoded_len(&Chunks { texts: texts.clone() });
                    for (hash, text) in hashes.into_iter().zip(texts) {
                        let event = FollowerEvent::Chunk { hash, text };
                        actions.extend(self.follower.handle_event(Time::ZERO, event));
                    }
                }
                FollowerAction::Applied(_) => {}
            }
        }
        bytes
    }

    /// Updates a peer from the store's newest manifest.
    fn read_store(&self, peer: &mut Follower) {
        let manifest = self.manifests.last().cloned().unwrap_or_default();
        let slots = manifest.slots.clone();
        peer.handle_event(Time::ZERO, FollowerEvent::Manifest(manifest));
        for hash in slots {
            let text = self.chunks[&hash].clone();
            peer.handle_event(Time::ZERO, FollowerEvent::Chunk { hash, text });
        }
    }
}

/// Encoded size of a message between nodes, in bytes.
fn encoded_len<T: serde::Serialize>(message: &T) -> usize {
    rmp_serde::to_vec(message).map_or(0, |b| b.len())
}

/// Bytes, store writes and times at each number of workspaces.
pub fn measure(only_counted: bool) -> Vec<Figure> {
    let sizes = if only_counted { &WORKSPACE_COUNTS[..2] } else { &WORKSPACE_COUNTS[..] };
    sizes.iter().flat_map(|n| measure_size(*n)).collect()
}

fn measure_size(n: usize) -> Vec<Figure> {
    let mut harness = ConfigHarness::new();
    harness.publish(PublisherEvent::Objects(all_objects(n)));
    harness.publish(PublisherEvent::Lease(Some(1)));
    let mut peer = Follower::default();
    harness.read_store(&mut peer);
    harness.sync_follower(&peer);
    let held_bytes: usize = harness.follower.bytes();
    let manifest =
        harness.manifests.last().map_or(0, |m| serde_json::to_vec(m).map_or(0, |b| b.len()));
    (harness.puts, harness.put_bytes) = (0, 0);
    let (mut fetched_bytes, mut publish_secs, mut apply_secs) = (0, 0.0, 0.0);
    for c in 0..CHANGES {
        let mut change = workspace(c * 7 % n, 2000 + c as u64);
        change.version = 2 + c as u64;
        let started = Instant::now();
        harness.publish(PublisherEvent::Objects(vec![change]));
        publish_secs += started.elapsed().as_secs_f64();
        harness.read_store(&mut peer);
        let started = Instant::now();
        fetched_bytes += harness.sync_follower(&peer);
        apply_secs += started.elapsed().as_secs_f64();
    }
    let per_change = |x: f64| x / CHANGES as f64;
    vec![
        counted("configuration held, bytes, by workspaces", n, held_bytes as f64),
        counted("manifest in the store, bytes, by workspaces", n, manifest as f64),
        counted("chunks written per change, by workspaces", n, per_change(harness.puts as f64)),
        counted(
            "chunk bytes written per change, by workspaces",
            n,
            per_change(harness.put_bytes as f64),
        ),
        counted(
            "bytes fetched per node and change, by workspaces",
            n,
            per_change(fetched_bytes as f64),
        ),
        timed("holder's milliseconds per change, by workspaces", n, per_change(publish_secs * 1e3)),
        timed("node's milliseconds per change, by workspaces", n, per_change(apply_secs * 1e3)),
    ]
}
