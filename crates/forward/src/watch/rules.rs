//! Follows the rules in the store, for as long as this node reads it: as a relay, or for
//! want of one. The others take the rules from where they follow the targets; news of a
//! newer version also comes with membership, whoever told of it first.

use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Role, waits};

use super::backoff::Backoff;
use super::relays;
use super::store::{Reader, StoreUpdate};
use crate::border::{Change, Kind};
use crate::node::Node;

/// Longest wait of a relay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Longest wait of any other node.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Follows until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), Kind::Rules);
    let mut since = None;
    let mut backoff = Backoff::default();
    loop {
        node.feed.until_reads_store().await;
        let is_relay = relays(&node).role == Role::Relay;
        match reader.read(since, waits::RULES_WATCH_WAIT).await {
            // The rules may be among what it did not bring.
            Ok(update) if update.truncated => {
                adopt(&node, update);
                since = None;
                backoff.wait(&node, MAX_FOLLOWER_RETRY_DELAY).await;
            }
            Ok(update) => {
                backoff.reset();
                since = Some(update.revision);
                adopt(&node, update);
            }
            Err(e) if e.is_history_gone() => since = None,
            Err(_) => {
                since = None;
                let max_delay = if is_relay { MAX_RETRY_DELAY } else { MAX_FOLLOWER_RETRY_DELAY };
                backoff.wait(&node, max_delay).await;
            }
        }
    }
}

fn adopt(node: &Node, update: StoreUpdate) {
    let is_truncated = update.truncated;
    for change in update.changes {
        // Rules are never taken back, only replaced.
        if let Change::Rules(rules) = change {
            node.adopt(*rules, "store");
        }
    }
    if !is_truncated {
        let now = node.now();
        node.feed.confirm(Kind::Rules, now, now);
    }
}
