//! Executes the fetches of [`decide::config::Follower`]: deltas and chunks, from the store or from
//! a peer. Shared by the entry and control processes.

use std::sync::Arc;
use std::time::Duration;

use decide::config::{FollowerAction, FollowerEvent, Source};
use model::Name;
use model::manifest::{Delta, Manifest, NAME};
use model::store::kind;
use model::view::{Chunks, ChunksRequest, DeltaRequest, path};
use store::{BudgetedStore, Reason, Store};
use util::http::Client;

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Limit on chunks requested in one call.
const MAX_CHUNKS_PER_CALL: usize = 64;

/// Fetch client of one follower.
#[derive(Clone)]
pub struct Fetcher {
    client: Client,
    store: Option<Arc<BudgetedStore>>,
}

impl Fetcher {
    /// Creates a fetcher; without a store, fetches from it fail.
    pub fn new(client: Client, store: Option<Arc<BudgetedStore>>) -> Self {
        Fetcher { client, store }
    }

    /// Executes a fetch and returns the resulting events.
    pub async fn fetch(&self, action: FollowerAction) -> Vec<FollowerEvent> {
        match action {
            FollowerAction::FetchDelta { from: Source::Store, .. } => self.fetch_manifest().await,
            FollowerAction::FetchDelta { from: Source::Peer(peer), have } => {
                self.fetch_delta(peer, have).await
            }
            FollowerAction::FetchChunks { from, hashes } => self.fetch_chunks(from, hashes).await,
            FollowerAction::Applied(_) => Vec::new(),
        }
    }

    async fn fetch_manifest(&self) -> Vec<FollowerEvent> {
        let Some(store) = &self.store else {
            return vec![FollowerEvent::FetchFailed(Source::Store)];
        };
        match read_manifest(store).await {
            Some((_, manifest)) => vec![FollowerEvent::Manifest(manifest)],
            None => vec![FollowerEvent::FetchFailed(Source::Store)],
        }
    }

    async fn fetch_delta(&self, peer: Name, have: u64) -> Vec<FollowerEvent> {
        let request = DeltaRequest { have };
        let result = self.client.rmp::<_, Delta>(&peer, path::DELTA, &request, PEER_TIMEOUT).await;
        let from = Source::Peer(peer);
        match result {
            Ok(delta) => vec![FollowerEvent::Delta { delta, from }],
            Err(e) => {
                log::debug!("config: no delta: {e}");
                vec![FollowerEvent::FetchFailed(from)]
            }
        }
    }

    async fn fetch_chunks(&self, from: Source, hashes: Vec<Name>) -> Vec<FollowerEvent> {
        let mut events = Vec::new();
        for part in hashes.chunks(MAX_CHUNKS_PER_CALL) {
            let texts = match &from {
                Source::Store => self.read_store_chunks(part).await,
                Source::Peer(peer) => {
                    let request = ChunksRequest { hashes: part.to_vec() };
                    let call =
                        self.client.rmp::<_, Chunks>(peer, path::CHUNKS, &request, PEER_TIMEOUT);
                    call.await.ok().map(|c| c.texts)
                }
            };
            let Some(texts) = texts.filter(|t| t.len() == part.len()) else {
                events.push(FollowerEvent::FetchFailed(from));
                return events;
            };
            for (hash, text) in part.iter().zip(texts) {
                events.push(FollowerEvent::Chunk { hash: hash.clone(), text });
            }
        }
        events
    }

    async fn read_store_chunks(&self, hashes: &[Name]) -> Option<Vec<Arc<str>>> {
        let store = self.store.as_ref()?;
        let mut texts = Vec::new();
        for hash in hashes {
            texts.push(read_chunk(store, hash).await?);
        }
        Some(texts)
    }
}

/// Reads the manifest and the version of its object; `None` if that failed.
pub async fn read_manifest(store: &BudgetedStore) -> Option<(u64, Manifest)> {
    let stored = store.for_reason(Reason::Config).get(kind::MANIFEST, NAME).await;
    let stored = stored.map_err(|e| log::debug!("config: {e}")).ok()?;
    match stored.value {
        Some(v) => Some((stored.version, serde_json::from_value(v).ok()?)),
        None => Some((stored.version, Manifest::default())),
    }
}

/// Reads the text of a chunk. It is stored as one JSON string, so that its bytes keep matching the
/// content address.
pub async fn read_chunk(store: &BudgetedStore, hash: &str) -> Option<Arc<str>> {
    let stored = store.for_reason(Reason::Config).get(kind::CHUNK, hash).await.ok()?;
    stored.value?.as_str().map(Arc::from)
}
