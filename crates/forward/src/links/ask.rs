//! Questions to peers about their links, and the answers to theirs.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use model::forward::{LinkQuery, LinkStatus};
use model::member::Node as PeerNode;

use super::{end_round, run_probes};
use crate::node::Node;
use crate::peers::{self, LINKS};

/// Timeout of a question; a peer that does not know probes targets first.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Asks some peers whether they reach the targets.
pub(super) async fn ask_peers(node: &Rc<Node>) {
    node.links.unsupported_peers.expire(node);
    let domain = node.settings().domain.clone();
    let is_supported = |p: &PeerNode| !node.links.unsupported_peers.contains(&p.id);
    let peers = node.peers.roster(|r| r.peers());
    let peers: Vec<PeerNode> = peers.into_iter().filter(is_supported).collect();
    let now = node.now();
    let asked = node.rng(|rng| node.links.peers.borrow().to_ask(&peers, &domain, now, rng));
    node.links.is_asking.send_replace(true);
    join_all(asked.iter().map(|peer| ask(node, peer))).await;
    node.links.is_asking.send_replace(false);
}

async fn ask(node: &Node, peer: &PeerNode) {
    let query = LinkQuery { from: node.peers.id.name.clone() };
    let answer = peers::call_named(node, &node.client, peer.entry, LINKS, &query, TIMEOUT).await;
    match answer {
        Ok(status) => node.links.peers.borrow_mut().record(peer, status, node.now()),
        Err(e) if peers::is_unsupported(&e) => node.links.unsupported_peers.record(peer, LINKS),
        Err(e) => {
            log::debug!("links: {e}");
            node.links.record_peer_failure(&peer.id, node.now());
        }
    }
}

/// Answers a peer's question; probes targets if none answered lately.
pub async fn answer_query(node: &Rc<Node>, query: &LinkQuery) -> LinkStatus {
    log::debug!("links: asked by {}", query.from);
    let is_proven = || node.links.machine(|m| m.is_proven(node.now()));
    if !is_proven() && !node.links.is_lost() {
        if node.links.machine(|m| m.begin_check(node.now())) {
            run_probes(node).await;
            end_round(node);
        } else {
            node.links.wait_for_round().await;
        }
    }
    let open = u32::try_from(node.open_requests()).unwrap_or(u32::MAX);
    let takes_requests = !node.is_stopping() && node.intake.limit().is_none();
    LinkStatus { reaches: is_proven() && takes_requests, open }
}
