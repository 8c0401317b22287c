//! Reads lists and watches of the store.

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

/// Time to connect to the store.
pub const CONNECT: Duration = Duration::from_millis(800);
/// Time for a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Times that a page is asked for again while the store is busy.
const PAGE_TRIES: u32 = 12;
/// Longest wait before a page is asked for again.
const PAGE_PAUSE: Duration = Duration::from_millis(600);
/// Wait of a watch that is to be answered at once.
pub(super) const AT_ONCE: Duration = Duration::from_millis(1);
/// Whom an epoch was heard of that the store itself told.
const STORE: &str = "store";
/// Status of a call beyond the store's rate.
const BUSY: u16 = 429;
/// Status of a watch whose history is gone.
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
    /// Whether the watch's history is gone, so that the list is to be read anew.
    pub fn is_history_gone(&self) -> bool {
        match self {
            ReadError::Call(e) => e.status() == Some(GONE),
            ReadError::Malformed(_) => false,
            ReadError::Restored => true,
        }
    }

    /// Whether no answer came in time, which says more of the connection than of the store.
    fn is_timeout(&self) -> bool {
        matches!(self, ReadError::Call(e) if e.kind == CallKind::Timeout)
    }
}

/// What one call brought.
#[derive(Debug, Default)]
pub struct Step {
    /// Revision that the state is at now.
    pub at: u64,
    /// Epoch of the store that it is of; `None` if the store tells none.
    pub epoch: Option<u64>,
    /// The changes are the whole state.
    pub whole: bool,
    /// They are the begin of a list that could not be read to its end.
    pub cut: bool,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Entries that cannot be read.
    bad: Vec<BadEntry>,
}

impl Step {
    /// What was read of a list that cannot be continued.
    fn cut(mut self) -> Self {
        (self.whole, self.cut) = (false, true);
        self.bad.push(BadEntry::new(None, "list", "no name to continue after"));
        self
    }
}

/// Names whose entries can be read after all changes, or are gone.
fn healed(changes: &[Change]) -> BTreeSet<&Name> {
    let mut healed = BTreeSet::new();
    for change in changes {
        if let Change::Unreadable(name) = change {
            healed.remove(name);
        }
        healed.extend(change.entry_name());
    }
    healed
}

/// Reads one kind of object.
pub struct Reader {
    node: Rc<Node>,
    client: Client,
    kind: ObjectKind,
    failed: bool,
    unreadable: UnreadableEntries,
    /// Epoch of the state that changes are asked for of.
    epoch: Option<u64>,
}

impl Reader {
    /// A reader that has read nothing yet.
    pub fn new(node: Rc<Node>, kind: ObjectKind) -> Self {
        let unreadable = UnreadableEntries::default();
        let client = Client::new(CONNECT);
        Reader { node, client, kind, failed: false, unreadable, epoch: None }
    }

    /// Changes are asked for of a state of this epoch, which a peer told of.
    pub fn go_on_from(&mut self, epoch: u64) {
        self.epoch = Some(epoch);
    }

    /// Reads the whole state, or waits for changes since a revision.
    pub async fn read(&mut self, at: Option<u64>, wait: Duration) -> Result<Step, ReadError> {
        let read = match at {
            None => self.list(false).await,
            Some(at) => self.watch_surely(at, wait).await,
        };
        match &read {
            Ok(step) => {
                self.answered();
                self.note(step);
            }
            Err(e) if e.is_history_gone() => self.answered(),
            Err(e) => self.lost(&e.to_string()),
        }
        read
    }

    /// Reads the whole state once, beside those that follow it: what becomes of this call says
    /// nothing of the store to others. It may be some seconds old, and is cheaper then.
    pub async fn look(&mut self, may_be_old: bool) -> Result<Step, ReadError> {
        let list = self.list(may_be_old).await;
        match &list {
            Ok(step) => self.note(step),
            Err(_) => self.client = Client::new(CONNECT),
        }
        list
    }

    fn answered(&mut self) {
        if std::mem::take(&mut self.failed) {
            Event::Store { kind: self.kind.as_str(), reachable: true, why: "" }.emit();
        }
        self.node.store_answered();
    }

    fn lost(&mut self, why: &str) {
        if !std::mem::replace(&mut self.failed, true) {
            Event::Store { kind: self.kind.as_str(), reachable: false, why }.emit();
        }
        self.node.store_failed();
        // A new client drops connections that hang behind a cut.
        self.client = Client::new(CONNECT);
    }

