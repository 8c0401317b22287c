//! Roll-outs: what a list of their orders changes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Entry, List};
use decide::rollout::RolloutChange;
use model::Name;
use model::forward::{FollowAsk, Rollout, Rollouts};
use util::http::Client;

use super::lists::Listed;
use super::relays;
use crate::border::{Change, Kind};
use crate::events::Event;
use crate::node::Node;
use crate::peers;

/// Time for a peer that is asked at the start, over a new connection.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between looks at whether any peer is known yet.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// Time after which a node that found no peer goes on without one: most are found within a
/// second, and until then one of a service's versions serves alone.
const ASK_LONGEST: Duration = Duration::from_secs(3);
/// Peers asked: one may have just started too.
const ASKED: usize = 3;

impl Listed for Rollouts {
    const KIND: Kind = Kind::Rollouts;
    type Object = Rollout;

    fn entry(change: Change) -> Option<(Name, Entry<Rollout>)> {
        match change {
            Change::Rollout(order) => Some((order.service.clone(), Entry::Present(order))),
            Change::Unreadable(service) => Some((service, Entry::Unreadable)),
            Change::Gone(service) => Some((service, Entry::Removed)),
            Change::Rules(_) | Change::Target(_) | Change::Evacuated(_) | Change::Held(_) => None,
        }
    }

    fn known(node: &Node) -> BTreeMap<Name, Rollout> {
        let orders = node.fleet(|f| f.versions().list()).unwrap_or_default().orders;
        orders.into_iter().map(|order| (order.service.clone(), order)).collect()
    }

    fn take(node: &Node, at: u64, list: &List<Rollout>) {
        let orders = list.objects().values().cloned().collect();
        let unreadable = list.unreadable().cloned().collect();
        take(node, Rollouts { at, orders, unreadable, withdrawn: Vec::new() }, "store");
    }

    fn is_current(node: &Node) -> bool {
        node.fleet(|f| f.versions().is_current())
    }

    /// A version that came beside another one gets nothing before orders are known up to then.
    fn needed(node: &Node) -> Option<u64> {
        node.fleet(|f| f.versions().unsettled())
    }
}

/// Asks peers, at the start, which orders were withdrawn before: the store does not tell.
pub(super) async fn ask_peers(node: Rc<Node>) {
    let limit = node.now() + ASK_LONGEST;
    while node.now() < limit && !ask_some(&node).await {
        tokio::time::sleep(ASK_EVERY).await;
    }
    node.fleet(|f| f.versions_mut().set_awaiting_peers(false));
}

/// Takes what some peers know of orders; whether any answered.
async fn ask_some(node: &Rc<Node>) -> bool {
    let client = Client::new(peers::CONNECT);
    // Of the targets, nothing.
    let ask = FollowAsk {
        at: u64::MAX,
        rules: node.table().rules.version,
        evacuations: node.fleet(|f| f.evacuated().at()),
        rollouts: None,
        wait_ms: 0,
        patient: false,
    };
    let mut answered = false;
    for peer in relays(node).peers.iter().take(ASKED) {
        let asked = peers::follow(node, &client, peer.entry, &ask, None, ASK_TIMEOUT);
        let answer = match asked.await {
            Ok(followed) if !node.is_current(followed.epoch) => continue,
            Ok(followed) => followed.answer,
            Err(e) => {
                log::debug!("orders: {e}");
                continue;
            }
        };
        if let Some(list) = answer.rollouts {
            answered = true;
            take(node, list, &peer.id.name);
        }
    }
    answered
}

/// Puts a list in force unless a newer one is, and tells the peers that follow this node.
pub(super) fn take(node: &Node, list: Rollouts, from: &str) {
    let now = node.now();
    let (was_known, was_unsettled) =
        node.fleet(|f| (f.versions().is_known(), f.versions().unsettled().is_some()));
    let changes = node.fleet(|f| f.versions_mut().apply(list, now));
    for change in &changes {
        tell(node, change, from);
        node.rollouts.handle_change(change, now);
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
