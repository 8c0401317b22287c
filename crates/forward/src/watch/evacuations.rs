//! Follows the evacuations in the store, for as long as this node reads it: as a relay, or
//! for want of one. The others hear of them from where they follow the targets.

use std::rc::Rc;
use std::time::Duration;

use decide::fleet::{EvacuationChange, EvacuationList};
use decide::relay::waits;
use model::Name;
use model::forward::Evacuations;

use super::backoff::Backoff;
use super::store::{Reader, Step};
use crate::border::{Change, Kind};
use crate::events::Event;
use crate::node::Node;

/// Longest wait after a failed call.
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Time for which a failed call waits for another one to show that the store answers again.
const AWAY: Duration = Duration::from_secs(2);

/// Follows until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), Kind::Evacuations);
    let mut list = EvacuationList::default();
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(waits::GATHER).await;
        node.feed.reads_store().await;
        match reader.read(list.at(), waits::SLOW_WATCH).await {
            Ok(step) => {
                backoff.answered();
                take_step(&node, &mut list, step);
            }
            Err(e) if e.is_history_gone() => list.restart(),
            Err(_) => {
                backoff.failed(&node, RETRY_LONGEST).await;
                let _ = tokio::time::timeout(AWAY, node.store_reached()).await;
            }
        }
    }
}

fn take_step(node: &Node, list: &mut EvacuationList, step: Step) {
    let Step { at, whole, changes, .. } = step;
    if whole {
        let is_known = |domain: &Name| node.fleet(|f| f.evacuated().domains().any(|d| d == domain));
        list.whole(at, changes.into_iter().filter_map(|c| listed(c, is_known)));
    } else {
        let changes = changes.into_iter().filter_map(change);
        list.change(at, changes);
    }
    if let Some(list) = list.list() {
        take(node, list, "store");
    }
    let now = node.now();
    node.feed.confirm(Kind::Evacuations, now, now);
}

/// A failure domain that a whole list shows as evacuated. One whose entry cannot be read stays
/// as it is.
fn listed(change: Change, is_known: impl Fn(&Name) -> bool) -> Option<Name> {
    match change {
        Change::Evacuated(domain) => Some(domain),
        Change::Unreadable(domain) => Some(domain).filter(is_known),
        Change::Rules(_) | Change::Target(_) | Change::Rollout(_) | Change::Gone(_) => None,
    }
}

/// A failure domain, and whether it is evacuated now; nothing is known of it if its entry
/// cannot be read.
fn change(change: Change) -> Option<(Name, bool)> {
    match change {
        Change::Evacuated(domain) => Some((domain, true)),
        Change::Gone(domain) => Some((domain, false)),
        Change::Rules(_) | Change::Target(_) | Change::Rollout(_) | Change::Unreadable(_) => None,
    }
}

/// Puts a list in force unless a newer one is, and tells the peers that follow this node.
pub(super) fn take(node: &Node, list: Evacuations, from: &str) {
    let now = node.now();
    let revision = list.at;
    let was_known = node.fleet(|f| f.evacuated().is_known());
    let changes = node.fleet(|f| f.evacuate(list, now));
    for change in &changes {
        let (domain, state) = match change {
            EvacuationChange::Began(domain) => (domain, "began"),
            EvacuationChange::Ended(domain) => (domain, "ended"),
        };
        let age_ms = super::millis(node.feed.age(now));
        Event::Evacuation { domain, state, revision, from, age_ms }.emit();
    }
    if !changes.is_empty() || !was_known {
        node.feed.wake();
    }
}
