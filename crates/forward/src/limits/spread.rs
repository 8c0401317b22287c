//! Tells peers that a target names a limit, or none any more: a node that hears of it at its
//! keeper's is bound before it has passed such an answer on itself.
//!
//! Whoever misses the news learns it from its own answers, so each peer is told once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::permit::{LimitObservation, MAX_TRANSIT};
use model::Name;
use model::forward::{LimitNews, Target, TargetId, TargetLimit};
use model::member::Node as PeerNode;
use tokio::sync::Notify;
use util::http::CallError;

use super::learn;
use crate::node::Node;
use crate::peers::{self, LIMITS};

/// Time in which news is gathered, so that targets that begin together make one message.
const GATHER: Duration = Duration::from_millis(50);
/// Time between two rounds of news: a target may name a limit in every second answer.
const APART: Duration = Duration::from_secs(1);

/// Targets whose limits peers are to be told of, with their failure domains.
#[derive(Default)]
pub(super) struct Unsent {
    targets: RefCell<BTreeMap<TargetId, Name>>,
    added: Notify,
}

/// Runs until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        node.limits.unsent.added.notified().await;
        tokio::time::sleep(GATHER).await;
        let limits = gather(&node);
        let peers = node.peers.roster(|r| r.peers());
        let known: Vec<_> = peers.into_iter().filter(|p| !node.limits.is_stranger(&p.id)).collect();
        let news = LimitNews { limits, spread: false };
        let each = |peer: &PeerNode, told| note(&node, peer, told);
        peers::broadcast::<_, ()>(&node, &known, LIMITS, &news, MAX_TRANSIT, each).await;
        tokio::time::sleep(APART).await;
    }
}

fn gather(node: &Node) -> Vec<TargetLimit> {
    let targets = std::mem::take(&mut *node.limits.unsent.targets.borrow_mut());
    let now = node.now();
    let limit = |(target, domain): (TargetId, Name)| {
        let word = node.limits.book(|b| b.observation(&target))?.to_peer(now);
        Some(TargetLimit { target, domain, word })
    };
    targets.into_iter().filter_map(limit).collect()
}

/// What came of news for a peer.
fn note(node: &Node, peer: &PeerNode, told: Result<(), CallError>) {
    match told {
        Ok(()) => {}
        Err(e) if peers::is_unsupported(&e) => node.limits.note_stranger(peer, LIMITS),
        Err(e) => log::debug!("limits: {e}"),
    }
}

/// All peers are to be told of a target's limit.
pub(super) fn tell_all(node: &Node, target: &TargetId, domain: &Name) {
    let unsent = &node.limits.unsent;
    unsent.targets.borrow_mut().insert(target.clone(), domain.clone());
    unsent.added.notify_one();
}

/// Tells a target's keeper what an answer said.
pub(super) fn tell_keeper(node: &Rc<Node>, target: &Target, word: LimitObservation) {
    let (id, domain) = (target.id.clone(), target.domain.clone());
    match node.limits.keeper(node, &id, &domain) {
        None => {}
        Some(None) => keep(node, &id, &domain, word),
        Some(Some(peer)) => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let limit = TargetLimit { target: id, domain, word: word.to_peer(node.now()) };
                let news = LimitNews { limits: vec![limit], spread: true };
                let client = &node.client;
                // What does not arrive is told with the next ask.
                let told =
                    peers::call_named(&node, client, peer.entry, LIMITS, &news, MAX_TRANSIT).await;
                note(&node, &peer, told);
            });
        }
    }
}

/// Takes a word as a target's keeper.
pub(super) fn keep(node: &Node, target: &TargetId, domain: &Name, word: LimitObservation) {
    let now = node.now();
    if node.limits.book(|b| b.merge(target, word, now)) {
        tell_all(node, target, domain);
    }
}

/// Takes a peer's news.
pub fn take(node: &Node, news: LimitNews) {
    let now = node.now();
    for TargetLimit { target, domain, word } in news.limits {
        let word = LimitObservation::from_peer(&word, now);
        let from = if news.spread { "witness" } else { "peer" };
        learn(node, &target, word, from);
        if news.spread {
            keep(node, &target, &domain, word);
        }
    }
}
