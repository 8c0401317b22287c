//! Requests for slots, at the node that needs one and at the keeper.

use std::rc::Rc;
use std::time::Duration;

use decide::slots::{LeaseId, SlotGrant, SlotTerms};
use model::Name;
use model::forward::{SlotAnswer, SlotRelease, SlotRequest, Target, TargetId};
use model::member::Node as PeerNode;
use util::http::CallError;

use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, SLOT, SLOT_RELEASE};

/// Timeout of a request for a slot beyond the time that it may wait, a few times a round trip
/// between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time for which a request waits for a slot.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Time for which nothing is sent to a target if its keeper is not known, did not respond, or says
/// that it is not the keeper.
const NO_KEEPER_BACKOFF: Duration = Duration::from_millis(200);
/// Time beyond its deadline for which a request may hold a slot.
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Attempts to release a slot, and the interval between them.
const RELEASE_ATTEMPTS: u32 = 3;
const RELEASE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a waiting request looks for a slot that became free by time alone.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of peers without support for slots that a request lists.
const MAX_UNSUPPORTED_PEERS: usize = 8;

/// The target has no slot for the request; it is closed to this node for a while.
#[derive(Debug)]
pub struct Denied;

/// A slot of a target, leased until dropped.
pub struct SlotGuard {
    node: Rc<Node>,
    target: TargetId,
    attempt: Name,
    /// Keeper that was asked; `None` if this node is.
    keeper: Option<PeerNode>,
    /// Whether the keeper may have leased it.
    is_leased: bool,
    rejected: bool,
}

impl SlotGuard {
    /// Ends the guard of a slot that was not leased.
    fn discard(mut self) {
        self.is_leased = false;
    }

    /// Records that the target rejected the request for want of room.
    pub fn record_rejection(&mut self) {
        self.rejected = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_leased {
            return;
        }
        let release = SlotRelease {
            from: self.node.peers.id.name.clone(),
            target: self.target.clone(),
            attempt: self.attempt.clone(),
            rejected: self.rejected,
        };
        match self.keeper.take() {
            None => handle_release(&self.node, &release),
            Some(keeper) => {
                tokio::task::spawn_local(send_release(self.node.clone(), keeper, release));
            }
        }
    }
}

async fn send_release(node: Rc<Node>, keeper: PeerNode, release: SlotRelease) {
    for _ in 0..RELEASE_ATTEMPTS {
        let sent: Result<(), CallError> = peers::call_named(
            &node,
            &node.client,
            keeper.entry,
            SLOT_RELEASE,
            &release,
            ANSWER_TIMEOUT,
        )
        .await;
        match sent {
            Err(e) if e.status().is_none() => log::debug!("slot: {e}"),
            _ => return,
        }
        tokio::time::sleep(RELEASE_INTERVAL).await;
    }
}

/// What the keeper, or the lack of one, means for a request.
struct Outcome {
    /// Keeper that was asked, unless it is this node or unknown.
    keeper: Option<PeerNode>,
    /// Granted, or why not, for the log.
    what: &'static str,
    /// Time after which to ask again, and requests per second that the slots serve; `None` if
    /// granted.
    denial: Option<(Duration, f64)>,
    guard: Option<SlotGuard>,
}

impl Outcome {
    fn without_keeper(keeper: Option<PeerNode>, what: &'static str) -> Outcome {
        Outcome { keeper, what, denial: Some((NO_KEEPER_BACKOFF, 0.0)), guard: None }
    }
}

/// Leases a slot of a target for an attempt that can wait for `wait` and ends within `time_left`;
/// `None` if the target is not brittle.
pub async fn request_slot(
    node: &Rc<Node>,
    target: &Target,
    attempt: &str,
    wait: Duration,
    time_left: Duration,
) -> Result<Option<SlotGuard>, Denied> {
    let started = node.now();
    let Some(max_rejected) = node.fleet(|f| f.brittle().max_rejected(target, started)) else {
        return Ok(None);
    };
    let lease = time_left + LEASE_MARGIN;
    let request = SlotRequest {
        from: node.peers.id.name.clone(),
        target: target.id.clone(),
        domain: target.domain.clone(),
        attempt: attempt.into(),
        slots: target.slots,
        max_rejected,
        wait_ms: wait.min(MAX_WAIT).as_millis() as u64,
        lease_ms: lease.as_millis() as u64,
        unsupported: Vec::new(),
    };
    let Outcome { keeper, what, denial, guard } = request_from_keeper(node, request).await;
    let now = node.now();
    Event::Slot {
        id: attempt,
        target: &target.id.name,
        keeper: keeper.as_ref().map_or("", |k| &k.id.name),
        outcome: what,
        max_rejected,
        after_ms: denial.map(|(after, _)| after.as_millis() as u64),
        took_ms: now.since(started).as_millis() as u64,
    }
    .emit();
    if let Some((after, per_s)) = denial {
        node.fleet(|f| f.brittle_mut().close(&target.id, now + after, per_s));
        return Err(Denied);
    }
    Ok(guard)
}

