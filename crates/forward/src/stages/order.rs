//! Places an order with the batch coordinator of its service, wherever it runs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::forward::{BatchAnswer, BatchOrder, PieceResult};
use model::member::Node as PeerNode;

use crate::node::Node;
use crate::peers::BATCH;

/// Coordinators asked before the node batches by itself.
const ASKED: usize = 2;
/// Time between looks at whether the coordinator is still up.
const LOOK: Duration = Duration::from_millis(100);

/// Results, and the peer whose coordinator made them; `None` if it was this node's.
pub struct Placed {
    /// Results in the order's order.
    pub results: Vec<PieceResult>,
    /// Where the coordinator runs.
    pub peer: Option<SocketAddr>,
}

/// Places the order; after its coordinators fail, this node makes the calls itself.
pub async fn place(node: &Rc<Node>, order: BatchOrder) -> Placed {
    let n = order.pieces.len();
    let (me, stops) = (&node.settings.name, node.is_stopping());
    let order_of = node.peers.coordinators(me, stops, &order.service);
    for coordinator in order_of.into_iter().take(ASKED) {
        let Some(peer) = coordinator else {
            break;
        };
        match ask(node, &peer, &order).await {
            Some(results) if results.len() == n => {
                return Placed { results, peer: Some(peer.entry) };
            }
            _ => log::info!("batch: coordinator {} of {} lost", peer.id.name, order.service),
        }
    }
    let results = node.pools.order(node, order).await;
    let results = results.unwrap_or_else(|| vec![PieceResult::Failed; n]);
    Placed { results, peer: None }
}

async fn ask(node: &Rc<Node>, peer: &PeerNode, order: &BatchOrder) -> Option<Vec<PieceResult>> {
    let address = peer.entry.to_string();
    let timeout = Duration::from_millis(order.left_ms);
    let call = node.client.rmp::<_, BatchAnswer>(&address, BATCH, order, timeout);
    tokio::select! {
        answer = call => answer.ok().map(|a| a.results),
        () = lost(node, peer) => None,
    }
}

/// Returns once the peer is suspected or gone.
async fn lost(node: &Rc<Node>, peer: &PeerNode) {
    while node.peers.is_sound(&peer.id) {
        tokio::time::sleep(LOOK).await;
    }
}
