//! Publication of declared objects as numbered manifests, by the lease holder.
//!
//! Each item in a chunk carries the version of its object in the Object API, and a deleted object
//! leaves a tombstone with its version. A stale list read after an outage therefore never reverts
//! an object to an older spec or restores a deleted object.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::Name;
use model::manifest::{Chunk, Item, Manifest};
use model::object::Spec;
use model::status::Status;

use super::accept::accept;
use super::chunks::split_chunks;
use crate::rng::Rng;

/// A declared object as read from the Object API.
#[derive(Debug, Clone, PartialEq)]
pub struct Declared {
    /// Object key, `Kind/name`.
    pub key: Name,
    /// Object version in the Object API.
    pub version: u64,
    /// Declared spec; `None` if deleted, `Err` with a reason if it does not parse as its kind.
    pub spec: Option<Result<Spec, String>>,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// Accepted.
    Done,
    /// Rejected: the expected version did not match.
    Conflict,
    /// Failed, or the response was lost; the write may have been applied.
    Lost,
}

/// Input to the [`Publisher`].
#[derive(Debug, Clone, PartialEq)]
pub enum PublisherEvent {
    /// The lease was acquired with this epoch, or lost.
    Lease(Option<u64>),
    /// Objects from a list or a watch.
    Objects(Vec<Declared>),
    /// Statuses from a list; should precede [`PublisherEvent::Lease`], so that known statuses are
    /// not written again.
    Statuses(Vec<Status>),
    /// The published manifest was read, with its version and the texts of its chunks.
    Base {
        /// Version of the manifest object; 0 if never written.
        version: u64,
        /// The manifest; the default if never written.
        manifest: Manifest,
        /// Text of each chunk in the manifest.
        chunks: Vec<Arc<str>>,
    },
    /// The read of the manifest failed.
    BaseFailed,
    /// Result of the write of a chunk.
    Chunk(Name, PutOutcome),
    /// Result of the write of the manifest with this nonce.
    Manifest(u64, PutOutcome),
    /// A timer fired.
    Tick,
}

/// Effect to be carried out by the caller of the [`Publisher`].
#[derive(Debug, Clone, PartialEq)]
pub enum PublisherAction {
    /// Read the manifest and its chunks.
    ReadBase,
    /// Write a chunk.
    PutChunk(Name, Arc<str>),
    /// Write the manifest if the stored version equals `expect`.
    PutManifest {
        /// Expected version.
        expect: u64,
        /// New content.
        manifest: Manifest,
    },
    /// Report to operators whether their objects were accepted.
    PutStatus(Vec<Status>),
}

#[derive(Debug)]
struct Draft {
    manifest: Manifest,
    missing: BTreeSet<Name>,
    chunks: BTreeMap<Name, Arc<str>>,
    status: Vec<Status>,
    items: BTreeMap<Name, Item>,
    writing: bool,
}

#[derive(Debug)]
struct Base {
    version: u64,
    manifest: Manifest,
    items: BTreeMap<Name, Item>,
}

/// Publishes manifests while this node holds the lease.
#[derive(Debug)]
pub struct Publisher {
    epoch: Option<u64>,
    declared: BTreeMap<Name, Declared>,
    base: Option<Base>,
    reading: bool,
    draft: Option<Draft>,
    /// The last read failed; the next one waits for a tick.
    read_failed: bool,
    /// Versions whose status is known to be written.
    reported: BTreeMap<Name, u64>,
    /// Set on lease acquisition: the previous holder may have stopped after writing a manifest and
    /// before writing its statuses.
    resync_statuses: bool,
    /// Statuses of manifest writes whose responses were lost, until a read resolves them.
    unconfirmed: Vec<Status>,
    refused: BTreeMap<Name, (u64, String)>,
    rng: Rng,
}

impl Publisher {
    /// Creates a publisher; `seed` generates the nonces of its manifests.
    pub fn new(seed: u64) -> Self {
        Publisher {
            epoch: None,
            declared: BTreeMap::new(),
            base: None,
            reading: false,
            draft: None,
            read_failed: false,
            reported: BTreeMap::new(),
            resync_statuses: false,
            unconfirmed: Vec::new(),
            refused: BTreeMap::new(),
            rng: Rng::new(seed),
        }
    }