async fn request_from_keeper(node: &Rc<Node>, mut request: SlotRequest) -> Outcome {
    loop {
        request.unsupported = node.slots.unsupported_peers.first(MAX_UNSUPPORTED_PEERS);
        let keeper = match keeper(node, &request) {
            None => return Outcome::without_keeper(None, "unsettled"),
            Some(keeper) => keeper,
        };
        if let Some(peer) = &keeper
            && node.slots.unresponsive.is_backed_off(&peer.id, node.now())
        {
            return Outcome::without_keeper(keeper, "silent");
        }
        // Created before the answer arrives: a slot whose answer is lost must be released too.
        let guard = SlotGuard {
            node: node.clone(),
            target: request.target.clone(),
            attempt: request.attempt.clone(),
            keeper: keeper.clone(),
            is_leased: true,
            rejected: false,
        };
        let answer = match &keeper {
            None => Ok(issue(node, &request).await),
            Some(peer) => request_from_peer(node, peer, &request).await,
        };
        match answer {
            Ok(SlotAnswer { granted: true, .. }) => {
                return Outcome { keeper, what: "granted", denial: None, guard: Some(guard) };
            }
            Ok(SlotAnswer { after_ms, per_s, .. }) => {
                guard.discard();
                let denial = Some((Duration::from_millis(after_ms), per_s));
                return Outcome { keeper, what: "later", denial, guard: None };
            }
            // The next node in the order is the keeper then.
            Err(e) if peers::is_unsupported(&e) => {
                guard.discard();
                keeper.iter().for_each(|peer| node.slots.unsupported_peers.record(peer, SLOT));
            }
            Err(e) if e.status().is_some() => {
                guard.discard();
                return Outcome::without_keeper(keeper, "not_keeper");
            }
            Err(_) => return Outcome::without_keeper(keeper, "silent"),
        }
    }
}

/// The keeper of a target: `Some(None)` is this node, `None` if it is not known yet.
fn keeper(node: &Node, request: &SlotRequest) -> Option<Option<PeerNode>> {
    let is_unsupported = |id: &_| node.slots.unsupported_peers.contains(id);
    let (name, now) = (&request.target.name, node.now());
    node.peers.roster(|r| r.keeper(name, &request.domain, is_unsupported, now))
}

async fn request_from_peer(
    node: &Node,
    peer: &PeerNode,
    request: &SlotRequest,
) -> Result<SlotAnswer, CallError> {
    let timeout = Duration::from_millis(request.wait_ms) + ANSWER_TIMEOUT;
    let unresponsive = &node.slots.unresponsive;
    let answer = peers::call_keeper(node, unresponsive, peer, SLOT, request, timeout).await;
    answer.inspect_err(|e| log::debug!("slot: {e}"))
}

/// Leases a slot as the target's keeper; waits for one if there is a place in the queue.
async fn issue(node: &Rc<Node>, request: &SlotRequest) -> SlotAnswer {
    let (target, id) = (&request.target, lease_id(&request.from, &request.attempt));
    let terms = SlotTerms {
        slots: request.slots,
        max_rejected: request.max_rejected,
        wait: Duration::from_millis(request.wait_ms).min(MAX_WAIT),
        lease: Duration::from_millis(request.lease_ms),
    };
    let mut grant = node.slots.issuer(|i| i.request(target, id.clone(), terms, node.now()));
    while grant == SlotGrant::Waiting {
        let _ = tokio::time::timeout(POLL_INTERVAL, node.slots.freed.notified()).await;
        grant = node.slots.issuer(|i| i.poll(target, &id, node.now()));
    }
    let after = match grant {
        SlotGrant::Later(after) => after,
        SlotGrant::Granted | SlotGrant::Waiting => Duration::ZERO,
    };
    SlotAnswer {
        granted: grant == SlotGrant::Granted,
        after_ms: after.as_millis() as u64,
        per_s: node.slots.issuer(|i| i.rate(target)),
    }
}

/// Handles a peer's request for a slot; `None` if this node is not the target's keeper.
pub async fn handle_request(node: &Rc<Node>, request: &SlotRequest) -> Option<SlotAnswer> {
    node.slots.unsupported_peers.extend(&request.unsupported);
    if node.is_stopping() || keeper(node, request) != Some(None) {
        return None;
    }
    Some(issue(node, request).await)
}

/// Handles the release of a slot.
pub fn handle_release(node: &Node, release: &SlotRelease) {
    let id = lease_id(&release.from, &release.attempt);
    node.slots.issuer(|i| i.release(&release.target, &id, release.rejected, node.now()));
    node.slots.freed.notify_waiters();
}

fn lease_id(node: &Name, attempt: &Name) -> LeaseId {
    LeaseId { node: node.clone(), attempt: attempt.clone() }
}
