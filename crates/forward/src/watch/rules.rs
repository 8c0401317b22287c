//! Follows the rules in the store, while this node reads the store because it is a relay or has
//! none to follow. Other nodes fetch the rules from the peer through which they follow the targets;
//! membership also announces newer versions from any peer.

use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Role, waits};

use super::backoff::Backoff;
use super::relays;
use super::store::{Reader, StoreUpdate};
use crate::border::{Change, ObjectKind};
use crate::node::Node;

/// Maximum jitter of a relay's delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The same for any other node.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Follows the rules until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), ObjectKind::Rules);
    let mut since = None;
    let mut backoff = Backoff::default();
    loop {
        node.feed.until_reads_store().await;
        let is_relay = relays(&node).role == Role::Relay;
        match reader.read(since, waits::RULES_WATCH_WAIT).await {
            // The rules may be in the missing part of the list.
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
        // Rules are only ever replaced, never deleted.
        if let Change::Rules(rules) = change {
            node.adopt_rules(*rules, "store");
        }
    }
    if !is_truncated {
        let now = node.now();
        node.feed.confirm(ObjectKind::Rules, now, now);
    }
}
