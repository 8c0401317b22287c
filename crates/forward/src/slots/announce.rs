//! Tells all nodes that targets of a service are brittle, so that those that have had no answer of
//! one ask for slots too.
//!
//! A node that reads it in an answer tells the announcer of the service, which tells all others;
//! nodes that were told tell no one for a while.

use std::rc::Rc;
use std::time::Duration;

use model::Name;
use model::forward::BrittleNotice;
use model::member::Node as PeerNode;
use util::http::CallError;

use crate::node::Node;
use crate::peers::{self, BRITTLE};

/// Timeout of a notice.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Reports what an answer says to the announcer of its service, unless all were told lately.
pub(super) fn report(node: &Rc<Node>, service: &Name, max_rejected: u32) {
    let now = node.now();
    if !node.fleet(|f| f.brittle_mut().begin_announcement(service, now)) {
        return;
    }
    let announcer = node.peers.roster(|r| r.coordinators(&**service, now).next());
    let notice = BrittleNotice { service: service.clone(), max_rejected, spread: true };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        match announcer {
            Some(Some(peer)) => send(&node, &peer, &notice).await,
            Some(None) => announce(&node, notice).await,
            None => {}
        }
    });
}

/// Handles a notice of a peer.
pub fn handle_notice(node: &Rc<Node>, notice: BrittleNotice) {
    let (service, max, now) = (&notice.service, notice.max_rejected, node.now());
    node.fleet(|f| f.brittle_mut().record_service(service, max, now));
    let is_due = node.fleet(|f| f.brittle_mut().begin_announcement(service, now));
    if notice.spread && is_due {
        let node = node.clone();
        tokio::task::spawn_local(async move { announce(&node, notice).await });
    }
}

async fn announce(node: &Node, notice: BrittleNotice) {
    let notice = BrittleNotice { spread: false, ..notice };
    let is_supported = |p: &PeerNode| !node.slots.unsupported_peers.contains(&p.id);
    let peers = node.peers.roster(|r| r.peers()).into_iter().filter(is_supported);
    let peers: Vec<PeerNode> = peers.collect();
    let on_result = |peer: &PeerNode, result| record_result(node, peer, result);
    peers::broadcast::<_, ()>(node, &peers, BRITTLE, &notice, TIMEOUT, on_result).await;
}

async fn send(node: &Node, peer: &PeerNode, notice: &BrittleNotice) {
    let client = &node.client;
    let sent = peers::call_named(node, client, peer.entry, BRITTLE, notice, TIMEOUT).await;
    record_result(node, peer, sent);
}

fn record_result(node: &Node, peer: &PeerNode, result: Result<(), CallError>) {
    match result {
        Ok(()) => {}
        Err(e) if peers::is_unsupported(&e) => node.slots.unsupported_peers.record(peer, BRITTLE),
        Err(e) => log::debug!("brittle: {e}"),
    }
}
