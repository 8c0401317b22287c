//! Configuration: bytes and time of one change among so many workspaces.

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

/// Workspaces at which the slope is measured; 11,000 is the size to design for.
const WORKSPACES: [usize; 4] = [300, 1000, 3300, 11_000];
/// Pools, pipelines and targets beside them, as planned.
const POOLS: usize = 28;
const PIPELINES: usize = 25;
const TARGETS: usize = 1300;
/// Changes measured.
const CHANGES: usize = 10;

fn workspace(i: usize, deadline: u64) -> Declared {
    let limit = Limit { pipeline: format!("pipeline-{}", i % PIPELINES).into(), rate: 20.0 };
    let w = Workspace { deadline, grace: 0, priority: Default::default(), limits: vec![limit] };
    declared(format!("Workspace/workspace-{i}"), 1, Spec::Workspace(w))
}

fn declared(key: String, version: u64, spec: Spec) -> Declared {
    Declared { key: key.into(), version, spec: Some(Ok(spec)) }
}

fn everything(workspaces: usize) -> Vec<Declared> {
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

/// A store that takes everything, one publisher and one follower.
struct Line {
    publisher: Publisher,
    follower: Follower,
    manifests: Vec<Manifest>,
    chunks: std::collections::BTreeMap<Name, Arc<str>>,
    put: usize,
    put_bytes: usize,
}

impl Line {
    fn new() -> Self {
        Line {
            publisher: Publisher::new(1),
            follower: Follower::default(),
            manifests: Vec::new(),
            chunks: Default::default(),
            put: 0,
            put_bytes: 0,
        }
    }

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
                        self.put += 1;
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

    /// The follower takes the newest manifest from a neighbour; returns the bytes moved.
    fn follow(&mut self, neighbour: &Follower) -> usize {
        let from = Source::Peer("n".into());
        let number = neighbour.number();
        let heard = FollowerEvent::Announced { number, from: from.clone() };
        let mut bytes = 0;
        let mut actions = self.follower.handle_event(Time::ZERO, heard);
        while let Some(action) = actions.pop() {
            match action {
                FollowerAction::FetchDelta { have, .. } => {
                    let delta = neighbour.delta(have);
                    bytes += encoded(&delta);
                    let event = FollowerEvent::Delta { delta, from: from.clone() };
                    actions.extend(self.follower.handle_event(Time::ZERO, event));
                }
                FollowerAction::FetchChunks { hashes, .. } => {
                    let texts: Vec<Arc<str>> =
                        hashes.iter().filter_map(|h| neighbour.chunk(h).cloned()).collect();
                    bytes += encoded(&Chunks { texts: texts.clone() });
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

    /// A neighbour that read the newest manifest from the store.
    fn neighbour(&self, at: &mut Follower) {
        let manifest = self.manifests.last().cloned().unwrap_or_default();
        let slots = manifest.slots.clone();
        at.handle_event(Time::ZERO, FollowerEvent::Manifest(manifest));
        for hash in slots {
            let text = self.chunks[&hash].clone();
            at.handle_event(Time::ZERO, FollowerEvent::Chunk { hash, text });
        }
    }
}

fn encoded<T: serde::Serialize>(message: &T) -> usize {
    rmp_serde::to_vec(message).map_or(0, |b| b.len())
}

/// Bytes, calls and times by count of workspaces.
pub fn measure(only_counted: bool) -> Vec<Figure> {
    let sizes = if only_counted { &WORKSPACES[..2] } else { &WORKSPACES[..] };
    sizes.iter().flat_map(|n| at(*n)).collect()
}

fn at(n: usize) -> Vec<Figure> {
    let mut line = Line::new();
    line.publish(PublisherEvent::Objects(everything(n)));
    line.publish(PublisherEvent::Lease(Some(1)));
    let mut neighbour = Follower::default();
    line.neighbour(&mut neighbour);
    line.follow(&neighbour);
    let whole: usize = line.follower.bytes();
    let manifest =
        line.manifests.last().map_or(0, |m| serde_json::to_vec(m).map_or(0, |b| b.len()));
    (line.put, line.put_bytes) = (0, 0);
    let (mut moved, mut publish, mut apply) = (0, 0.0, 0.0);
    for c in 0..CHANGES {
        let mut change = workspace(c * 7 % n, 2000 + c as u64);
        change.version = 2 + c as u64;
        let begun = Instant::now();
        line.publish(PublisherEvent::Objects(vec![change]));
        publish += begun.elapsed().as_secs_f64();
        line.neighbour(&mut neighbour);
        let begun = Instant::now();
        moved += line.follow(&neighbour);
        apply += begun.elapsed().as_secs_f64();
    }
    let per = |x: f64| x / CHANGES as f64;
    vec![
        counted("configuration held, bytes, by workspaces", n, whole as f64),
        counted("manifest in the store, bytes, by workspaces", n, manifest as f64),
        counted("chunks written per change, by workspaces", n, per(line.put as f64)),
        counted("chunk bytes written per change, by workspaces", n, per(line.put_bytes as f64)),
        counted("bytes fetched per node and change, by workspaces", n, per(moved as f64)),
        timed("holder's milliseconds per change, by workspaces", n, per(publish * 1e3)),
        timed("node's milliseconds per change, by workspaces", n, per(apply * 1e3)),
    ]
}
