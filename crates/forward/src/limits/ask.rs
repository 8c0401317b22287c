//! Permits: a node requests one from a target's keeper before it sends a request to a target that
//! names a limit.

use std::rc::Rc;
use std::time::Duration;

use decide::permit::{Grant, LimitObservation};
use model::Time;
use model::forward::{PermitAnswer, PermitRequest, Target};
use model::member::Node as PeerNode;
use util::http::CallError;

use super::{merge_from_peer, spread};
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, PERMIT};

/// Timeout of a permit request, a few times a round trip between regions.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which nothing is sent to a target if its keeper is not known, did not respond, or says
/// that it is not the keeper.
const NO_KEEPER_BACKOFF: Duration = Duration::from_millis(200);
/// Time within which a permit must be used: delayed requests that arrive together would exceed the
/// limit in the interval of later permits.
const PERMIT_TTL: Duration = Duration::from_millis(250);
/// Maximum number of peers without support for limits that a permit request lists.
const MAX_UNSUPPORTED_PEERS: usize = 8;

/// Permission to send.
#[derive(Debug, Clone, Copy)]
pub struct Permit {
    expires_at: Time,
}

impl Permit {
    pub fn is_expired(self, now: Time) -> bool {
        now > self.expires_at
    }
}

/// Requests a permit to send `count` requests to a target; granted at once if the target names no
/// limit. `None` if they may not be sent; the target is then closed to this node for a while. `id`
/// identifies the requests in the log.
pub async fn request_permit(
    node: &Rc<Node>,
    target: &Target,
    count: u32,
    id: impl FnOnce() -> String,
) -> Option<Permit> {
    let started = node.now();
    let Some(observation) = node.fleet(|f| f.limits_mut().request_permit(&target.id, started))
    else {
        return Some(Permit { expires_at: Time::NEVER });
    };
    let (keeper, grant) = request_from_keeper(node, target, count, observation).await;
    let now = node.now();
    let (outcome, after) = match grant {
        Ok(Grant::Now) => ("granted", None),
        Ok(Grant::Unlimited) => ("free", None),
        Ok(Grant::Later(after)) => ("later", Some(after)),
        Err(why) => (why, Some(NO_KEEPER_BACKOFF)),
    };
    Event::Permit {
        id: &id(),
        target: &target.id.name,
        keeper: keeper.as_ref().map_or("", |k| &k.id.name),
        outcome,
        count,
        per_s: observation.per_s.unwrap_or_default(),
        word_age_ms: started.since(observation.received_at).as_millis() as u64,
        after_ms: after.map(|a| a.as_millis() as u64),
        took_ms: now.since(started).as_millis() as u64,
    }
    .emit();
    if let Some(after) = after {
        node.fleet(|f| f.limits_mut().close(&target.id, now + after));
        return None;
    }
    Some(Permit { expires_at: started + PERMIT_TTL })
}

/// Requests a permit from the target's keeper. Returns the keeper, unless it is this node or
/// unknown, and its grant, or the outcome to log if there is none.
async fn request_from_keeper(
    node: &Rc<Node>,
    target: &Target,
    count: u32,
    observation: LimitObservation,
) -> (Option<PeerNode>, Result<Grant, &'static str>) {
    loop {
        let ask = PermitRequest {
            from: node.peers.id.name.clone(),
            target: target.id.clone(),
            domain: target.domain.clone(),
            count,
            limit: observation.to_peer(node.now()),
            unsupported: node.limits.unsupported_peers.first(MAX_UNSUPPORTED_PEERS),
        };
        match node.limits.keeper(node, &target.id, &target.domain) {
            None => return (None, Err("unsettled")),
            Some(None) => return (None, Ok(issue(node, &ask).0)),
            Some(Some(peer)) if node.limits.unresponsive.is_backed_off(&peer.id, node.now()) => {
                return (Some(peer), Err("silent"));
            }
            Some(Some(peer)) => match request_from_peer(node, &peer, &ask).await {
                Ok(grant) => return (Some(peer), Ok(grant)),
                // The next node in the order is the keeper then.
                Err(e) if peers::is_unsupported(&e) => {
                    node.limits.unsupported_peers.record(&peer, PERMIT)
                }
                Err(e) if e.status().is_some() => return (Some(peer), Err("not_keeper")),
                Err(_) => return (Some(peer), Err("silent")),
            },
        }
    }
}

async fn request_from_peer(
    node: &Rc<Node>,
    peer: &PeerNode,
    ask: &PermitRequest,
) -> Result<Grant, CallError> {
    let unresponsive = &node.limits.unresponsive;
    let answer = peers::call_keeper(node, unresponsive, peer, PERMIT, ask, PERMIT_TIMEOUT).await;
    let now = node.now();
    let PermitAnswer { granted, after_ms, limit: observation } =
        answer.inspect_err(|e| log::debug!("permit: {e}"))?;
    merge_from_peer(
        node,
        &ask.target,
        LimitObservation::from_peer(&observation, now),
        &peer.id.name,
    );
    Ok(match (observation.per_s, granted) {
        (None, _) => Grant::Unlimited,
        (Some(_), true) => Grant::Now,
        (Some(_), false) => Grant::Later(Duration::from_millis(after_ms)),
    })
}

/// Issues a permit as the target's keeper; also returns the latest observation of the limit.
fn issue(node: &Rc<Node>, ask: &PermitRequest) -> (Grant, LimitObservation) {
    let PermitRequest { from, target, domain, count, limit: observation, .. } = ask;
    let now = node.now();
    let observation = LimitObservation::from_peer(observation, now);
    spread::merge_as_keeper(node, target, domain, observation);
    let grant = node.limits.issuer(|i| i.request(target, from, *count, now));
    let known = node.limits.issuer(|i| i.observation(target)).unwrap_or(observation);
    merge_from_peer(node, target, known, "keeper");
    (grant, known)
}

/// Handles a peer's request for a permit; `None` if this node is not the target's keeper.
pub fn handle_permit_request(node: &Rc<Node>, ask: &PermitRequest) -> Option<PermitAnswer> {
    node.limits.unsupported_peers.extend(&ask.unsupported);
    if node.is_stopping() || node.limits.keeper(node, &ask.target, &ask.domain) != Some(None) {
        return None;
    }
    let (grant, known) = issue(node, ask);
    let (granted, after) = match grant {
        Grant::Now | Grant::Unlimited => (true, Duration::ZERO),
        Grant::Later(after) => (false, after),
    };
    let observation = known.to_peer(node.now());
    Some(PermitAnswer { granted, after_ms: after.as_millis() as u64, limit: observation })
}
