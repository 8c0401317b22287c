//! Follows a list of objects that operators keep in the store, for as long as this node reads
//! it: as a relay, or for want of one. The others hear of it from where they follow the targets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Entry, List, waits};
use model::Name;

use super::backoff::Backoff;
use super::store::{AT_ONCE, ReadError, Reader, Step};
use crate::border::{Change, ObjectKind};
use crate::node::Node;

/// Longest wait after a failed call.
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Time for which a failed call waits for another one to show that the store answers again.
const AWAY: Duration = Duration::from_secs(2);

/// A kind of object that is followed as a list.
pub(super) trait Listed {
    /// The kind.
    const KIND: ObjectKind;
    /// What is kept of an object.
    type Object;

    /// What a change says of an object of the kind; `None` if it is of another one.
    fn entry(change: Change) -> Option<(Name, Entry<Self::Object>)>;

    /// The objects in force at this node, whoever told of them.
    fn known(node: &Node) -> BTreeMap<Name, Self::Object>;

    /// Puts the list as it is at a revision in force.
    fn take(node: &Node, at: u64, list: &List<Self::Object>);

    /// Whether the list in force is of the latest epoch of the store.
    fn is_current(node: &Node) -> bool;

    /// Revision up to which the list is to be known at once, if it is not to wait for news.
    fn needed(node: &Node) -> Option<u64>;
}

/// Follows until the process ends.
pub(super) async fn follow<L: Listed>(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), L::KIND);
    let mut list = List::default();
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(waits::COALESCE_TIME).await;
        node.feed.reads_store().await;
        match read::<L>(&node, &mut reader, list.at()).await {
            // An object that is not known may bind: nothing is in force by half of a list.
            Ok(step) if step.cut => backoff.failed(&node, RETRY_LONGEST).await,
            Ok(step) => {
                backoff.answered();
                take_step::<L>(&node, &mut list, step);
            }
            Err(e) if e.is_history_gone() => list.restart(),
            Err(_) => {
                backoff.failed(&node, RETRY_LONGEST).await;
                let _ = tokio::time::timeout(AWAY, node.wait_for_store()).await;
            }
        }
    }
}

/// Reads the list, or waits for changes until it is needed at once. Where it has not been
/// confirmed for long it is asked for at once too: whoever follows this node goes by its age.
async fn read<L: Listed>(
    node: &Node,
    reader: &mut Reader,
    at: Option<u64>,
) -> Result<Step, ReadError> {
    let is_old =
        node.feed.age_of(L::KIND, node.now()).is_some_and(|a| a.now > waits::RULES_WATCH_WAIT);
    let wait = if is_old { AT_ONCE } else { waits::RULES_WATCH_WAIT };
    tokio::select! {
        read = reader.read(at, wait) => return read,
        () = is_needed::<L>(node, at) => {}
    }
    reader.read(at, AT_ONCE).await
}

/// Returns once the list is needed at a later revision than this.
async fn is_needed<L: Listed>(node: &Node, at: Option<u64>) {
    let Some(at) = at else {
        // The whole list is being read, which does not wait.
        return std::future::pending().await;
    };
    let mut news = node.feed.news();
    while L::is_current(node) && L::needed(node).is_none_or(|needed| needed <= at) {
        if news.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn take_step<L: Listed>(node: &Node, list: &mut List<L::Object>, step: Step) {
    let Step { at, whole, changes, .. } = step;
    let entries = changes.into_iter().filter_map(L::entry);
    if whole {
        // Peers may have told of objects before this node read any itself.
        list.set_objects(L::known(node));
        list.replace(at, entries);
    } else {
        list.apply(at, entries);
    }
    L::take(node, at, list);
    let now = node.now();
    node.feed.confirm(L::KIND, now, now);
}
