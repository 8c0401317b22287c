//! Writes the state of an order to the store, through a peer if the store does not answer this
//! node.

use std::rc::Rc;
use std::time::Duration;

use model::forward::{Rollout, RolloutState};
use model::member::Node as PeerNode;
use util::http::{CallError, Client};

use super::report;
use crate::border::Put;
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, ROLLOUT_STATE, StateWrite};
use crate::watch::STORE_CONNECT_TIMEOUT;

/// Timeout of a write. A store 60 times slower than normal answers in 240 ms; if there is no
/// answer, the watch shows whether the write was applied.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a peer that writes on behalf of this node.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of peers asked, in turn. A store that rejects some nodes may serve others; if it
/// is down, it serves none.
const MAX_PEERS: usize = 2;
/// Status of a write whose precondition failed.
const CONFLICT: u16 = 409;
/// Status of a write to a removed order.
const NOT_FOUND: u16 = 404;
/// Label of these calls in the metric of store calls.
const CALL_LABEL: &str = "rollout_state";

/// Sets the state of an order unless the order has changed; returns whether the write was applied.
pub(super) async fn set_order_state(node: &Rc<Node>, order: &Rollout, state: RolloutState) -> bool {
    match write_to_store(node, order, state).await {
        WriteOutcome::Applied => true,
        WriteOutcome::Conflict => false,
        // It may have been applied; the precondition prevents a second application.
        WriteOutcome::Unknown => write_via_peers(node, order, state).await,
    }
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied.
    Applied,
    /// The order has changed or was removed.
    Conflict,
    /// The store could not be reached, rejected this node, or did not answer.
    Unknown,
}

impl WriteOutcome {
    fn from_result(result: &Result<(), CallError>) -> WriteOutcome {
        match result {
            Ok(()) => WriteOutcome::Applied,
            Err(e) if matches!(e.status(), Some(CONFLICT | NOT_FOUND)) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            WriteOutcome::Applied => "written",
            WriteOutcome::Conflict => "changed",
            WriteOutcome::Unknown => "unknown",
        }
    }
}

/// Writes directly from this node.
pub async fn write_to_store(node: &Node, order: &Rollout, state: RolloutState) -> WriteOutcome {
    let started = node.now();
    let Put { path, content_type, body } = node.dialect.set_rollout(order, state);
    node.metrics.count_store_call(CALL_LABEL);
    let store = node.settings().store.to_string();
    // A new connection per write: after a lost answer, an old one would not answer this one either.
    let client = Client::new(STORE_CONNECT_TIMEOUT);
    let result = client.put(&store, &path, content_type, body, TIMEOUT).await;
    let outcome = WriteOutcome::from_result(&result);
    let why = result.err().map(|e| e.to_string()).unwrap_or_default();
    Event::RolloutWrite {
        service: &order.service,
        version: &order.version,
        state: state.as_str(),
        revision: order.revision,
        outcome: outcome.as_str(),
        why: &why,
        took_ms: node.now().since(started).as_millis() as u64,
    }
    .emit();
    outcome
}

/// Asks peers to write, until one of them knows the outcome.
async fn write_via_peers(node: &Rc<Node>, order: &Rollout, state: RolloutState) -> bool {
    let key = report::ranking_key(&order.service);
    let candidates: Vec<PeerNode> = node
        .peers
        .roster(|r| r.coordinators(key.as_str(), node.now()).flatten().take(MAX_PEERS).collect());
    let message = StateWrite { order: order.clone(), state };
    for peer in candidates {
        match peers::call(node, peer.entry, ROLLOUT_STATE, &message, PEER_TIMEOUT).await {
            Ok(Some(applied)) => return applied,
            Ok(None) => {}
            Err(e) => log::debug!("rollout: write via a peer failed: {e}"),
        }
    }
    false
}
