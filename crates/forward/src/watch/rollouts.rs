//! Roll-outs: what a list of their orders changes.

use std::collections::BTreeMap;

use decide::relay::Entry;
use decide::rollout::RolloutChange;
use model::Name;
use model::forward::{Rollout, Rollouts};

use super::lists::Listed;
use crate::border::{Change, Kind};
use crate::events::Event;
use crate::node::Node;

impl Listed for Rollouts {
    const KIND: Kind = Kind::Rollouts;
    type Object = Rollout;

    fn entry(change: Change) -> Option<(Name, Entry<Rollout>)> {
        match change {
            Change::Rollout(order) => Some((order.service.clone(), Entry::Now(order))),
            Change::Unreadable(service) => Some((service, Entry::Unreadable)),
            Change::Gone(service) => Some((service, Entry::Gone)),
            Change::Rules(_) | Change::Target(_) | Change::Evacuated(_) => None,
        }
    }

    fn known(node: &Node) -> BTreeMap<Name, Rollout> {
        let orders = node.fleet(|f| f.versions().list()).unwrap_or_default().orders;
        orders.into_iter().map(|order| (order.service.clone(), order)).collect()
    }

    fn take(node: &Node, at: u64, objects: &BTreeMap<Name, Rollout>) {
        take(node, Rollouts { at, orders: objects.values().cloned().collect() }, "store");
    }

    /// A version that came beside another one gets nothing before orders are known up to then.
    fn needed(node: &Node) -> Option<u64> {
        node.fleet(|f| f.versions().unsettled())
    }
}

/// Puts a list in force unless a newer one is, and tells the peers that follow this node.
pub(super) fn take(node: &Node, list: Rollouts, from: &str) {
    let now = node.now();
    let (was_known, was_unsettled) =
        node.fleet(|f| (f.versions().is_known(), f.versions().unsettled().is_some()));
    let changes = node.fleet(|f| f.versions_mut().take(list, now));
    for change in &changes {
        tell(node, change, from);
        node.rollouts.changed(change, now);
    }
    let is_settled = node.fleet(|f| f.versions().unsettled().is_none());
    if !changes.is_empty() || !was_known || (was_unsettled && is_settled) {
        node.feed.wake();
    }
}

fn tell(node: &Node, change: &RolloutChange, from: &str) {
    let (order, what) = match change {
        RolloutChange::Began(order) => (order, "ordered"),
        RolloutChange::State(order) => (order, "state"),
        RolloutChange::Replaced { order, .. } => (order, "replaced"),
        RolloutChange::Withdrawn(order) => (order, "withdrawn"),
    };
    Event::Rollout {
        service: &order.service,
        version: &order.version,
        what,
        state: order.state.as_str(),
        lasts_ms: order.lasts_ms,
        revision: order.revision,
        from,
        age_ms: super::millis(node.feed.age(node.now())),
    }
    .emit();
}