    /// Number of the manifest last read; 0 if none is known.
    pub fn number(&self) -> u64 {
        self.base.as_ref().map_or(0, |b| b.manifest.number)
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle_event(&mut self, event: PublisherEvent) -> Vec<PublisherAction> {
        let mut out = Vec::new();
        match event {
            PublisherEvent::Lease(epoch) => self.set_lease(epoch),
            PublisherEvent::Objects(objects) => self.handle_objects(objects),
            PublisherEvent::Statuses(list) => {
                self.reported = list.into_iter().map(|s| (s.object, s.version)).collect();
            }
            PublisherEvent::Base { version, manifest, chunks } => {
                self.handle_base(version, manifest, &chunks, &mut out);
            }
            PublisherEvent::BaseFailed => {
                self.reading = false;
                self.read_failed = true;
            }
            PublisherEvent::Chunk(hash, end) => self.handle_chunk_write(&hash, end),
            PublisherEvent::Manifest(nonce, end) => {
                self.handle_manifest_write(nonce, end, &mut out)
            }
            PublisherEvent::Tick => {
                self.read_failed = false;
                // Retry the chunks whose write failed.
                if let Some(d) = &self.draft {
                    out.extend(d.put_missing());
                }
            }
        }
        self.advance(&mut out);
        out
    }

    fn set_lease(&mut self, epoch: Option<u64>) {
        if self.epoch == epoch {
            return;
        }
        self.epoch = epoch;
        self.base = None;
        if let Some(d) = self.draft.take_if(|d| d.writing) {
            self.unconfirmed.extend(d.status);
        }
        self.draft = None;
        self.reading = false;
        self.refused.clear();
        self.resync_statuses = epoch.is_some();
    }

    fn handle_objects(&mut self, objects: Vec<Declared>) {
        for d in objects {
            let newer = self.declared.get(&d.key).is_none_or(|old| d.version > old.version);
            if newer {
                self.declared.insert(d.key.clone(), d);
                // Check refused objects again: they may have lacked this object.
                self.refused.clear();
                self.drop_draft();
            }
        }
    }

    /// Discards a draft whose manifest write has not started, so that it is built again.
    fn drop_draft(&mut self) {
        self.draft.take_if(|d| !d.writing);
    }

    fn handle_base(
        &mut self,
        version: u64,
        manifest: Manifest,
        chunks: &[Arc<str>],
        out: &mut Vec<PublisherAction>,
    ) {
        self.reading = false;
        if self.base.as_ref().is_some_and(|b| version < b.version) {
            return;
        }
        let mut items: BTreeMap<Name, Item> = BTreeMap::new();
        for text in chunks {
            let Ok(chunk) = serde_json::from_str::<Chunk>(text) else {
                return;
            };
            items.extend(chunk.into_iter().map(|i| (i.key.clone(), i)));
        }
        self.resolve_unconfirmed(&items, out);
        if std::mem::take(&mut self.resync_statuses) {
            self.resync_statuses(manifest.number, &items, out);
        }
        self.base = Some(Base { version, manifest, items });
        self.draft = None;
    }

    /// Writes the unconfirmed statuses that a read has resolved: refusals, and objects published at
    /// the same or a later version.
    fn resolve_unconfirmed(
        &mut self,
        items: &BTreeMap<Name, Item>,
        out: &mut Vec<PublisherAction>,
    ) {
        let published = |s: &Status| items.get(&s.object).map_or(0, |i| i.version);
        let (resolved, unresolved): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition(|s| !s.accepted || published(s) >= s.version);
        self.unconfirmed = unresolved;
        self.put_statuses(resolved, out);
    }

    /// Writes statuses, except those older than a version already reported.
    fn put_statuses(&mut self, mut list: Vec<Status>, out: &mut Vec<PublisherAction>) {
        list.retain(|s| self.reported.get(&s.object).is_none_or(|v| *v <= s.version));
        self.reported.extend(list.iter().map(|s| (s.object.clone(), s.version)));
        if !list.is_empty() {
            out.push(PublisherAction::PutStatus(list));
        }
    }

    /// Writes the statuses of published objects that the previous holder left unwritten.
    fn resync_statuses(
        &mut self,
        number: u64,
        items: &BTreeMap<Name, Item>,
        out: &mut Vec<PublisherAction>,
    ) {
        let unreported = |i: &&Item| self.reported.get(&i.key).is_none_or(|v| *v < i.version);
        let status = |i: &Item| Status {
            object: i.key.clone(),
            version: i.version,
            accepted: true,
            reason: String::new(),
            number,
        };
        let list: Vec<Status> = items.values().filter(unreported).map(status).collect();
        self.put_statuses(list, out);
    }

    fn handle_chunk_write(&mut self, hash: &Name, end: PutOutcome) {
        if let Some(d) = &mut self.draft
            && end == PutOutcome::Done
        {
            d.missing.remove(hash);
        }
    }

    fn handle_manifest_write(
        &mut self,
        nonce: u64,
        end: PutOutcome,
        out: &mut Vec<PublisherAction>,
    ) {
        // The response to a write from an earlier lease term does not concern this draft.
        let Some(d) = self.draft.take_if(|d| d.writing && d.manifest.nonce == nonce) else {
            return;
        };
        match end {
            PutOutcome::Done => {
                // The new version is not assumed; it is read before the next draft.
                self.put_statuses(d.status, out);
            }
            // The other writer reports what it accepted; refused objects are checked again.
            PutOutcome::Conflict => self.refused.clear(),
            PutOutcome::Lost => self.unconfirmed.extend(d.status),
        }
        self.base = None;
    }

    fn advance(&mut self, out: &mut Vec<PublisherAction>) {
        let Some(epoch) = self.epoch else {
            return;
        };
        if self.base.is_none() {
            if !self.reading && !self.read_failed {
                self.reading = true;
                out.push(PublisherAction::ReadBase);
            }
            return;
        }
        if self.draft.is_none() {
            self.draft = self.next_draft(epoch, out);
            if let Some(d) = &self.draft {
                out.extend(d.put_missing());
            }
        }
        let (Some(d), Some(b)) = (&mut self.draft, &self.base) else {
            return;
        };
        if d.missing.is_empty() && !d.writing {
            d.writing = true;
            let manifest = d.manifest.clone();
            out.push(PublisherAction::PutManifest { expect: b.version, manifest });
        }
    }

    /// Builds the next manifest if newer objects were declared.
    fn next_draft(&mut self, epoch: u64, out: &mut Vec<PublisherAction>) -> Option<Draft> {
        let base = self.base.as_ref()?;
        let newer: Vec<&Declared> =
            self.declared.values().filter(|d| self.is_newer(base, d)).collect();
        if newer.is_empty() {
            return None;
        }
        let number = base.manifest.number + 1;
        let (items, refused) = accept(&base.items, &newer);
        let mut status = Vec::new();
        for d in &newer {
            let reason = refused.get(&d.key).cloned().unwrap_or_default();
            let accepted = reason.is_empty();
            let (object, version) = (d.key.clone(), d.version);
            status.push(Status { object, version, accepted, reason, number });
        }
        for s in status.iter().filter(|s| !s.accepted) {
            self.refused.insert(s.object.clone(), (s.version, s.reason.clone()));
        }
        if items == base.items {
            let refusals = status.into_iter().filter(|s| !s.accepted).collect::<Vec<_>>();
            if !refusals.is_empty() {
                out.push(PublisherAction::PutStatus(refusals));
            }
            return None;
        }
        let (slots, texts) = split_chunks(&items, base.manifest.slots.len());
        let old: BTreeSet<&Name> = base.manifest.slots.iter().collect();
        let chunks: BTreeMap<_, _> = texts.into_iter().filter(|(h, _)| !old.contains(h)).collect();
        let nonce = self.rng.next_u64();
        let manifest = Manifest { number, epoch, nonce, slots };
        let missing = chunks.keys().cloned().collect();
        Some(Draft { manifest, missing, chunks, status, items, writing: false })
    }

    /// Whether `d` is newer than the published version and was not refused at this version.
    fn is_newer(&self, base: &Base, d: &Declared) -> bool {
        let published = base.items.get(&d.key).map_or(0, |i| i.version);
        let refused = self.refused.get(&d.key).map_or(0, |(v, _)| *v);
        d.version > published.max(refused)
    }

    /// Number of objects in the manifest being written, 0 if none.
    pub fn draft_len(&self) -> usize {
        self.draft.as_ref().map_or(0, |d| d.items.len())
    }
}

impl Draft {
    fn put_missing(&self) -> impl Iterator<Item = PublisherAction> + '_ {
        let texts = self.missing.iter().filter_map(|h| Some((h, self.chunks.get(h)?)));
        texts.map(|(h, t)| PublisherAction::PutChunk(h.clone(), t.clone()))
    }
}
