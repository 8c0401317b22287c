//! Evidence on the two versions of a service, from this node's requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use decide::rollout::Evidence;
use model::forward::{Phase, RolloutId, Side, Target};
use model::{Name, Time};

use super::{apply_phase, running_order};
use crate::events::Event;
use crate::node::Node;

/// A request, or the pieces of a call, sent to a target of a service in a rollout. An outcome that
/// was not recorded by the deadline counts as a failure when the last clone is dropped.
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
    /// The target was cold, so its answer is no evidence on its version.
    is_cold: bool,
    /// Time at which its caller or this node gives up.
    deadline: Time,
    is_recorded: Cell<bool>,
}

/// Records a request, or a call of this number of pieces, sent to a target; `None` if its service
/// is not in a rollout.
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
    node.metrics.count_rollout_sent(service, version, pieces);
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
    /// Records a successful answer after this time.
    pub fn record_success(&self, took: Duration) {
        let Inner { node, order, route, version, side, is_recorded, .. } = &*self.0;
        is_recorded.set(true);
        if !self.0.is_evidence() {
            return;
        }
        node.metrics.record_rollout_good(&order.service, version, took);
        let mut evidence = node.rollouts.evidence.borrow_mut();
        if !evidence.record_late(&order.service, route, took, node.now()) {
            evidence.record_good(&order.service, route, *side, took);
        }
    }

    /// Records an answered call with this number of failed pieces. `took` is the ratio of its time
    /// to the expected time, as seconds.
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
                failed == 0 && evidence.record_late(&order.service, route, took, node.now());
            !is_late_again
                && evidence.record_partial(&order.service, route, *side, failed_share, took)
        };
        node.metrics.count_rollout_bad(&order.service, version, failed);
        if failed < *pieces {
            node.metrics.record_rollout_good(&order.service, version, node.now().since(*started));
        }
        if is_bad && *side == Side::Trial {
            roll_back_if_bad(node, order);
        }
    }

    /// Records that another target answered while this one was silent.
    pub fn record_silence(&self) {
        let Inner { node, order, route, side, started, .. } = &*self.0;
        self.0.record_bad(|evidence| {
            evidence.record_silence(&order.service, route, *side, *started, node.now())
        });
    }

    /// Records an answer that was a failure of the version or came too late.
    pub fn record_failure(&self) {
        self.0.record_failure();
    }
}

impl Inner {
    /// Whether the outcome is evidence on the version: the target was warm, neither this process nor
    /// its links to the targets failed meanwhile, and the order is still running.
    fn is_evidence(&self) -> bool {
        let Inner { node, order, started, is_cold, .. } = self;
        let is_disturbed = node.rollouts.stalls.stalled_since(*started, node.now())
            || node.links.was_lost_since(*started);
        let is_valid = !is_cold && !is_disturbed;
        is_valid && running_order(node, order).is_some()
    }

    fn record_failure(&self) {
        let Inner { order, route, side, .. } = self;
        self.record_bad(|evidence| {
            // Counted once for all pieces of a call, as successes are. The pieces share one outcome,
            // so counting each would let a single late call roll back a good version.
            evidence.record_bad(&order.service, route, *side);
            true
        });
    }

    /// Applies evidence against the version; `record` returns whether it counts.
    fn record_bad(&self, record: impl FnOnce(&mut Evidence) -> bool) {
        let Inner { node, order, version, side, pieces, is_recorded, .. } = self;
        is_recorded.set(true);
        if !self.is_evidence() || !record(&mut node.rollouts.evidence.borrow_mut()) {
            return;
        }
        node.metrics.count_rollout_bad(&order.service, version, *pieces);
        if *side == Side::Trial {
            roll_back_if_bad(node, order);
        }
    }
}

impl Drop for Inner {
    /// A request given up at its deadline failed; one that its caller cancelled earlier is no
    /// evidence.
    fn drop(&mut self) {
        if !self.is_recorded.get() && self.node.now() >= self.deadline {
            self.record_failure();
        }
    }
}

/// Rolls the version back on this node if its own requests prove it bad.
pub(super) fn roll_back_if_bad(node: &Node, id: &RolloutId) {
    let Some(order) = running_order(node, id) else {
        return;
    };
    let RolloutId { service, version, .. } = id;
    let now = node.now();
    let age = node.fleet(|f| f.versions().age(service, now)).unwrap_or_default();
    let is_over = age >= Duration::from_millis(order.lasts_ms);
    match node.fleet(|f| f.versions().phase(service)) {
        // The rollout may be complete, which a disconnected node does not know; the old targets are
        // then most likely removed.
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
