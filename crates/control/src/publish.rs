//! Publishing task: while this node holds the manifest lease, it watches the objects that
//! operators declare, and writes manifests, statuses and the claim floor.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use decide::claim::{Sweep, SweepAction};
use decide::config::{Declared, Publisher, PublisherAction, PublisherEvent, PutOutcome};
use follow::{read_chunk, read_manifest};
use kameo::actor::ActorRef;
use model::Name;
use model::claim::{FLOOR, Floor};
use model::manifest::NAME;
use model::object::{Envelope, KINDS, Spec};
use model::status::Status;
use model::store::{Listing, Stored, kind};
use model::view::ChunksRequest;
use store::{ErrorKind, Reason, Store, StoreError};
use tokio::sync::{mpsc, watch};

use crate::config::{Config, GetChunks};
use crate::shared::Shared;

/// Maximum wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed list or watch call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks of unfinished writes, and between sweep steps.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Window in which changes of several objects are batched into one manifest.
const BATCH_WINDOW: Duration = Duration::from_millis(40);
/// Maximum statuses written per loop iteration.
const MAX_STATUS_WRITES: usize = 32;
/// Maximum claim objects deleted per sweep step.
const MAX_CLAIM_DELETES: usize = 64;

/// Publishes manifests while the lease is held.
pub struct PublishTask {
    shared: Arc<Shared>,
    config: ActorRef<Config>,
    machine: Publisher,
    sweep: Sweep,
    /// Statuses not yet written, by object; only the newest of each is kept.
    statuses: BTreeMap<Name, Status>,
}

