//! Announces to peers that a target names a limit, or none any more: a node that learns of the
//! limit from the target's keeper respects it before it has forwarded such a response itself.
//!
//! A peer that misses an announcement learns the limit from its own responses, so each peer gets an
//! announcement only once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::permit::{LimitObservation, MAX_TRANSIT};
use model::Name;
use model::forward::{LimitUpdate, Target, TargetId, TargetLimit};
use model::member::Node as PeerNode;
use tokio::sync::Notify;
use util::http::CallError;

use super::merge_from_peer;
use crate::node::Node;
use crate::peers::{self, LIMITS};

/// Time for which changes are collected, so that targets that start to name limits at the same time
/// share one message.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between two rounds of announcements: a target may name a limit in every other
/// response.
const MIN_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Targets whose limits are yet to be announced, with their failure domains.
#[derive(Default)]
pub(super) struct PendingUpdates {
    targets: RefCell<BTreeMap<TargetId, Name>>,
    added: Notify,
}

/// Runs until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        node.limits.pending_updates.added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let limits = drain_pending(&node);
        let peers = node.peers.roster(|r| r.peers());
        let known: Vec<_> =
            peers.into_iter().filter(|p| !node.limits.unsupported_peers.contains(&p.id)).collect();
        let update = LimitUpdate { limits, spread: false };
        let on_result = |peer: &PeerNode, result| record_send_result(&node, peer, result);
        peers::broadcast::<_, ()>(&node, &known, LIMITS, &update, MAX_TRANSIT, on_result).await;
        tokio::time::sleep(MIN_ROUND_INTERVAL).await;
    }
}

fn drain_pending(node: &Node) -> Vec<TargetLimit> {
    let targets = std::mem::take(&mut *node.limits.pending_updates.targets.borrow_mut());
    let now = node.now();
    let limit = |(target, domain): (TargetId, Name)| {
        let observation = node.limits.issuer(|i| i.observation(&target))?.to_peer(now);
        Some(TargetLimit { target, domain, limit: observation })
    };
    targets.into_iter().filter_map(limit).collect()
}

/// Handles the result of a message to a peer.
fn record_send_result(node: &Node, peer: &PeerNode, result: Result<(), CallError>) {
    match result {
        Ok(()) => {}
        Err(e) if peers::is_unsupported(&e) => node.limits.unsupported_peers.record(peer, LIMITS),
        Err(e) => log::debug!("limits: {e}"),
    }
}

/// Queues an announcement of a target's limit to all peers.
pub(super) fn announce(node: &Node, target: &TargetId, domain: &Name) {
    let unsent = &node.limits.pending_updates;
    unsent.targets.borrow_mut().insert(target.clone(), domain.clone());
    unsent.added.notify_one();
}

/// Reports an observation of a response to the target's keeper.
pub(super) fn report_to_keeper(node: &Rc<Node>, target: &Target, observation: LimitObservation) {
    let (id, domain) = (target.id.clone(), target.domain.clone());
    match node.limits.keeper(node, &id, &domain) {
        None => {}
        Some(None) => merge_as_keeper(node, &id, &domain, observation),
        Some(Some(peer)) => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let limit =
                    TargetLimit { target: id, domain, limit: observation.to_peer(node.now()) };
                let update = LimitUpdate { limits: vec![limit], spread: true };
                let client = &node.client;
                // If the report is lost, the next permit request carries the observation.
                let result =
                    peers::call_named(&node, client, peer.entry, LIMITS, &update, MAX_TRANSIT)
                        .await;
                record_send_result(&node, &peer, result);
            });
        }
    }
}

/// Merges an observation as the target's keeper, and announces a change.
pub(super) fn merge_as_keeper(
    node: &Node,
    target: &TargetId,
    domain: &Name,
    observation: LimitObservation,
) {
    let now = node.now();
    if node.limits.issuer(|i| i.merge(target, observation, now)) {
        announce(node, target, domain);
    }
}

/// Handles a message about limits from a peer.
pub fn handle_update(node: &Node, update: LimitUpdate) {
    let now = node.now();
    for TargetLimit { target, domain, limit: observation } in update.limits {
        let observation = LimitObservation::from_peer(&observation, now);
        let from = if update.spread { "witness" } else { "peer" };
        merge_from_peer(node, &target, observation, from);
        if update.spread {
            merge_as_keeper(node, &target, &domain, observation);
        }
    }
}
