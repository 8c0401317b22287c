//! Tells peers of requests under which targets ended.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use decide::quarantine::Outgoing;
use model::Time;
use model::forward::{MakerEnd, QuarantineNews, SuspectNews};
use model::member::{Node as PeerNode, NodeId};
use util::http::{CallError, Client};

use super::OWN;
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, AT_ONCE, QUARANTINE};

/// Time between looks at who is still to be told: peers come, or did not answer.
const LOOK: Duration = Duration::from_millis(250);
/// Time for a peer's answer, the farthest region's included.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a peer that did not answer is told again.
const AGAIN: Duration = Duration::from_millis(300);

/// Peers with a message under way, and those that did not answer.
#[derive(Default)]
pub(super) struct Pace {
    busy: RefCell<HashSet<NodeId>>,
    silent: RefCell<HashMap<NodeId, Time>>,
}

impl Pace {
    fn may(&self, peer: &NodeId, now: Time) -> bool {
        let is_silent = self.silent.borrow().get(peer).is_some_and(|at| now.since(*at) < AGAIN);
        !is_silent && !self.busy.borrow().contains(peer)
    }

    fn has_failed(&self, peer: &NodeId) -> bool {
        self.silent.borrow().contains_key(peer)
    }

    fn begin(&self, peer: &NodeId) {
        self.busy.borrow_mut().insert(peer.clone());
    }

    fn end(&self, peer: &NodeId, answered: bool, now: Time) {
        self.busy.borrow_mut().remove(peer);
        let mut silent = self.silent.borrow_mut();
        if answered {
            silent.remove(peer);
        } else {
            silent.insert(peer.clone(), now);
        }
    }

    fn free(&self) -> usize {
        AT_ONCE.saturating_sub(self.busy.borrow().len())
    }
}

/// Runs until the process ends.
pub async fn run(node: Rc<Node>) {
    let q = &node.quarantine;
    loop {
        if q.machine(|m| m.is_empty()) {
            q.changed.notified().await;
        } else {
            let _ = tokio::time::timeout(LOOK, q.changed.notified()).await;
        }
        let now = node.now();
        let changes = q.machine(|m| m.expire(now));
        q.take(OWN, changes);
        let peers = node.peers.roster(|r| r.peers());
        let may = |id: &NodeId| q.pace.may(id, now);
        let unsent = q.machine(|m| m.outgoing(&node.peers.id.name, &peers, may, now));
        for message in unsent.into_iter().take(q.pace.free()) {
            q.pace.begin(&message.peer.id);
            tokio::task::spawn_local(send(node.clone(), message));
        }
    }
}

fn news_of(node: &Node, suspects: Vec<SuspectNews>, makers: Vec<MakerEnd>) -> QuarantineNews {
    QuarantineNews { from: node.peers.id.clone(), suspects, makers }
}

/// Tells all peers of a maker's end, once: the node that took an attempt is not known. One that
/// does not hear of it misses one end of those that hold a request.
pub(super) fn tell_all(node: &Rc<Node>, end: MakerEnd) {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let question = news_of(&node, Vec::new(), vec![end]);
        let peers = node.peers.roster(|r| r.peers());
        let each = |_: &PeerNode, told: Result<QuarantineNews, CallError>| {
            let _ = told.inspect_err(|e| log::debug!("quarantine: {e}"));
        };
        peers::tell_many(&node, &peers, QUARANTINE, &question, TIMEOUT, each).await;
    });
}

async fn send(node: Rc<Node>, message: Outgoing) {
    let Outgoing { peer, news, versions } = message;
    let q = &node.quarantine;
    // A kept connection may have fallen silent.
    let fresh = q.pace.has_failed(&peer.id).then(|| Client::new(peers::CONNECT));
    let client = fresh.as_ref().unwrap_or(&node.client);
    let question = news_of(&node, news, Vec::new());
    let end = peers::tell(&node, client, peer.entry, QUARANTINE, &question, TIMEOUT).await;
    let has_answered = match end {
        Ok(beyond) => {
            q.hear(&node, &beyond);
            q.machine(|m| m.acknowledge(&peer.id, &versions));
            true
        }
        Err(e) if peers::is_unknown(&e) => {
            q.machine(|m| m.mark_unsupported(&peer.id));
            Event::Stranger { peer: &peer.id.name, what: QUARANTINE }.emit();
            true
        }
        Err(e) => {
            log::debug!("quarantine: {e}");
            false
        }
    };
    q.pace.end(&peer.id, has_answered, node.now());
    q.changed.notify_one();
}
