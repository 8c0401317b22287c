//! Writes the state of an order to the store: by this node, or where the store turns it away,
//! by a peer.

use std::rc::Rc;
use std::time::Duration;

use model::forward::{Rollout, RolloutState};
use model::member::Node as PeerNode;
use util::http::{CallError, Client};

use super::report;
use crate::border::Put;
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, ROLLOUT_STATE, RemoteState};
use crate::watch::STORE_CONNECT;

/// Time for the store's answer. One that is slow by 60 times takes 240 ms; without an answer
/// the watch tells what became of the write.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a peer that writes in this node's place.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Peers asked to write, one after the other. A store that turns some nodes away serves others;
/// one that is down serves nobody.
const MAX_PEERS: usize = 2;
/// Status of a write under a condition that does not hold any more.
const CONFLICT: u16 = 409;
/// Status of a write to what is gone.
const NOT_FOUND: u16 = 404;
/// Calls of the store in the node's figures.
const CALL_LABEL: &str = "rollout_state";

/// Sets the state of an order unless it has changed since; returns whether it stands.
pub(super) async fn set_order_state(node: &Rc<Node>, order: &Rollout, state: RolloutState) -> bool {
    match write_to_store(node, order, state).await {
        WriteOutcome::Applied => true,
        WriteOutcome::Conflict => false,
        // It may have been done: the condition keeps it from being done twice.
        WriteOutcome::Unknown => write_via_peers(node, order, state).await,
    }
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was done.
    Applied,
    /// Its condition does not hold any more.
    Conflict,
    /// The store could not be reached, turned this node away, or did not answer.
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

/// Writes by a call of this node's own.
pub async fn write_to_store(node: &Node, order: &Rollout, state: RolloutState) -> WriteOutcome {
    let started = node.now();
    let Put { path, media, body } = node.dialect.set_rollout(order, state);
    node.metrics.store_call(CALL_LABEL);
    let store = node.settings().store.to_string();
    // A connection of its own: one whose answer was lost says nothing further.
    let client = Client::new(STORE_CONNECT);
    let result = client.put(&store, &path, media, body, TIMEOUT).await;
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

/// Has peers write, until one of them knows what became of it.
async fn write_via_peers(node: &Rc<Node>, order: &Rollout, state: RolloutState) -> bool {
    let key = report::ranking_key(&order.service);
    let candidates: Vec<PeerNode> = node
        .peers
        .roster(|r| r.coordinators(key.as_str(), node.now()).flatten().take(MAX_PEERS).collect());
    let message = RemoteState { order: order.clone(), state };
    for peer in candidates {
        match peers::ask(node, peer.entry, ROLLOUT_STATE, &message, PEER_TIMEOUT).await {
            Ok(Some(applied)) => return applied,
            Ok(None) => {}
            Err(e) => log::debug!("rollout: {e}"),
        }
    }
    false
}
