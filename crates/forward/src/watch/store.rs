//! Client for lists and watches of the store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::relay::{EntryKey, UnreadableEntries, waits};
use model::Name;
use util::http::{CallError, CallKind, Client};

use crate::border::{BadEntry, Change, Malformed, ObjectKind, Page};
use crate::events::Event;
use crate::node::Node;

/// Timeout for connecting to the store.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for one page of a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of delayed retries of a page while the store is busy.
const MAX_PAGE_RETRIES: u32 = 12;
/// Maximum delay before a page is retried.
const MAX_PAGE_DELAY: Duration = Duration::from_millis(600);
/// Wait of a watch that the store answers at once.
pub(super) const NO_WAIT: Duration = Duration::from_millis(1);
/// Source in log lines of an epoch that the store itself reported.
const EPOCH_SOURCE: &str = "store";
/// Status for a call that exceeds the store's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Status for a watch from a revision that the store's history no longer covers.
const GONE: u16 = 410;

/// Why the store could not be read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// {0}
    Call(#[from] CallError),
    /// {0}
    Malformed(#[from] Malformed),
    /// the store came back from an older copy meanwhile
    Restored,
}

impl ReadError {
    /// Whether the history that a watch needs is gone, so that the list must be read again.
    pub fn is_history_gone(&self) -> bool {
        match self {
            ReadError::Call(e) => e.status() == Some(GONE),
            ReadError::Malformed(_) => false,
            ReadError::Restored => true,
        }
    }

    /// Whether the call timed out, which indicates a silent connection rather than a failed store.
    fn is_timeout(&self) -> bool {
        matches!(self, ReadError::Call(e) if e.kind == CallKind::Timeout)
    }
}

/// State or changes read from the store.
#[derive(Debug, Default)]
pub struct StoreUpdate {
    /// Revision of the state after these changes.
    pub revision: u64,
    /// Epoch of the store that the revision belongs to; `None` if the store does not send one.
    pub epoch: Option<u64>,
    /// The changes are the complete state.
    pub is_snapshot: bool,
    /// The changes are the beginning of a list that could not be read to its end.
    pub truncated: bool,
    /// Changes from oldest to newest.
    pub changes: Vec<Change>,
    /// Entries that cannot be parsed.
    malformed: Vec<BadEntry>,
}

impl StoreUpdate {
    /// Marks the update as the part that was read of a list that cannot be continued.
    fn into_truncated(mut self) -> Self {
        (self.is_snapshot, self.truncated) = (false, true);
        self.malformed.push(BadEntry::new(None, "list", "no name to continue after"));
        self
    }
}

/// Names whose entries, after all changes, can be parsed or are removed.
fn readable_names(changes: &[Change]) -> BTreeSet<&Name> {
    let mut names = BTreeSet::new();
    for change in changes {
        if let Change::Unreadable(name) = change {
            names.remove(name);
        }
        names.extend(change.entry_name());
    }
    names
}

/// Reads one kind of object from the store.
pub struct Reader {
    node: Rc<Node>,
    client: Client,
    kind: ObjectKind,
    failed: bool,
    unreadable: UnreadableEntries,
    /// Epoch of the state from which watches continue.
    epoch: Option<u64>,
}

impl Reader {
    /// Creates a reader without any state.
    pub fn new(node: Rc<Node>, kind: ObjectKind) -> Self {
        let unreadable = UnreadableEntries::default();
        let client = Client::new(CONNECT_TIMEOUT);
        Reader { node, client, kind, failed: false, unreadable, epoch: None }
    }

    /// Continues watches from a state of this epoch, which may have come from a peer.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = Some(epoch);
    }

    /// Reads the complete state, or waits for changes since a revision.
    pub async fn read(
        &mut self,
        since: Option<u64>,
        wait: Duration,
    ) -> Result<StoreUpdate, ReadError> {
        let result = match since {
            None => self.list(false).await,
            Some(since) => self.watch_with_retry(since, wait).await,
        };
        match &result {
            Ok(update) => {
                self.record_success();
                self.log_malformed(update);
            }
            Err(e) if e.is_history_gone() => self.record_success(),
            Err(e) => self.record_failure(&e.to_string()),
        }
        result
    }

    /// Reads the complete state once, independently of the tasks that follow it: the outcome does
    /// not affect whether the store counts as reachable. With `allow_stale` the state may be some
    /// seconds old, which is cheaper.
    pub async fn read_once(&mut self, allow_stale: bool) -> Result<StoreUpdate, ReadError> {
        let result = self.list(allow_stale).await;
        match &result {
            Ok(update) => self.log_malformed(update),
            Err(_) => self.client = Client::new(CONNECT_TIMEOUT),
        }
        result
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.failed) {
            Event::Store { kind: self.kind.as_str(), reachable: true, why: "" }.emit();
        }
        self.node.store_answered();
    }

    fn record_failure(&mut self, why: &str) {
        if !std::mem::replace(&mut self.failed, true) {
            Event::Store { kind: self.kind.as_str(), reachable: false, why }.emit();
        }
        self.node.store_failed();
        // A new client drops connections that hang after a network partition.
        self.client = Client::new(CONNECT_TIMEOUT);
    }

    /// Logs entries that cannot be parsed, unless they were logged with the same reason before.
    fn log_malformed(&mut self, update: &StoreUpdate) {
        if update.is_snapshot {
            self.unreadable.restart();
        }
        let now = self.node.now();
        for entry in &update.malformed {
            let place = match &entry.name {
                Some(name) => EntryKey::Name(name.clone()),
                None if update.is_snapshot => EntryKey::ListIndex(entry.place.as_str().into()),
                None => EntryKey::ChangeIndex(entry.place.as_str().into()),
            };
            if let Some(untold) = self.unreadable.record(place, &entry.reason.as_str().into(), now)
            {
                let (kind, place, why) = (self.kind.as_str(), &entry.place, &entry.reason);
                Event::Unreadable { kind, place, why, untold }.emit();
            }
        }
        for name in readable_names(&update.changes) {
            self.unreadable.clear(name);
        }
        if let Some(Change::Rules(_)) = update.changes.last() {
            self.unreadable.clear_named();
        }
        self.node.metrics.set_unreadable(self.kind.as_str(), self.unreadable.count());
    }

    /// Returns the epoch of the store and the body of an answer.
    async fn get(&self, path: &str, timeout: Duration) -> Result<(Option<u64>, Bytes), CallError> {
        self.node.metrics.count_store_call(self.kind.as_str());
        let store = self.node.settings().store.to_string();
        let answer = self.client.get(&store, path, timeout).await?;
        let epoch = self.node.dialect.epoch(answer.headers());
        if let Some(epoch) = epoch {
            self.node.observe_epoch(epoch, EPOCH_SOURCE);
        }
        Ok((epoch, answer.into_body()))
    }

    /// Reads a page, with retries while the store is busy: after a restart of all nodes their lists
    /// arrive together, and starting a list again would only add load.
    async fn get_page(&self, path: &str) -> Result<(Option<u64>, Bytes), CallError> {
        for _ in 0..MAX_PAGE_RETRIES {
            match self.get(path, LIST_TIMEOUT).await {
                Err(e) if e.status() == Some(TOO_MANY_REQUESTS) => {
                    let delay = self.node.rng(|r| r.jitter(MAX_PAGE_DELAY));
                    tokio::time::sleep(delay).await;
                }
                result => return result,
            }
        }
        self.get(path, LIST_TIMEOUT).await
    }

    async fn list(&mut self, allow_stale: bool) -> Result<StoreUpdate, ReadError> {
        let update = self.read_pages(allow_stale).await?;
        self.epoch = update.epoch;
        Ok(update)
    }

    async fn read_pages(&self, allow_stale: bool) -> Result<StoreUpdate, ReadError> {
        let dialect = &self.node.dialect;
        let mut update = StoreUpdate { is_snapshot: true, ..StoreUpdate::default() };
        let mut after = None;
        let mut cursors = BTreeSet::new();
        loop {
            let path = match allow_stale {
                true => dialect.stale_list_path(self.kind, after.as_ref()),
                false => dialect.list_path(self.kind, after.as_ref()),
            };
            let (epoch, body) = self.get_page(&path).await?;
            let page = dialect.read_page(self.kind, &body)?;
            if !self.node.is_current_epoch(epoch) || (after.is_some() && epoch != update.epoch) {
                return Err(ReadError::Restored);
            }
            if after.is_none() {
                update.epoch = epoch;
                // A watch from the first page's revision repeats changes made between two pages.
                update.revision = page.revision;
            }
            update.changes.extend(page.changes);
            update.malformed.extend(page.malformed);
            match page.continue_after {
                Some(name) if cursors.insert(name.clone()) => after = Some(name),
                None if !page.truncated => return Ok(update),
                // Entries may have arbitrary names. The page after a name that was already used
                // as a cursor has been read.
                Some(_) | None => return Ok(update.into_truncated()),
            }
        }
    }

    /// Watches for changes. After a timeout, asks at once over a new connection what has changed,
    /// because the old one may have fallen silent.
    async fn watch_with_retry(
        &mut self,
        since: u64,
        wait: Duration,
    ) -> Result<StoreUpdate, ReadError> {
        match self.watch(since, wait, wait + waits::WATCH_SLACK).await {
            Err(e) if e.is_timeout() => {
                self.client = Client::new(CONNECT_TIMEOUT);
                self.watch(since, NO_WAIT, waits::RETRY_TIMEOUT).await
            }
            result => result,
        }
    }

    async fn watch(
        &self,
        since: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<StoreUpdate, ReadError> {
        let path = self.node.dialect.watch_path(self.kind, since, wait.as_millis() as u64);
        let (epoch, body) = self.get(&path, timeout).await?;
        if epoch.is_some() && epoch != self.epoch {
            // Its revisions belong to another history than this node's state.
            return Err(ReadError::Restored);
        }
        let page = self.node.dialect.read_changes(self.kind, &body)?;
        let Page { changes, malformed, .. } = page;
        Ok(StoreUpdate {
            revision: page.revision.max(since),
            epoch,
            is_snapshot: false,
            truncated: false,
            changes,
            malformed,
        })
    }
}