    /// Tells of entries that cannot be read, or for another reason than before.
    fn note(&mut self, step: &Step) {
        if step.whole {
            self.unreadable.restart();
        }
        let now = self.node.now();
        for entry in &step.bad {
            let place = match &entry.name {
                Some(name) => EntryKey::Name(name.clone()),
                None if step.whole => EntryKey::ListIndex(entry.place.as_str().into()),
                None => EntryKey::ChangeIndex(entry.place.as_str().into()),
            };
            if let Some(untold) = self.unreadable.record(place, &entry.reason.as_str().into(), now)
            {
                let (kind, place, why) = (self.kind.as_str(), &entry.place, &entry.reason);
                Event::Unreadable { kind, place, why, untold }.emit();
            }
        }
        for name in healed(&step.changes) {
            self.unreadable.clear(name);
        }
        if let Some(Change::Rules(_)) = step.changes.last() {
            self.unreadable.clear_named();
        }
        self.node.metrics.set_unreadable(self.kind.as_str(), self.unreadable.count());
    }

    /// An answer's body, and the epoch of the store that it tells.
    async fn get(&self, path: &str, timeout: Duration) -> Result<(Option<u64>, Bytes), CallError> {
        self.node.metrics.count_store_call(self.kind.as_str());
        let store = self.node.settings().store.to_string();
        let answer = self.client.get(&store, path, timeout).await?;
        let epoch = self.node.dialect.epoch(answer.headers());
        if let Some(epoch) = epoch {
            self.node.observe_epoch(epoch, STORE);
        }
        Ok((epoch, answer.into_body()))
    }

    /// Reads a page, again while the store is busy: after a restart of all nodes their
    /// lists come together, and a list begun anew would only add to them.
    async fn get_page(&self, path: &str) -> Result<(Option<u64>, Bytes), CallError> {
        for _ in 0..PAGE_TRIES {
            match self.get(path, LIST_TIMEOUT).await {
                Err(e) if e.status() == Some(BUSY) => {
                    let pause = self.node.rng(|r| r.jitter(PAGE_PAUSE));
                    tokio::time::sleep(pause).await;
                }
                end => return end,
            }
        }
        self.get(path, LIST_TIMEOUT).await
    }

    async fn list(&mut self, may_be_old: bool) -> Result<Step, ReadError> {
        let step = self.pages(may_be_old).await?;
        self.epoch = step.epoch;
        Ok(step)
    }

    async fn pages(&self, may_be_old: bool) -> Result<Step, ReadError> {
        let dialect = &self.node.dialect;
        let mut step = Step { whole: true, ..Step::default() };
        let mut after = None;
        let mut asked = BTreeSet::new();
        loop {
            let path = match may_be_old {
                true => dialect.stale_list_path(self.kind, after.as_ref()),
                false => dialect.list_path(self.kind, after.as_ref()),
            };
            let (epoch, body) = self.get_page(&path).await?;
            let page = dialect.read_page(self.kind, &body)?;
            if !self.node.is_current_epoch(epoch) || (after.is_some() && epoch != step.epoch) {
                return Err(ReadError::Restored);
            }
            if after.is_none() {
                step.epoch = epoch;
                // Changes between two pages are seen again from the first revision on.
                step.at = page.revision;
            }
            step.changes.extend(page.changes);
            step.bad.extend(page.malformed);
            match page.continue_after {
                Some(name) if asked.insert(name.clone()) => after = Some(name),
                None if !page.truncated => return Ok(step),
                // An entry may bear any name: what comes after one that was asked for is known.
                Some(_) | None => return Ok(step.cut()),
            }
        }
    }

    /// Watches, and where no answer comes in time asks at once over a new connection what
    /// changed meanwhile: the old one may have fallen silent.
    async fn watch_surely(&mut self, at: u64, wait: Duration) -> Result<Step, ReadError> {
        match self.watch(at, wait, wait + waits::WATCH_SLACK).await {
            Err(e) if e.is_timeout() => {
                self.client = Client::new(CONNECT);
                self.watch(at, AT_ONCE, waits::RETRY_TIMEOUT).await
            }
            end => end,
        }
    }

    async fn watch(&self, at: u64, wait: Duration, timeout: Duration) -> Result<Step, ReadError> {
        let path = self.node.dialect.watch_path(self.kind, at, wait.as_millis() as u64);
        let (epoch, body) = self.get(&path, timeout).await?;
        if epoch.is_some() && epoch != self.epoch {
            // Its revisions are of another history than the one that this node is at.
            return Err(ReadError::Restored);
        }
        let page = self.node.dialect.read_changes(self.kind, &body)?;
        let Page { changes, malformed: bad, .. } = page;
        Ok(Step { at: page.revision.max(at), epoch, whole: false, cut: false, changes, bad })
    }
}
