//! Sends reports of requests under which targets crashed to the peers.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use decide::quarantine::Outgoing;
use model::Time;
use model::forward::{QuarantineReport, SuspectReport, WorkerCrash};
use model::member::{Node as PeerNode, NodeId};
use util::http::{CallError, Client};

use super::OWN_REQUESTS;
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, MAX_CONCURRENT_SENDS, QUARANTINE};

/// Interval at which peers that still need a report are looked for, because they have joined or
/// did not answer.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for a peer's answer, long enough for the farthest region.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a report is sent again to a peer that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Peers with a report in flight, and peers that did not answer the last one.
#[derive(Default)]
pub(super) struct PeerSends {
    in_flight: RefCell<HashSet<NodeId>>,
    failed_at: RefCell<HashMap<NodeId, Time>>,
}

impl PeerSends {
    fn can_send(&self, peer: &NodeId, now: Time) -> bool {
        let is_delayed =
            self.failed_at.borrow().get(peer).is_some_and(|at| now.since(*at) < RETRY_DELAY);
        !is_delayed && !self.in_flight.borrow().contains(peer)
    }

    fn has_failed(&self, peer: &NodeId) -> bool {
        self.failed_at.borrow().contains_key(peer)
    }

    fn start_send(&self, peer: &NodeId) {
        self.in_flight.borrow_mut().insert(peer.clone());
    }

    fn finish_send(&self, peer: &NodeId, answered: bool, now: Time) {
        self.in_flight.borrow_mut().remove(peer);
        let mut failed_at = self.failed_at.borrow_mut();
        if answered {
            failed_at.remove(peer);
        } else {
            failed_at.insert(peer.clone(), now);
        }
    }

    fn free_slots(&self) -> usize {
        MAX_CONCURRENT_SENDS.saturating_sub(self.in_flight.borrow().len())
    }
}

/// Sends reports until the process ends.
pub async fn run(node: Rc<Node>) {
    let q = &node.quarantine;
    loop {
        if q.machine(|m| m.is_empty()) {
            q.changed.notified().await;
        } else {
            let _ = tokio::time::timeout(SCAN_INTERVAL, q.changed.notified()).await;
        }
        let now = node.now();
        let changes = q.machine(|m| m.expire(now));
        q.handle_changes(OWN_REQUESTS, changes);
        let peers = node.peers.roster(|r| r.peers());
        let can_send = |id: &NodeId| q.peer_sends.can_send(id, now);
        let messages = q.machine(|m| m.outgoing(&node.peers.id.name, &peers, can_send, now));
        for message in messages.into_iter().take(q.peer_sends.free_slots()) {
            q.peer_sends.start_send(&message.peer.id);
            tokio::task::spawn_local(send(node.clone(), message));
        }
    }
}

fn build_report(
    node: &Node,
    suspects: Vec<SuspectReport>,
    worker_crashes: Vec<WorkerCrash>,
) -> QuarantineReport {
    QuarantineReport { from: node.peers.id.clone(), suspects, worker_crashes }
}

/// Reports a worker's crash to all peers, since the nodes that serve its attempts are not known.
/// The report is sent once: a peer that misses it counts one crash too few towards a hold.
pub(super) fn broadcast_crash(node: &Rc<Node>, crash: WorkerCrash) {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let report = build_report(&node, Vec::new(), vec![crash]);
        let peers = node.peers.roster(|r| r.peers());
        let each = |_: &PeerNode, result: Result<QuarantineReport, CallError>| {
            let _ = result.inspect_err(|e| log::debug!("quarantine: crash report failed: {e}"));
        };
        peers::broadcast(&node, &peers, QUARANTINE, &report, TIMEOUT, each).await;
    });
}

async fn send(node: Rc<Node>, message: Outgoing) {
    let Outgoing { peer, reports, versions } = message;
    let q = &node.quarantine;
    // The existing connection may have fallen silent.
    let new_client = q.peer_sends.has_failed(&peer.id).then(|| Client::new(peers::CONNECT_TIMEOUT));
    let client = new_client.as_ref().unwrap_or(&node.client);
    let report = build_report(&node, reports, Vec::new());
    let result = peers::call_named(&node, client, peer.entry, QUARANTINE, &report, TIMEOUT).await;
    let answered = match result {
        Ok(reply) => {
            q.merge_report(&node, &reply);
            q.machine(|m| m.acknowledge(&peer.id, &versions));
            true
        }
        Err(e) if peers::is_unsupported(&e) => {
            q.machine(|m| m.mark_unsupported(&peer.id));
            Event::Stranger { peer: &peer.id.name, what: QUARANTINE }.emit();
            true
        }
        Err(e) => {
            log::debug!("quarantine: report failed: {e}");
            false
        }
    };
    q.peer_sends.finish_send(&peer.id, answered, node.now());
    q.changed.notify_one();
}
