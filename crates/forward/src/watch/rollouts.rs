//! Applies lists of rollout orders.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Entry, List};
use decide::rollout::RolloutChange;
use model::Name;
use model::forward::{FollowAsk, Rollout, Rollouts};
use util::http::Client;

use super::lists::ListKind;
use super::relays;
use crate::border::{Change, ObjectKind};
use crate::events::Event;
use crate::node::Node;
use crate::peers;

/// Timeout of a query to a peer at the start, over a new connection.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between queries until a peer is known and answers.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a node that found no peer continues without one. Most peers are found within a
/// second, and until then only one version of each service serves.
const MAX_ASK_TIME: Duration = Duration::from_secs(3);
/// Maximum number of peers queried, since one may have just started too.
const MAX_ASKED_PEERS: usize = 3;

impl ListKind for Rollouts {
    const KIND: ObjectKind = ObjectKind::Rollouts;
    type Object = Rollout;

    fn entry(change: Change) -> Option<(Name, Entry<Rollout>)> {
        match change {
            Change::Rollout(order) => Some((order.service.clone(), Entry::Present(order))),
            Change::Unreadable(service) => Some((service, Entry::Unreadable)),
            Change::Removed(service) => Some((service, Entry::Removed)),
            Change::Rules(_) | Change::Target(_) | Change::Evacuated(_) | Change::Held(_) => None,
        }
    }

    fn in_force(node: &Node) -> BTreeMap<Name, Rollout> {
        let orders = node.fleet(|f| f.versions().list()).unwrap_or_default().orders;
        orders.into_iter().map(|order| (order.service.clone(), order)).collect()
    }

    fn apply(node: &Node, at: u64, list: &List<Rollout>) {
        let orders = list.objects().values().cloned().collect();
        let unreadable = list.unreadable().cloned().collect();
        apply(node, Rollouts { at, orders, unreadable, withdrawn: Vec::new() }, "store");
    }

    fn is_current(node: &Node) -> bool {
        node.fleet(|f| f.versions().is_current())
    }

    /// A version that appears beside another one gets no requests until the orders are known up to
    /// the revision at which it appeared.
    fn required_revision(node: &Node) -> Option<u64> {
        node.fleet(|f| f.versions().unsettled())
    }
}

/// Asks peers at the start which orders were withdrawn before, since the store does not record it.
pub(super) async fn ask_peers(node: Rc<Node>) {
    let deadline = node.now() + MAX_ASK_TIME;
    while node.now() < deadline && !ask_relay_peers(&node).await {
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    node.fleet(|f| f.versions_mut().set_awaiting_peers(false));
}

/// Applies the orders that some peers know. Returns whether any of them has read orders.
async fn ask_relay_peers(node: &Rc<Node>) -> bool {
    let client = Client::new(peers::CONNECT_TIMEOUT);
    // No targets are requested.
    let ask = FollowAsk {
        at: u64::MAX,
        rules: node.table().rules.version,
        evacuations: node.fleet(|f| f.evacuated().revision()),
        rollouts: None,
        wait_ms: 0,
        patient: false,
    };
    let mut answered = false;
    for peer in relays(node).peers.iter().take(MAX_ASKED_PEERS) {
        let response = peers::follow(node, &client, peer.entry, &ask, None, ASK_TIMEOUT);
        let answer = match response.await {
            Ok(response) if !node.is_current_epoch(response.epoch) => continue,
            Ok(response) => response.answer,
            Err(e) => {
                log::debug!("orders: query of a peer failed: {e}");
                continue;
            }
        };
        if let Some(list) = answer.rollouts {
            answered = true;
            apply(node, list, &peer.id.name);
        }
    }
    answered
}

/// Applies a list unless a newer one is in force, and notifies the peers that follow this node.
pub(super) fn apply(node: &Node, list: Rollouts, from: &str) {
    let now = node.now();
    let (was_known, was_unsettled) =
        node.fleet(|f| (f.versions().is_known(), f.versions().unsettled().is_some()));
    let changes = node.fleet(|f| f.versions_mut().apply(list, now));
    handle_changes(node, &changes, from);
    let is_settled = node.fleet(|f| f.versions().unsettled().is_none());
    if !changes.is_empty() || !was_known || (was_unsettled && is_settled) {
        node.feed.notify();
    }
}

/// Applies what has become certain since the store was restored from an older copy.
pub(super) fn settle(node: &Node) {
    let now = node.now();
    if !node.fleet(|f| f.versions().is_settle_due(now)) {
        return;
    }
    let changes = node.fleet(|f| f.versions_mut().settle(now));
    handle_changes(node, &changes, "settled");
    if !changes.is_empty() {
        node.feed.notify();
    }
}

fn handle_changes(node: &Node, changes: &[RolloutChange], from: &str) {
    let now = node.now();
    for change in changes {
        log_change(node, change, from);
        node.rollouts.handle_change(change, now);
    }
}

fn log_change(node: &Node, change: &RolloutChange, from: &str) {
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
