//! Declared objects in the Object API, written conditionally on their version.

use std::time::Duration;

use anyhow::Context;
use model::object::{Envelope, Spec};
use model::store::kind;
use store::{ErrorKind, HttpStore, Store};
use util::http::Client;

/// Reads after a write whose response was lost, to find out whether it was applied.
const MAX_READ_BACKS: u32 = 10;
/// Delay before each of these reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The stored spec already matches.
    Unchanged,
    /// Written with this new version.
    Written(u64),
}

/// Client of the Object API for operators.
pub struct Remote {
    store: HttpStore,
    author: String,
}

impl Remote {
    /// Client of the API at `address`; writes name the user in `$USER` as their author.
    pub fn new(address: &str) -> anyhow::Result<Self> {
        address.parse::<std::net::SocketAddr>().with_context(|| {
            format!("--store {address:?} is not an IP address and port such as 10.0.0.1:7000")
        })?;
        let client = Client::new(Duration::from_secs(2));
        let author = std::env::var("USER").unwrap_or_else(|_| "unknown".into());
        Ok(Remote { store: HttpStore::new(client, address.into()), author })
    }

    /// The underlying store client.
    pub fn store(&self) -> &HttpStore {
        &self.store
    }

    /// Version and envelope of a declared object; no envelope if it does not exist.
    pub async fn read(&self, kind: &str, name: &str) -> anyhow::Result<(u64, Option<Envelope>)> {
        let stored = self.store.get(kind, name).await.context("could not read an object")?;
        let envelope = stored.value.map(serde_json::from_value).transpose();
        Ok((stored.version, envelope.with_context(|| format!("{kind}/{name} cannot be read"))?))
    }

    /// Writes a spec, or deletes the object with `None`, if its version is still `expect`.
    pub async fn write(
        &self,
        kind: &str,
        name: &str,
        expect: u64,
        spec: Option<&Spec>,
    ) -> anyhow::Result<WriteResult> {
        let nonce = rand::random::<u64>();
        let envelope =
            spec.map(|s| Envelope { spec: s.to_value(), author: self.author.clone(), nonce });
        let value = envelope.as_ref().map(|e| serde_json::to_value(e).expect("envelopes encode"));
        match self.store.put(kind, name, expect, value).await {
            Ok(version) => Ok(WriteResult::Written(version)),
            Err(e) if e.kind == ErrorKind::Conflict => {
                self.conflict_error(kind, name, expect).await
            }
            Err(e) if e.may_be_applied() => {
                self.resolve_lost_write(kind, name, expect, nonce, e).await
            }
            Err(e) => Err(e).with_context(|| format!("could not write {kind}/{name}")),
        }
    }

    async fn conflict_error(
        &self,
        kind: &str,
        name: &str,
        expect: u64,
    ) -> anyhow::Result<WriteResult> {
        let (version, envelope) = self.read(kind, name).await?;
        let what = match envelope {
            Some(e) => format!("{} changed it to {}", e.author, e.spec),
            None => "it was deleted".into(),
        };
        anyhow::bail!("{kind}/{name}: was version {expect}, is now {version}: {what}")
    }

    /// Reads the object back after a write whose response was lost; the nonce identifies the write.
    async fn resolve_lost_write(
        &self,
        kind: &str,
        name: &str,
        expect: u64,
        nonce: u64,
        lost: store::StoreError,
    ) -> anyhow::Result<WriteResult> {
        for _ in 0..MAX_READ_BACKS {
            tokio::time::sleep(READ_BACK_INTERVAL).await;
            let Ok((version, envelope)) = self.read(kind, name).await else {
                continue;
            };
            match envelope {
                Some(e) if e.nonce == nonce => return Ok(WriteResult::Written(version)),
                _ if version != expect => return self.conflict_error(kind, name, expect).await,
                _ => {}
            }
        }
        Err(lost)
            .with_context(|| format!("{kind}/{name}: the write may or may not have been applied"))
    }

    /// Status of the declared object `key`, if one was published.
    pub async fn status(&self, key: &str) -> anyhow::Result<Option<model::status::Status>> {
        let name = key.replace('/', ".");
        let stored =
            self.store.get(kind::STATUS, &name).await.context("could not read a status")?;
        Ok(stored.value.and_then(|v| serde_json::from_value(v).ok()))
    }

    /// How many nodes apply the manifest, by failure domain.
    pub async fn fleet_statuses(&self) -> anyhow::Result<Vec<(String, model::status::Fleet)>> {
        let listing = self.store.list(kind::STATUS).await.context("could not list statuses")?;
        let mut out = Vec::new();
        for o in listing.objects {
            let Some(domain) = o.name.strip_prefix("fleet-") else {
                continue;
            };
            if let Some(Ok(fleet)) = o.value.map(serde_json::from_value) {
                out.push((domain.to_string(), fleet));
            }
        }
        Ok(out)
    }
}
