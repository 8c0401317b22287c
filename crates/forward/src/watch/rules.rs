//! Follows the rules in the store, for as long as this node reads it: as a relay, or for
//! want of one. The others take the rules from where they follow the targets; news of a
//! newer version also comes with membership, whoever told of it first.

use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Role, waits};

use super::backoff::Backoff;
use super::relays;
use super::store::{Reader, Step};
use crate::border::{Change, ObjectKind};
use crate::node::Node;

/// Longest wait of a relay after a failed call.
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Longest wait of any other node.
const RETRY_LONGEST_FOLLOWER: Duration = Duration::from_secs(3);

/// Follows until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), ObjectKind::Rules);
    let mut at = None;
    let mut backoff = Backoff::default();
    loop {
        node.feed.reads_store().await;
        let own = relays(&node).role == Role::Relay;
        match reader.read(at, waits::RULES_WATCH_WAIT).await {
            // The rules may be among what it did not bring.
            Ok(step) if step.cut => {
                adopt(&node, step);
                at = None;
                backoff.failed(&node, RETRY_LONGEST_FOLLOWER).await;
            }
            Ok(step) => {
                backoff.answered();
                at = Some(step.at);
                adopt(&node, step);
            }
            Err(e) if e.is_history_gone() => at = None,
            Err(_) => {
                at = None;
                let longest = if own { RETRY_LONGEST } else { RETRY_LONGEST_FOLLOWER };
                backoff.failed(&node, longest).await;
            }
        }
    }
}

fn adopt(node: &Node, step: Step) {
    let is_cut = step.cut;
    for change in step.changes {
        // Rules are never taken back, only replaced.
        if let Change::Rules(rules) = change {
            node.adopt_rules(*rules, "store");
        }
    }
    if !is_cut {
        let now = node.now();
        node.feed.confirm(ObjectKind::Rules, now, now);
    }
}
