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
use crate::peers::{self, ROLLOUT_STATE, StateWrite};
use crate::watch::STORE_CONNECT_TIMEOUT;

/// Time for the store's answer. One that is slow by 60 times takes 240 ms; without an answer
/// the watch tells what became of the write.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a peer that writes in this node's place.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Peers asked to write, one after the other. A store that turns some nodes away serves others;
/// one that is down serves nobody.
const PEERS: usize = 2;
/// Status of a write under a condition that does not hold any more.
const CONFLICT: u16 = 409;
/// Status of a write to what is gone.
const NOT_FOUND: u16 = 404;
/// Calls of the store in the node's figures.
const WHAT: &str = "rollout_state";

/// Sets the state of an order unless it has changed since; returns whether it stands.
pub(super) async fn set(node: &Rc<Node>, order: &Rollout, state: RolloutState) -> bool {
    match at_store(node, order, state).await {
        Written::Stands => true,
        Written::Not => false,
        // It may have been done: the condition keeps it from being done twice.
        Written::Unknown => through_peers(node, order, state).await,
    }
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It was done.
    Stands,
    /// Its condition does not hold any more.
    Not,
    /// The store could not be reached, turned this node away, or did not answer.
    Unknown,
}

impl Written {
    fn of(end: &Result<(), CallError>) -> Written {
        match end {
            Ok(()) => Written::Stands,
            Err(e) if matches!(e.status(), Some(CONFLICT | NOT_FOUND)) => Written::Not,
            Err(_) => Written::Unknown,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Written::Stands => "written",
            Written::Not => "changed",
            Written::Unknown => "unknown",
        }
    }
}

/// Writes by a call of this node's own.
pub async fn at_store(node: &Node, order: &Rollout, state: RolloutState) -> Written {
    let begun = node.now();
    let Put { path, content_type, body } = node.dialect.set_rollout(order, state);
    node.metrics.count_store_call(WHAT);
    let store = node.settings().store.to_string();
    // A connection of its own: one whose answer was lost says nothing further.
    let client = Client::new(STORE_CONNECT_TIMEOUT);
    let end = client.put(&store, &path, content_type, body, TIMEOUT).await;
    let written = Written::of(&end);
    let why = end.err().map(|e| e.to_string()).unwrap_or_default();
    Event::RolloutWrite {
        service: &order.service,
        version: &order.version,
        state: state.as_str(),
        revision: order.revision,
        outcome: written.as_str(),
        why: &why,
        took_ms: node.now().since(begun).as_millis() as u64,
    }
    .emit();
    written
}

/// Has peers write, until one of them knows what became of it.
async fn through_peers(node: &Rc<Node>, order: &Rollout, state: RolloutState) -> bool {
    let key = report::key(&order.service);
    let first: Vec<PeerNode> = node
        .peers
        .roster(|r| r.coordinators(key.as_str(), node.now()).flatten().take(PEERS).collect());
    let message = StateWrite { order: order.clone(), state };
    for peer in first {
        match peers::call(node, peer.entry, ROLLOUT_STATE, &message, PEER_TIMEOUT).await {
            Ok(Some(stands)) => return stands,
            Ok(None) => {}
            Err(e) => log::debug!("rollout: {e}"),
        }
    }
    false
}
