//! Follows a list of objects that operators keep in the store, for as long as this node reads
//! it: as a relay, or for want of one. The others hear of it from where they follow the targets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Entry, List, waits};
use model::Name;

use super::backoff::Backoff;
use super::store::{NO_WAIT, ReadError, Reader, StoreUpdate};
use crate::border::{Change, Kind};
use crate::node::Node;

/// Longest wait after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Time for which a failed call waits for another one to show that the store answers again.
const OUTAGE_WAIT: Duration = Duration::from_secs(2);

/// A kind of object that is followed as a list.
pub(super) trait ListKind {
    /// The kind.
    const KIND: Kind;
    /// What is kept of an object.
    type Object;

    /// What a change says of an object of the kind; `None` if it is of another one.
    fn entry(change: Change) -> Option<(Name, Entry<Self::Object>)>;

    /// The objects in force at this node, whoever told of them.
    fn in_force(node: &Node) -> BTreeMap<Name, Self::Object>;

    /// Puts the list as it is at a revision in force.
    fn apply(node: &Node, at: u64, list: &List<Self::Object>);

    /// Whether the list in force is of the latest epoch of the store.
    fn is_current(node: &Node) -> bool;

    /// Revision up to which the list is to be known at once, if it is not to wait for news.
    fn required_revision(node: &Node) -> Option<u64>;
}

/// Follows until the process ends.
pub(super) async fn follow<L: ListKind>(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), L::KIND);
    let mut list = List::default();
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(waits::COALESCE_TIME).await;
        node.feed.until_reads_store().await;
        match read::<L>(&node, &mut reader, list.at()).await {
            // An object that is not known may bind: nothing is in force by half of a list.
            Ok(update) if update.truncated => backoff.wait(&node, MAX_RETRY_DELAY).await,
            Ok(update) => {
                backoff.reset();
                apply_update::<L>(&node, &mut list, update);
            }
            Err(e) if e.is_history_gone() => list.restart(),
            Err(_) => {
                backoff.wait(&node, MAX_RETRY_DELAY).await;
                let _ = tokio::time::timeout(OUTAGE_WAIT, node.store_reached()).await;
            }
        }
    }
}

/// Reads the list, or waits for changes until it is needed at once. Where it has not been
/// confirmed for long it is asked for at once too: whoever follows this node goes by its age.
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

/// Returns once the list is needed at a later revision than this.
async fn until_required<L: ListKind>(node: &Node, known: Option<u64>) {
    let Some(known) = known else {
        // The whole list is being read, which does not wait.
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
        // Peers may have told of objects before this node read any itself.
        list.set_objects(L::in_force(node));
        list.replace(revision, entries);
    } else {
        list.apply(revision, entries);
    }
    L::apply(node, revision, list);
    let now = node.now();
    node.feed.confirm(L::KIND, now, now);
}
