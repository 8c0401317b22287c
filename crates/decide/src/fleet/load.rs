//! Load that a target reports in its answers.
//!
//! A report holds for the moment of the answer only: other programs on the target's machine start
//! and stop many times a second, and so do the requests of other nodes. Both figures therefore
//! decay quickly towards the defaults of a target that reports nothing.

use std::time::Duration;

use model::Time;
use model::forward::TargetLoad;

/// Time constant of the decay (to 1/e) of other nodes' requests: the duration of most requests.
const REQUESTS_DECAY: Duration = Duration::from_millis(500);
/// Time constant of the decay (to 1/e) of the machine's slowdown.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(200);

/// Last load report of a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadReport {
    /// Requests of other nodes per slot.
    others: f64,
    slowdown: f64,
    received_at: Time,
}

impl LoadReport {
    /// `own` counts the requests of this node that were at the target, without the one whose answer
    /// carried the report.
    pub(super) fn new(load: TargetLoad, own: u32, now: Time) -> Self {
        let total = load.running.saturating_add(load.waiting);
        let others = f64::from(total.saturating_sub(own)) / f64::from(load.slots.max(1));
        LoadReport { others, slowdown: load.slowdown, received_at: now }
    }

    /// Expected requests of other nodes per slot.
    pub(super) fn others(&self, now: Time) -> f64 {
        self.others * self.decay(REQUESTS_DECAY, now)
    }

    /// Expected duration of work as a multiple of the baseline one.
    pub(super) fn slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(SLOWDOWN_DECAY, now)
    }

    fn decay(&self, time: Duration, now: Time) -> f64 {
        (-now.since(self.received_at).as_secs_f64() / time.as_secs_f64()).exp()
    }
}
