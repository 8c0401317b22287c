//! Limits that targets name in their answers: what this node knows of them, the permits that it
//! asks for and gives out, and what nodes tell each other.

mod ask;
mod spread;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use decide::permit::{Book, LimitChange, Returns, Word};
use model::forward::{LimitNews, NamedLimit, Target, TargetId};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;

pub use ask::{Permit, answer, permit};

/// Why a request is refused that no target may get.
pub const AT_LIMIT: &str = "its targets are at the limits that they name";

/// Time for which a keeper that did not answer is not asked again.
const REST: Duration = Duration::from_millis(300);
/// Time after that in which it is asked over a new connection.
const RESTED_KEPT: Duration = Duration::from_secs(2);

/// Limits that targets name, as this node keeps and follows them.
#[derive(Default)]
pub struct LocalLimits {
    book: RefCell<Book>,
    /// Peers whose build keeps no limits.
    strangers: RefCell<HashSet<NodeId>>,
    /// Keepers that did not answer, and until when they are not asked.
    resting: RefCell<HashMap<NodeId, Time>>,
    returns: RefCell<HashMap<Name, Returns>>,
    unsent: spread::Unsent,
}

impl LocalLimits {
    /// Uses what this node gives out for a moment.
    fn book<T>(&self, f: impl FnOnce(&mut Book) -> T) -> T {
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

    /// Whether a keeper that did not answer is not to be asked yet.
    fn rests(&self, id: &NodeId, now: Time) -> bool {
        self.resting.borrow().get(id).is_some_and(|until| now < *until)
    }

    /// Whether a keeper did not answer when it was last asked.
    fn has_rested(&self, id: &NodeId) -> bool {
        self.resting.borrow().contains_key(id)
    }

    fn note_answer(&self, id: &NodeId, is_silent: bool, now: Time) {
        let mut resting = self.resting.borrow_mut();
        resting.retain(|other, until| other != id && now < *until + RESTED_KEPT);
        if is_silent {
            resting.insert(id.clone(), now + REST);
        }
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
            let closed = targets.iter().map(|id| f.limits().closed(id));
            let soonest = closed.collect::<Option<Vec<Time>>>()?.into_iter().min()?;
            let limits = targets.iter().filter_map(|id| f.limits().get(id));
            Some((soonest.since(now), limits.map(decide::permit::pace_of).sum::<f64>()))
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
    let change = node.fleet(|f| f.limits_mut().hear(&target.id, said, sent, now));
    tell(target, "answer", change);
    let per_s = match change {
        Some(LimitChange::Named(per_s)) => Some(per_s),
        Some(LimitChange::Ended) => None,
        Some(LimitChange::Unreadable) | None => return,
    };
    spread::tell_keeper(node, target, Word { per_s, sent, came: now });
}

/// Takes what a peer tells of a limit.
fn learn(node: &Node, target: &TargetId, word: Word, from: &str) {
    let change = node.fleet(|f| f.limits_mut().learn(target, word));
    let Some(known) = node.fleet(|f| f.get(target).map(|b| b.target.clone())) else {
        return;
    };
    tell(&known, from, change);
}

fn tell(target: &Target, from: &str, change: Option<LimitChange>) {
    let (what, per_s) = match change {
        None => return,
        Some(LimitChange::Named(per_s)) => ("named", Some(per_s)),
        Some(LimitChange::Ended) => ("ended", None),
        Some(LimitChange::Unreadable) => ("unreadable", None),
    };
    Event::Limit { target: &target.id.name, service: &target.service, what, per_s, from }.emit();
}

/// A request, or a call, goes to a target.
pub fn count_sent(node: &Node, target: &Target) {
    if node.fleet(|f| f.limits().get(&target.id).is_some()) {
        node.metrics.sent_at_limit(&target.service);
    }
}

/// Takes a peer's news.
pub fn take(node: &Rc<Node>, news: LimitNews) {
    spread::take(node, news);
}
