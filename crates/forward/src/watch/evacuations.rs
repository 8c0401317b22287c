//! Applies lists of evacuations.

use std::collections::BTreeMap;

use decide::fleet::EvacuationChange;
use decide::relay::{Entry, List};
use model::Name;
use model::forward::Evacuations;

use super::lists::ListKind;
use crate::border::{Change, ObjectKind};
use crate::events::Event;
use crate::node::Node;

impl ListKind for Evacuations {
    const KIND: ObjectKind = ObjectKind::Evacuations;
    type Object = ();

    fn entry(change: Change) -> Option<(Name, Entry<()>)> {
        match change {
            Change::Evacuated(domain) => Some((domain, Entry::Present(()))),
            Change::Unreadable(domain) => Some((domain, Entry::Unreadable)),
            Change::Removed(domain) => Some((domain, Entry::Removed)),
            Change::Rules(_) | Change::Target(_) | Change::Rollout(_) | Change::Held(_) => None,
        }
    }

    fn in_force(node: &Node) -> BTreeMap<Name, ()> {
        node.fleet(|f| f.evacuated().domains().map(|domain| (domain.clone(), ())).collect())
    }

    fn apply(node: &Node, at: u64, list: &List<()>) {
        let domains = list.objects().keys().cloned().collect();
        apply(node, Evacuations { at, domains }, "store");
    }

    fn is_current(node: &Node) -> bool {
        node.fleet(|f| f.evacuated().is_current())
    }

    fn required_revision(_node: &Node) -> Option<u64> {
        None
    }
}

/// Applies a list unless a newer one is in force, and notifies the peers that follow this node.
pub(super) fn apply(node: &Node, list: Evacuations, from: &str) {
    let now = node.now();
    let revision = list.at;
    let was_known = node.fleet(|f| f.evacuated().is_known());
    let changes = node.fleet(|f| f.set_evacuations(list, now));
    log_changes(node, &changes, revision, from);
    if !changes.is_empty() || !was_known {
        node.feed.notify();
    }
}

/// Ends evacuations that the store lost and that were not repeated in time.
pub(super) fn settle(node: &Node) {
    let now = node.now();
    if !node.fleet(|f| f.evacuated().is_settle_due(now)) {
        return;
    }
    let changes = node.fleet(|f| f.settle_evacuations(now));
    let revision = node.fleet(|f| f.evacuated().revision()).unwrap_or(0);
    log_changes(node, &changes, revision, "settled");
    if !changes.is_empty() {
        node.feed.notify();
    }
}

fn log_changes(node: &Node, changes: &[EvacuationChange], revision: u64, from: &str) {
    let now = node.now();
    for change in changes {
        let (domain, state) = match change {
            EvacuationChange::Began(domain) => (domain, "began"),
            EvacuationChange::Ended(domain) => (domain, "ended"),
        };
        let age_ms = super::millis(node.feed.age(now));
        Event::Evacuation { domain, state, revision, from, age_ms }.emit();
    }
}
