//! What a target's answers tell of it.
//!
//! Both means fade with the time since the last observation, so that a target that was slow or
//! failed once is tried again: without new requests nothing else would show that it recovered.

use std::time::Duration;

use model::Time;

/// Least weight of the newest observation in the means.
const MIN_WEIGHT: f64 = 0.15;
/// Time in which a mean without observations fades to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Running means over the answers of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerStats {
    /// Milliseconds, at the last answer; zero before the first.
    mean_ms: f64,
    answered_at: Time,
    /// Share of failures, at the last observation.
    failure_rate: f64,
    observed_at: Time,
}

impl AnswerStats {
    /// Expected time of an answer, in milliseconds; `None` if none has come yet.
    pub(super) fn mean_ms(&self, now: Time) -> Option<f64> {
        (self.mean_ms > 0.0).then(|| self.mean_ms * decay(self.answered_at, now))
    }

    /// Expected share of failures.
    pub(super) fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * decay(self.observed_at, now)
    }

    /// When the last observation was made.
    pub(super) fn observed_at(&self) -> Time {
        self.observed_at
    }

    /// The share of failures is taken to be half of what it was.
    pub(super) fn halve_failure_rate(&mut self) {
        self.failure_rate /= 2.0;
    }

    /// Counts one observation.
    pub(super) fn record_outcome(&mut self, failed: bool, now: Time) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let decayed = self.failure_rate(now);
        self.failure_rate = decayed + MIN_WEIGHT * (outcome - decayed);
        self.observed_at = now;
    }

    /// An answer came after this time. The older the mean, the less it counts beside it.
    pub(super) fn record_latency(&mut self, latency: Duration, now: Time) {
        let ms = latency.as_secs_f64() * 1000.0;
        let weight = if self.mean_ms > 0.0 { 1.0 - decay(self.answered_at, now) } else { 1.0 };
        self.mean_ms += weight.max(MIN_WEIGHT) * (ms - self.mean_ms);
        self.answered_at = now;
    }
}

/// Part of a mean that is left now.
fn decay(observed_at: Time, now: Time) -> f64 {
    (-now.since(observed_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
