//! Permits: asked for by whoever is about to send a request to a target that names a limit, and
//! given out by the target's keeper.

use std::rc::Rc;
use std::time::Duration;

use decide::permit::{Grant, LimitObservation};
use model::Time;
use model::forward::{PermitAnswer, PermitAsk, Target};
use model::member::Node as PeerNode;
use util::http::{CallError, Client};

use super::{learn, spread};
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, PERMIT};

/// Time for a keeper's answer: a few times what it takes between regions.
const TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a keeper that did not answer is not asked again.
const REST: Duration = Duration::from_millis(300);
/// Time for which nothing is sent to a target whose keeper is not known, or says that it is not.
const UNSETTLED: Duration = Duration::from_millis(200);
/// Time in which a permit must be used: requests that bunch up on their way would come in the span
/// of later ones.
const LASTS: Duration = Duration::from_millis(250);
/// Peers passed over that an ask names, at most.
const STRANGERS: usize = 8;

/// What allows one send.
#[derive(Debug, Clone, Copy)]
pub struct Permit {
    until: Time,
}

impl Permit {
    /// Whether it may not be used any more.
    pub fn is_over(self, now: Time) -> bool {
        now > self.until
    }
}

/// Asks for a permit to send so many requests to a target; none is needed unless it names a
/// limit. `None` if they may not be sent; the target is closed to this node for a while then. `id`
/// tells what is to be sent.
pub async fn permit(
    node: &Rc<Node>,
    target: &Target,
    count: u32,
    id: impl FnOnce() -> String,
) -> Option<Permit> {
    let begun = node.now();
    let Some(word) = node.fleet(|f| f.limits_mut().request_permit(&target.id, begun)) else {
        return Some(Permit { until: Time::NEVER });
    };
    let (keeper, grant) = ask_keeper(node, target, count, word).await;
    let now = node.now();
    let (outcome, after) = match grant {
        Ok(Grant::Now) => ("granted", None),
        Ok(Grant::Unlimited) => ("free", None),
        Ok(Grant::Later(after)) => ("later", Some(after)),
        Err(why) => (why, Some(UNSETTLED)),
    };
    Event::Permit {
        id: &id(),
        target: &target.id.name,
        keeper: keeper.as_ref().map_or("", |k| &k.id.name),
        outcome,
        count,
        per_s: word.per_s.unwrap_or_default(),
        word_age_ms: begun.since(word.received_at).as_millis() as u64,
        after_ms: after.map(|a| a.as_millis() as u64),
        took_ms: now.since(begun).as_millis() as u64,
    }
    .emit();
    if let Some(after) = after {
        node.fleet(|f| f.limits_mut().close(&target.id, now + after));
        return None;
    }
    Some(Permit { until: begun + LASTS })
}

/// The keeper, unless it is this node, and its grant, or why there is none.
async fn ask_keeper(
    node: &Rc<Node>,
    target: &Target,
    count: u32,
    word: LimitObservation,
) -> (Option<PeerNode>, Result<Grant, &'static str>) {
    loop {
        let ask = PermitAsk {
            from: node.peers.id.name.clone(),
            target: target.id.clone(),
            domain: target.domain.clone(),
            count,
            word: word.to_peer(node.now()),
            strangers: node.limits.strangers(STRANGERS),
        };
        match node.limits.keeper(node, &target.id, &target.domain) {
            None => return (None, Err("unsettled")),
            Some(None) => return (None, Ok(grant(node, &ask).0)),
            Some(Some(peer)) if node.limits.resting.is_backed_off(&peer.id, node.now()) => {
                return (Some(peer), Err("silent"));
            }
            Some(Some(peer)) => match ask_peer(node, &peer, &ask).await {
                Ok(grant) => return (Some(peer), Ok(grant)),
                // The next one keeps the target.
                Err(e) if peers::is_unsupported(&e) => node.limits.note_stranger(&peer, PERMIT),
                Err(e) if e.status().is_some() => return (Some(peer), Err("not_keeper")),
                Err(_) => return (Some(peer), Err("silent")),
            },
        }
    }
}

async fn ask_peer(node: &Rc<Node>, peer: &PeerNode, ask: &PermitAsk) -> Result<Grant, CallError> {
    // A kept connection may have fallen silent.
    let resting = &node.limits.resting;
    let fresh = resting.failed_recently(&peer.id, node.now()).then(|| Client::new(TIMEOUT));
    let client = fresh.as_ref().unwrap_or(&node.client);
    let answer = peers::call_named(node, client, peer.entry, PERMIT, ask, TIMEOUT).await;
    let now = node.now();
    match &answer {
        Err(e) if e.status().is_none() => resting.record_failure(&peer.id, REST, now),
        _ => resting.record_answer(&peer.id),
    }
    let PermitAnswer { granted, after_ms, word } =
        answer.inspect_err(|e| log::debug!("permit: {e}"))?;
    learn(node, &ask.target, LimitObservation::from_peer(&word, now), &peer.id.name);
    Ok(match (word.per_s, granted) {
        (None, _) => Grant::Unlimited,
        (Some(_), true) => Grant::Now,
        (Some(_), false) => Grant::Later(Duration::from_millis(after_ms)),
    })
}

/// What a target's keeper gives out, and the last that it knows of the limit.
fn grant(node: &Rc<Node>, ask: &PermitAsk) -> (Grant, LimitObservation) {
    let PermitAsk { from, target, domain, count, word, .. } = ask;
    let now = node.now();
    let word = LimitObservation::from_peer(word, now);
    spread::keep(node, target, domain, word);
    let grant = node.limits.book(|b| b.request(target, from, *count, now));
    let known = node.limits.book(|b| b.observation(target)).unwrap_or(word);
    learn(node, target, known, "keeper");
    (grant, known)
}

/// Answers a peer that asks for a permit; `None` if this node does not keep the target.
pub fn answer(node: &Rc<Node>, ask: &PermitAsk) -> Option<PermitAnswer> {
    node.limits.note_strangers(&ask.strangers);
    if node.is_stopping() || node.limits.keeper(node, &ask.target, &ask.domain) != Some(None) {
        return None;
    }
    let (grant, known) = grant(node, ask);
    let (granted, after) = match grant {
        Grant::Now | Grant::Unlimited => (true, Duration::ZERO),
        Grant::Later(after) => (false, after),
    };
    let word = known.to_peer(node.now());
    Some(PermitAnswer { granted, after_ms: after.as_millis() as u64, word })
}
