//! What is made of the load that a target tells with its answers.
//!
//! It is true for the moment of the answer only: other programs on the target's machine come and
//! go many times a second, and so do the requests of other nodes. So both fade fast, each to what
//! a target that tells nothing is taken for.

use std::time::Duration;

use model::Time;
use model::forward::TargetLoad;

/// Time in which what is known of other nodes' requests fades to 1/e: as long as most take.
const REQUESTS_DECAY: Duration = Duration::from_millis(500);
/// Time in which what is known of the machine's pace fades to 1/e.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(200);

/// The last word of a target on its load.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadReport {
    /// Requests of other nodes for each place.
    others: f64,
    slowdown: f64,
    received_at: Time,
}

impl LoadReport {
    /// A target told its load while this many requests of this node were there, the one whose
    /// answer told it not counted.
    pub(super) fn new(load: TargetLoad, own: u32, now: Time) -> Self {
        let total = load.running.saturating_add(load.waiting);
        let others = f64::from(total.saturating_sub(own)) / f64::from(load.slots.max(1));
        LoadReport { others, slowdown: load.slowdown, received_at: now }
    }

    /// Expected requests of other nodes for each place.
    pub(super) fn others(&self, now: Time) -> f64 {
        self.others * self.decay(REQUESTS_DECAY, now)
    }

    /// Times as long as usual that work is expected to take.
    pub(super) fn slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(SLOWDOWN_DECAY, now)
    }

    fn decay(&self, time: Duration, now: Time) -> f64 {
        (-now.since(self.received_at).as_secs_f64() / time.as_secs_f64()).exp()
    }
}
