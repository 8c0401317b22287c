//! Writes the state of an order to the store.

use std::time::Duration;

use model::forward::{Rollout, RolloutState};
use util::http::Client;

use crate::border::Put;
use crate::events::Event;
use crate::node::Node;
use crate::watch::STORE_CONNECT;

/// Time for the store's answer. One that is slow by 60 times takes 240 ms; without an answer
/// the watch tells what became of the write.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Status of a write under a condition that does not hold any more.
const CONFLICT: u16 = 409;
/// Status of a write to what is gone.
const NOT_FOUND: u16 = 404;
/// Calls of the store in the node's figures.
const WHAT: &str = "rollout_state";

/// Sets the state of an order unless it has changed since; returns whether it stands.
pub(super) async fn set(node: &Node, order: &Rollout, state: RolloutState) -> bool {
    let begun = node.now();
    let Put { path, media, body } = node.dialect.set_rollout(order, state);
    node.metrics.store_call(WHAT);
    let store = node.settings().store.to_string();
    // A connection of its own: one whose answer was lost says nothing further.
    let client = Client::new(STORE_CONNECT);
    let end = client.put(&store, &path, media, body, TIMEOUT).await;
    let (outcome, why) = match &end {
        Ok(()) => ("written", String::new()),
        Err(e) => match e.status() {
            Some(CONFLICT) => ("changed", e.to_string()),
            Some(NOT_FOUND) => ("gone", e.to_string()),
            Some(_) => ("refused", e.to_string()),
            None if e.not_sent() => ("not_sent", e.to_string()),
            None => ("unknown", e.to_string()),
        },
    };
    Event::RolloutWrite {
        service: &order.service,
        version: &order.version,
        state: state.as_str(),
        revision: order.revision,
        outcome,
        why: &why,
        took_ms: node.now().since(begun).as_millis() as u64,
    }
    .emit();
    end.is_ok()
}
