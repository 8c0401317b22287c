//! Writes final states again that the store lost when it was restored from an older copy.

use std::rc::Rc;
use std::time::Duration;

use decide::rollout::LostState;

use super::{report, write};
use crate::node::Node;

/// Interval between two attempts.
const INTERVAL: Duration = Duration::from_millis(500);

/// Writes lost states, on the node that is ranked first for their orders, until the process ends.
pub async fn write_lost_states(node: Rc<Node>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        for LostState { order, state } in node.fleet(|f| f.versions().lost_states()) {
            let key = report::ranking_key(&order.service);
            if node.peers.roster(|r| r.coordinates(key.as_str(), node.now())) {
                // The list shows the outcome; until then the state is lost.
                write::set_order_state(&node, &order, state).await;
            }
        }
    }
}
