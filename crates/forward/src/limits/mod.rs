//! Limits that targets name in their answers: what this node knows of them, the permits that it
//! asks for and gives out, and what nodes tell each other.

mod ask;
mod spread;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use decide::permit::{LimitChange, LimitObservation, PermitIssuer, RetryPacer};
use model::forward::{NamedLimit, Target, TargetId};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;
use crate::peers::PeerBackoff;

pub use ask::{Permit, answer, permit};
pub use spread::take;

/// Why a request is refused that no target may get.
pub const AT_LIMIT: &str = "its targets are at the limits that they name";

/// Limits that targets name, as this node keeps and follows them.
#[derive(Default)]
pub struct LocalLimits {
    book: RefCell<PermitIssuer>,
    /// Peers whose build keeps no limits.
    strangers: RefCell<HashSet<NodeId>>,
    /// Keepers that did not answer.
    resting: PeerBackoff,
    returns: RefCell<HashMap<Name, RetryPacer>>,
    unsent: spread::Unsent,
}

impl LocalLimits {
    /// Uses what this node gives out for a moment.
    fn book<T>(&self, f: impl FnOnce(&mut PermitIssuer) -> T) -> T {
        f(&mut self.book.borrow_mut())
    }

    /// Forgets what nobody asked for in a long time, and peers that are gone.
    pub fn expire(&self, node: &Node) {
        self.book(|b| b.expire(node.now()));
        let mut strangers = self.strangers.borrow_mut();
        if !strangers.is_empty() {
            let up = node.peers.roster(|r| r.ids());
            strangers.retain(|id| up.contains(id));
        }
    }

    fn is_stranger(&self, id: &NodeId) -> bool {
        self.strangers.borrow().contains(id)
    }

    /// So many of these peers, at most.
    fn strangers(&self, most: usize) -> Vec<NodeId> {
        self.strangers.borrow().iter().take(most).cloned().collect()
    }

    fn note_strangers(&self, ids: &[NodeId]) {
        self.strangers.borrow_mut().extend(ids.iter().cloned());
    }

    /// A peer's build keeps no limits.
    fn note_stranger(&self, peer: &PeerNode, what: &str) {
        if self.strangers.borrow_mut().insert(peer.id.clone()) {
            Event::Stranger { peer: &peer.id.name, what }.emit();
        }
    }

    /// Who keeps a target: `Some(None)` is this node, `None` if that is not known yet.
    fn keeper(&self, node: &Node, target: &TargetId, domain: &str) -> Option<Option<PeerNode>> {
        let (name, now) = (&target.name, node.now());
        node.peers.roster(|r| r.keeper(name, domain, |id| self.is_stranger(id), now))
    }

    /// Time after which a caller of a service may come back whose targets are all at their limits;
    /// `None` if there is another reason why none gets a request.
    pub fn come_back(&self, node: &Node, service: &Name, targets: &[TargetId]) -> Option<Duration> {
        let now = node.now();
        let (soonest, pace) = node.fleet(|f| {
            let closed = targets.iter().map(|id| f.limits().closed_until(id));
            let soonest = closed.collect::<Option<Vec<Time>>>()?.into_iter().min()?;
            let limits = targets.iter().filter_map(|id| f.limits().get(id));
            Some((soonest.since(now), limits.map(decide::permit::issue_rate).sum::<f64>()))
        })?;
        let nodes = node.peers.roster(|r| r.count());
        let mut returns = self.returns.borrow_mut();
        Some(returns.entry(service.clone()).or_default().next(soonest, pace, nodes, now))
    }
}

/// Starts to tell peers of limits.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(spread::run(node.clone()));
}

/// Takes what an answer says of its target's limit; the request was sent at `sent`.
pub fn hear(node: &Rc<Node>, target: &Target, said: NamedLimit, sent: Time) {
    let now = node.now();
    let Some(change) = node.fleet(|f| f.record_limit(&target.id, said, sent, now)) else {
        return;
    };
    tell(target, "answer", change);
    let per_s = match change {
        LimitChange::Named(per_s) => Some(per_s),
        LimitChange::Ended => None,
        LimitChange::Unreadable => return,
    };
    spread::tell_keeper(node, target, LimitObservation { per_s, sent_at: sent, received_at: now });
}

/// Takes what a peer tells of a limit.
fn learn(node: &Node, target: &TargetId, word: LimitObservation, from: &str) {
    let Some(change) = node.fleet(|f| f.merge_peer_limit(target, word)) else {
        return;
    };
    if let Some(known) = node.fleet(|f| f.get(target).map(|b| b.target.clone())) {
        tell(&known, from, change);
    }
}

fn tell(target: &Target, from: &str, change: LimitChange) {
    let (what, per_s) = match change {
        LimitChange::Named(per_s) => ("named", Some(per_s)),
        LimitChange::Ended => ("ended", None),
        LimitChange::Unreadable => ("unreadable", None),
    };
    Event::Limit { target: &target.id.name, service: &target.service, what, per_s, from }.emit();
}
