//! Follows a list of objects that operators maintain in the store, while this node reads the store
//! because it is a relay or has none to follow. Other nodes receive the list with the targets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Entry, List, waits};
use model::Name;

use super::backoff::Backoff;
use super::store::{NO_WAIT, ReadError, Reader, StoreUpdate};
use crate::border::{Change, ObjectKind};
use crate::node::Node;

/// Maximum jitter of the delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Maximum time to wait, after a failed call, until another call shows that the store answers
/// again.
const OUTAGE_WAIT: Duration = Duration::from_secs(2);

/// Kind of object that is followed as a list.
pub(super) trait ListKind {
    /// Kind in the store.
    const KIND: ObjectKind;
    /// Stored form of an object.
    type Object;

    /// Name and state of the object in a change; `None` if the object is of another kind.
    fn entry(change: Change) -> Option<(Name, Entry<Self::Object>)>;

    /// Objects in force at this node, from whichever source.
    fn in_force(node: &Node) -> BTreeMap<Name, Self::Object>;

    /// Puts the list at a revision in force.
    fn apply(node: &Node, at: u64, list: &List<Self::Object>);

    /// Whether the list in force belongs to the latest epoch of the store.
    fn is_current(node: &Node) -> bool;

    /// Revision up to which the list must be read at once; `None` if it can wait for changes.
    fn required_revision(node: &Node) -> Option<u64>;
}

/// Follows the list until the process ends.
pub(super) async fn follow<L: ListKind>(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), L::KIND);
    let mut list = List::default();
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(waits::COALESCE_TIME).await;
        node.feed.until_reads_store().await;
        match read::<L>(&node, &mut reader, list.at()).await {
            // An object that was not read may restrict what is allowed, so a truncated list is not
            // applied.
            Ok(update) if update.truncated => backoff.wait(&node, MAX_RETRY_DELAY).await,
            Ok(update) => {
                backoff.reset();
                apply_update::<L>(&node, &mut list, update);
            }
            Err(e) if e.is_history_gone() => list.restart(),
            Err(_) => {
                backoff.wait(&node, MAX_RETRY_DELAY).await;
                let _ = tokio::time::timeout(OUTAGE_WAIT, node.wait_for_store()).await;
            }
        }
    }
}

/// Reads the list, or waits for changes until a later revision is required at once. The wait is
/// skipped if the list was not confirmed for long, because followers judge this node by its age.
async fn read<L: ListKind>(
    node: &Node,
    reader: &mut Reader,
    since: Option<u64>,
) -> Result<StoreUpdate, ReadError> {
    let is_overdue =
        node.feed.age_of(L::KIND, node.now()).is_some_and(|a| a.current > waits::RULES_WATCH_WAIT);
    let wait = if is_overdue { NO_WAIT } else { waits::RULES_WATCH_WAIT };
    tokio::select! {
        read = reader.read(since, wait) => return read,
        () = until_required::<L>(node, since) => {}
    }
    reader.read(since, NO_WAIT).await
}

/// Waits until the list is required at a later revision than `known`.
async fn until_required<L: ListKind>(node: &Node, known: Option<u64>) {
    let Some(known) = known else {
        // The complete list is being read, without a wait for changes.
        return std::future::pending().await;
    };
    let mut updates = node.feed.subscribe();
    while L::is_current(node) && L::required_revision(node).is_none_or(|required| required <= known)
    {
        if updates.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn apply_update<L: ListKind>(node: &Node, list: &mut List<L::Object>, update: StoreUpdate) {
    let StoreUpdate { revision, is_snapshot, changes, .. } = update;
    let entries = changes.into_iter().filter_map(L::entry);
    if is_snapshot {
        // Peers may have sent objects before this node read any itself.
        list.set_objects(L::in_force(node));
        list.replace(revision, entries);
    } else {
        list.apply(revision, entries);
    }
    L::apply(node, revision, list);
    let now = node.now();
    node.feed.confirm(L::KIND, now, now);
}
