//! Peers whose build does not support one kind of message.

use std::cell::RefCell;
use std::collections::HashSet;

use model::member::{Node as PeerNode, NodeId};

use crate::events::Event;
use crate::node::Node;

/// Peers that do not know a kind of message.
#[derive(Debug, Default)]
pub struct UnsupportedPeers(RefCell<HashSet<NodeId>>);

impl UnsupportedPeers {
    /// Whether a peer does not know it, as far as known.
    pub fn contains(&self, id: &NodeId) -> bool {
        self.0.borrow().contains(id)
    }

    /// Up to `max` of them.
    pub fn first(&self, max: usize) -> Vec<NodeId> {
        self.0.borrow().iter().take(max).cloned().collect()
    }

    /// Adds peers that another node named.
    pub fn extend(&self, ids: &[NodeId]) {
        self.0.borrow_mut().extend(ids.iter().cloned());
    }

    /// Records that a peer does not know the message `what`.
    pub fn record(&self, peer: &PeerNode, what: &str) {
        if self.0.borrow_mut().insert(peer.id.clone()) {
            Event::Stranger { peer: &peer.id.name, what }.emit();
        }
    }

    /// Drops peers that are no longer up.
    pub fn expire(&self, node: &Node) {
        let mut peers = self.0.borrow_mut();
        if !peers.is_empty() {
            let up = node.peers.roster(|r| r.ids());
            peers.retain(|id| up.contains(id));
        }
    }
}
