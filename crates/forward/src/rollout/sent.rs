//! What the requests of this node show of the two versions of a service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use model::forward::{Phase, RolloutId, Side, Target};
use model::{Name, Time};

use super::{running, take_phase};
use crate::events::Event;
use crate::node::Node;

/// A request, or the pieces of a call, at a target whose service moves to another version.
#[derive(Clone)]
pub struct Sent(Rc<Inner>);

struct Inner {
    node: Rc<Node>,
    order: RolloutId,
    route: Name,
    version: Name,
    side: Side,
    pieces: usize,
    begun: Time,
    /// The target is cold: what it answers tells nothing of its version.
    is_cold: bool,
    /// When its caller, or this node, gives it up.
    deadline: Time,
    is_judged: Cell<bool>,
}

/// Notes that a target gets a request, or a call of so many pieces, if its service moves to
/// another version.
pub fn sent(
    node: &Rc<Node>,
    target: &Target,
    route: &Name,
    pieces: usize,
    deadline: Time,
) -> Option<Sent> {
    node.settings().rollouts?;
    let Target { service, version, .. } = target;
    let order = node.fleet(|f| f.versions().order_id(service))?;
    let side = if order.version == *version { Side::Trial } else { Side::Serving };
    let limit = node.cold_limit(service);
    let now = node.now();
    let is_cold = node.fleet(|f| {
        let belief = f.get(&target.id);
        belief.zip(limit).is_some_and(|(b, limit)| f.is_cold(b, limit, now))
    });
    node.rollouts.evidence.borrow_mut().record_sent(service, route, side, pieces as u32);
    node.metrics.rollout_sent(service, version, pieces);
    Some(Sent(Rc::new(Inner {
        node: node.clone(),
        order,
        route: route.clone(),
        version: version.clone(),
        side,
        pieces,
        begun: now,
        is_cold,
        deadline,
        is_judged: Cell::new(false),
    })))
}

impl Sent {
    /// It was answered well after this time.
    pub fn good(&self, took: Duration) {
        let Inner { node, order, route, version, side, is_judged, .. } = &*self.0;
        is_judged.set(true);
        if !self.0.counts() {
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
    pub fn answered(&self, failed: usize, took: Duration) {
        let Inner { node, order, route, version, side, pieces, begun, is_judged, .. } = &*self.0;
        is_judged.set(true);
        if !self.0.counts() {
            return;
        }
        let part = failed as f64 / (*pieces).max(1) as f64;
        let is_bad = {
            let mut evidence = node.rollouts.evidence.borrow_mut();
            let is_late_again =
                failed == 0 && evidence.note_late(&order.service, route, took, node.now());
            !is_late_again && evidence.record_partial(&order.service, route, *side, part, took)
        };
        node.metrics.rollout_bad(&order.service, version, failed);
        if failed < *pieces {
            node.metrics.rollout_good(&order.service, version, node.now().since(*begun));
        }
        if is_bad && *side == Side::Trial {
            take_back_if_bad(node, order);
        }
    }

    /// Its answer was a failure of the version, or came too late to be of use.
    pub fn bad(&self) {
        self.0.bad();
    }
}

impl Inner {
    /// Whether its end tells of the target's version, and the order that it was sent under
    /// still runs.
    fn counts(&self) -> bool {
        let Inner { node, order, begun, is_cold, .. } = self;
        let tells = !is_cold && !node.rollouts.stalls.since(*begun, node.now());
        tells && running(node, order).is_some()
    }

    fn bad(&self) {
        let Inner { node, order, route, version, side, pieces, is_judged, .. } = self;
        is_judged.set(true);
        if !self.counts() {
            return;
        }
        // Once for all pieces of a call, as for good ones: they share one fate, so that each
        // counted by itself would let a single late call take a good version back.
        node.rollouts.evidence.borrow_mut().record_bad(&order.service, route, *side);
        node.metrics.rollout_bad(&order.service, version, *pieces);
        if *side == Side::Trial {
            take_back_if_bad(node, order);
        }
    }
}

impl Drop for Inner {
    /// Who gives up at the deadline has waited in vain; who leaves before tells nothing.
    fn drop(&mut self) {
        if !self.is_judged.get() && self.node.now() >= self.deadline {
            self.bad();
        }
    }
}

/// Takes the version back at this node if its own requests prove that it is bad.
pub(super) fn take_back_if_bad(node: &Node, id: &RolloutId) {
    let Some(order) = running(node, id) else {
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
    Event::judged(service, version, "this node", &verdict, age).emit();
    take_phase(node, id, Phase::Back, "own requests");
}
