//! What the requests of this node show of the two versions of a service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use model::forward::{Phase, RolloutId, Side, Target};
use model::{Name, Time};

use super::{apply_phase, running_order};
use crate::events::Event;
use crate::node::Node;

/// A request, or the pieces of a call, at a target whose service moves to another version.
#[derive(Clone)]
pub struct TrackedSend(Rc<Inner>);

struct Inner {
    node: Rc<Node>,
    order: RolloutId,
    route: Name,
    version: Name,
    side: Side,
    pieces: usize,
    started: Time,
    /// The target is cold: what it answers tells nothing of its version.
    is_cold: bool,
    /// When its caller, or this node, gives it up.
    deadline: Time,
    is_recorded: Cell<bool>,
}

/// Notes that a target gets a request, or a call of so many pieces, if its service moves to
/// another version.
pub fn track_send(
    node: &Rc<Node>,
    target: &Target,
    route: &Name,
    pieces: usize,
    deadline: Time,
) -> Option<TrackedSend> {
    node.settings().rollouts?;
    let Target { service, version, .. } = target;
    let order = node.fleet(|f| f.versions().order_id(service))?;
    let side = if order.version == *version { Side::Trial } else { Side::Serving };
    let limit = node.cold_limit(service);
    let now = node.now();
    let is_cold = node.fleet(|f| {
        let state = f.get(&target.id);
        state.zip(limit).is_some_and(|(b, limit)| f.is_cold(b, limit, now))
    });
    node.rollouts.evidence.borrow_mut().record_sent(service, route, side, pieces as u32);
    node.metrics.rollout_sent(service, version, pieces);
    Some(TrackedSend(Rc::new(Inner {
        node: node.clone(),
        order,
        route: route.clone(),
        version: version.clone(),
        side,
        pieces,
        started: now,
        is_cold,
        deadline,
        is_recorded: Cell::new(false),
    })))
}

impl TrackedSend {
    /// It was answered well after this time.
    pub fn record_success(&self, took: Duration) {
        let Inner { node, order, route, version, side, is_recorded, .. } = &*self.0;
        is_recorded.set(true);
        if !self.0.is_evidence() {
            return;
        }
        node.metrics.rollout_good(&order.service, version, took);
        let mut evidence = node.rollouts.evidence.borrow_mut();
        if !evidence.note_late(&order.service, route, took, node.now()) {
            evidence.record_good(&order.service, route, *side, took);
        }
    }

    /// A call was answered after this time as part of what is expected, so many of its pieces as
    /// failed.
    pub fn record_call(&self, failed: usize, took: Duration) {
        let Inner { node, order, route, version, side, pieces, started, is_recorded, .. } =
            &*self.0;
        is_recorded.set(true);
        if !self.0.is_evidence() {
            return;
        }
        let failed_share = failed as f64 / (*pieces).max(1) as f64;
        let is_bad = {
            let mut evidence = node.rollouts.evidence.borrow_mut();
            let is_late_again =
                failed == 0 && evidence.note_late(&order.service, route, took, node.now());
            !is_late_again
                && evidence.record_partial(&order.service, route, *side, failed_share, took)
        };
        node.metrics.rollout_bad(&order.service, version, failed);
        if failed < *pieces {
            node.metrics.rollout_good(&order.service, version, node.now().since(*started));
        }
        if is_bad && *side == Side::Trial {
            roll_back_if_bad(node, order);
        }
    }

    /// Its answer was a failure of the version, or came too late to be of use.
    pub fn record_failure(&self) {
        self.0.record_failure();
    }
}

impl Inner {
    /// Whether its end tells of the target's version, and the order that it was sent under
    /// still runs.
    fn is_evidence(&self) -> bool {
        let Inner { node, order, started, is_cold, .. } = self;
        let is_valid = !is_cold && !node.rollouts.stalls.stalled_since(*started, node.now());
        is_valid && running_order(node, order).is_some()
    }

    fn record_failure(&self) {
        let Inner { node, order, route, version, side, pieces, is_recorded, .. } = self;
        is_recorded.set(true);
        if !self.is_evidence() {
            return;
        }
        // Once for all pieces of a call, as for good ones: they share one fate, so that each
        // counted by itself would let a single late call take a good version back.
        node.rollouts.evidence.borrow_mut().record_bad(&order.service, route, *side);
        node.metrics.rollout_bad(&order.service, version, *pieces);
        if *side == Side::Trial {
            roll_back_if_bad(node, order);
        }
    }
}

impl Drop for Inner {
    /// Who gives up at the deadline has waited in vain; who leaves before tells nothing.
    fn drop(&mut self) {
        if !self.is_recorded.get() && self.node.now() >= self.deadline {
            self.record_failure();
        }
    }
}

/// Takes the version back at this node if its own requests prove that it is bad.
pub(super) fn roll_back_if_bad(node: &Node, id: &RolloutId) {
    let Some(order) = running_order(node, id) else {
        return;
    };
    let RolloutId { service, version, .. } = id;
    let now = node.now();
    let age = node.fleet(|f| f.versions().age(service, now)).unwrap_or_default();
    let is_over = age >= Duration::from_millis(order.lasts_ms);
    match node.fleet(|f| f.versions().phase(service)) {
        // It may have been completed, which a node out of touch has not heard: the old targets
        // are most likely gone.
        Some(Phase::All) if is_over => return,
        Some(Phase::Back) => return,
        _ => {}
    }
    let Some(verdict) = node.rollouts.evidence.borrow().proves_bad(service) else {
        return;
    };
    Event::rollout_judged(service, version, "this node", &verdict, age).emit();
    apply_phase(node, id, Phase::Back, "own requests");
}