impl PublishTask {
    /// Creates the task, which publishes nothing until it runs.
    pub fn new(shared: Arc<Shared>, config: ActorRef<Config>) -> Self {
        PublishTask {
            shared,
            config,
            machine: Publisher::new(rand::random()),
            sweep: Sweep::default(),
            statuses: BTreeMap::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self, mut epoch: watch::Receiver<Option<u64>>) {
        loop {
            let lease_epoch = *epoch.borrow_and_update();
            if lease_epoch.is_some() {
                self.publish_while_held(lease_epoch, &mut epoch).await;
                continue;
            }
            self.handle_event(PublisherEvent::Lease(None)).await;
            if epoch.changed().await.is_err() {
                return;
            }
        }
    }

    /// Publishes until the epoch changes.
    async fn publish_while_held(
        &mut self,
        lease_epoch: Option<u64>,
        epoch: &mut watch::Receiver<Option<u64>>,
    ) {
        let (tx, mut rx) = mpsc::channel(16);
        let watches: Vec<_> = KINDS
            .iter()
            .map(|k| tokio::spawn(follow_kind(self.shared.clone(), k, tx.clone())))
            .collect();
        // Report the lease only after every kind is listed: no manifest is built before.
        let (mut listed, mut lease_reported) = (0, false);
        loop {
            tokio::select! {
                _ = epoch.changed() => break,
                Some(objects) = rx.recv() => {
                    listed += 1;
                    let all = collect_batch(objects, &mut rx, &mut listed).await;
                    self.handle_event(PublisherEvent::Objects(all)).await;
                    if listed >= KINDS.len() && !lease_reported {
                        lease_reported = true;
                        self.read_statuses().await;
                        self.handle_event(PublisherEvent::Lease(lease_epoch)).await;
                    }
                }
                () = tokio::time::sleep(TICK_INTERVAL) =>
                    self.handle_event(PublisherEvent::Tick).await,
            }
            self.put_statuses().await;
            self.run_sweep().await;
        }
        for w in watches {
            w.abort();
        }
    }
}

/// Collects what arrives within [`BATCH_WINDOW`] of the first objects.
async fn collect_batch(
    first: Vec<Declared>,
    rx: &mut mpsc::Receiver<Vec<Declared>>,
    count: &mut usize,
) -> Vec<Declared> {
    let mut all = first;
    let until = tokio::time::Instant::now() + BATCH_WINDOW;
    while let Ok(Some(more)) = tokio::time::timeout_at(until, rx.recv()).await {
        *count += 1;
        all.extend(more);
    }
    all
}

/// Lists, then watches one kind of declared objects.
async fn follow_kind(shared: Arc<Shared>, kind: &'static str, out: mpsc::Sender<Vec<Declared>>) {
    let mut revision = None;
    loop {
        let store = shared.store.for_reason(Reason::Config);
        let listing = match revision {
            None => store.list(kind).await,
            Some(r) => store.watch(kind, r, WATCH_TIMEOUT).await,
        };
        match listing {
            Ok(listing) => {
                let full_list = revision.is_none();
                revision = Some(listing.revision);
                let mut objects = to_declared(kind, &listing);
                if full_list {
                    objects.extend(find_deleted(&shared, kind, &listing).await);
                }
                if (full_list || !objects.is_empty()) && out.send(objects).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Err(e) => {
                log::debug!("publish: {e}");
                revision = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn to_declared(kind: &str, listing: &Listing) -> Vec<Declared> {
    let spec = |v: serde_json::Value| {
        let envelope: Envelope = serde_json::from_value(v)?;
        Spec::from_value(kind, envelope.spec)
    };
    let one = |o: &Stored| Declared {
        key: format!("{kind}/{}", o.name).into(),
        version: o.version,
        spec: o.value.clone().map(|v| spec(v).map_err(|e| e.to_string())),
    };
    listing.objects.iter().map(one).collect()
}

/// Finds deletions among the applied objects that a list lacks. Each is read individually, since
/// a list may be stale, and only a deletion with its own version counts.
async fn find_deleted(shared: &Shared, kind: &str, listing: &Listing) -> Vec<Declared> {
    let applied = shared.applied.load_full();
    let set = &applied.set;
    let names: Vec<&Name> = match kind {
        "Pipeline" => set.pipelines.keys().collect(),
        "Workspace" => set.workspaces.keys().collect(),
        "Pool" => set.pools.keys().collect(),
        "Model" => set.models.keys().collect(),
        _ => set.drains.keys().collect(),
    };
    let listed: std::collections::BTreeSet<_> = listing.objects.iter().map(|o| &o.name).collect();
    let mut out = Vec::new();
    for name in names.into_iter().filter(|n| !listed.contains(n)) {
        let stored = shared.store.for_reason(Reason::Config).get(kind, name).await;
        let Some(removed) = stored.ok().filter(|s| s.value.is_none()) else {
            continue;
        };
        let key = format!("{kind}/{name}").into();
        out.push(Declared { key, version: removed.version, spec: None });
    }
    out
}

impl PublishTask {
    async fn handle_event(&mut self, event: PublisherEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.machine.handle_event(event) {
                events.extend(self.perform(action).await);
            }
        }
    }

    async fn perform(&mut self, action: PublisherAction) -> Option<PublisherEvent> {
        match action {
            PublisherAction::ReadBase => Some(self.read_base().await),
            PublisherAction::PutChunk(hash, text) => {
                let outcome = put_chunk(&self.shared, &hash, &text).await;
                Some(PublisherEvent::Chunk(hash, outcome))
            }
            PublisherAction::PutManifest { expect, manifest } => {
                let nonce = manifest.nonce;
                let value = serde_json::to_value(&manifest).expect("manifests encode");
                let store = self.shared.store.for_reason(Reason::Config);
                let outcome =
                    put_outcome(store.put(kind::MANIFEST, NAME, expect, Some(value)).await);
                log::info!("publish: manifest {}: {outcome:?}.", manifest.number);
                Some(PublisherEvent::Manifest(nonce, outcome))
            }
            PublisherAction::PutStatus(list) => {
                self.statuses.extend(list.into_iter().map(|s| (s.object.clone(), s)));
                None
            }
        }
    }

    async fn read_base(&self) -> PublisherEvent {
        let Some((version, manifest)) = read_manifest(&self.shared.store).await else {
            return PublisherEvent::BaseFailed;
        };
        let request = GetChunks(ChunksRequest { hashes: manifest.slots.clone() });
        let cached = self.config.ask(request).await.map(|r| r.0.texts).unwrap_or_default();
        let mut chunks = Vec::new();
        for (i, hash) in manifest.slots.iter().enumerate() {
            // Chunks of the manifest applied here need no store call.
            let cached_text = cached.get(i).filter(|t| !t.is_empty()).cloned();
            let text = match cached_text {
                Some(text) => Some(text),
                None => read_chunk(&self.shared.store, hash).await,
            };
            match text {
                Some(text) => chunks.push(text),
                None => return PublisherEvent::BaseFailed,
            }
        }
        PublisherEvent::Base { version, manifest, chunks }
    }

    async fn read_statuses(&mut self) {
        if let Ok(listing) = self.shared.store.for_reason(Reason::Status).list(kind::STATUS).await {
            let values = listing.objects.into_iter().filter_map(|o| o.value);
            let list = values.filter_map(|v| serde_json::from_value(v).ok()).collect();
            self.handle_event(PublisherEvent::Statuses(list)).await;
        }
    }

    /// Writes pending statuses; those that fail stay pending.
    async fn put_statuses(&mut self) {
        let due: Vec<Status> = self.statuses.values().take(MAX_STATUS_WRITES).cloned().collect();
        for status in due {
            if put_status(&self.shared, &status).await.is_none() {
                return;
            }
            self.statuses.remove(&status.object);
        }
    }

    async fn run_sweep(&mut self) {
        let now = self.shared.clock.now();
        match self.sweep.tick(now, util::clock::unix_ms()) {
            Some(SweepAction::Raise(floor)) => {
                let raised = raise_floor(&self.shared, &floor).await;
                let now = self.shared.clock.now();
                raised.into_iter().for_each(|()| self.sweep.floor_raised(now, floor.bucket));
            }
            Some(SweepAction::DeleteBelow(bucket)) => {
                delete_claims_below(&self.shared, bucket).await
            }
            None => {}
        }
    }
}

fn put_outcome(result: Result<u64, StoreError>) -> PutOutcome {
    match result {
        Ok(_) => PutOutcome::Done,
        Err(e) if e.kind == ErrorKind::Conflict => PutOutcome::Conflict,
        Err(_) => PutOutcome::Lost,
    }
}

/// Writes a content-addressed chunk, unless it exists already.
async fn put_chunk(shared: &Shared, hash: &str, text: &str) -> PutOutcome {
    let store = shared.store.for_reason(Reason::Config);
    let Ok(old) = store.get(kind::CHUNK, hash).await else {
        return PutOutcome::Lost;
    };
    if old.value.is_some() {
        return PutOutcome::Done;
    }
    put_outcome(store.put(kind::CHUNK, hash, old.version, Some(text.into())).await)
}

async fn put_status(shared: &Shared, status: &Status) -> Option<()> {
    let name = status.object.replace('/', ".");
    let value = serde_json::to_value(status).expect("statuses encode");
    let store = shared.store.for_reason(Reason::Status);
    let old = store.get(kind::STATUS, &name).await.ok()?;
    let known = old.value.as_ref().and_then(|v| serde_json::from_value::<Status>(v.clone()).ok());
    // A previous lease holder may already have reported a newer version.
    if old.value.as_ref() == Some(&value) || known.is_some_and(|k| k.version > status.version) {
        return Some(());
    }
    store.put(kind::STATUS, &name, old.version, Some(value)).await.ok()?;
    Some(())
}

/// Raises the claim floor; never lowers it.
async fn raise_floor(shared: &Shared, floor: &Floor) -> Option<()> {
    let store = shared.store.for_reason(Reason::Sweep);
    let old = store.get(kind::CLAIM, FLOOR).await.ok()?;
    let known = old.value.and_then(|v| serde_json::from_value::<Floor>(v).ok()).unwrap_or_default();
    if known.bucket >= floor.bucket {
        return None;
    }
    let value = serde_json::to_value(floor).expect("floors encode");
    store.put(kind::CLAIM, FLOOR, old.version, Some(value)).await.ok()?;
    Some(())
}

async fn delete_claims_below(shared: &Shared, bucket: u64) {
    let store = shared.store.for_reason(Reason::Sweep);
    let Ok(listing) = store.list(kind::CLAIM).await else {
        return;
    };
    let old = |o: &&Stored| {
        let number = o.name.split('-').next().and_then(|n| n.parse::<u64>().ok());
        number.is_some_and(|n| n < bucket)
    };
    for o in listing.objects.iter().filter(old).take(MAX_CLAIM_DELETES) {
        if store.put(kind::CLAIM, &o.name, o.version, None).await.is_err() {
            return;
        }
    }
}
