//! Latency and failure rate of a target, estimated from its answers.
//!
//! Both are moving averages that decay with the time since the last observation, so that a target
//! that was slow or failed once is tried again: without new requests nothing else would show its
//! recovery.

use std::time::Duration;

use model::Time;

/// Minimum weight of the newest observation in a moving average.
const MIN_WEIGHT: f64 = 0.15;
/// Time constant of the exponential decay (to 1/e) of an average without observations.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Moving averages over the answers of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerStats {
    /// Milliseconds as of `answered_at`; zero before the first answer.
    mean_ms: f64,
    answered_at: Time,
    /// Share of failed requests as of `observed_at`.
    failure_rate: f64,
    observed_at: Time,
}

impl AnswerStats {
    /// Expected latency in milliseconds; `None` before the first answer.
    pub(super) fn mean_ms(&self, now: Time) -> Option<f64> {
        (self.mean_ms > 0.0).then(|| self.mean_ms * decay(self.answered_at, now))
    }

    /// Expected share of failed requests, 0 to 1.
    pub(super) fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * decay(self.observed_at, now)
    }

    /// Time of the last recorded outcome.
    pub(super) fn observed_at(&self) -> Time {
        self.observed_at
    }

    /// Halves the failure rate, after an answer of a recovering target.
    pub(super) fn halve_failure_rate(&mut self) {
        self.failure_rate /= 2.0;
    }

    /// Replaces the mean latency, of which an answer after a long time would leave little.
    pub(super) fn set_mean_ms(&mut self, mean_ms: f64, now: Time) {
        (self.mean_ms, self.answered_at) = (mean_ms, now);
    }

    /// Raises the failure rate to at least `rate`.
    pub(super) fn raise_failure_rate(&mut self, rate: f64, now: Time) {
        self.failure_rate = self.failure_rate(now).max(rate);
        self.observed_at = now;
    }

    /// Lowers the failure rate to at most `rate`.
    pub(super) fn lower_failure_rate(&mut self, rate: f64) {
        self.failure_rate = self.failure_rate.min(rate);
    }

    /// Records whether one request failed.
    pub(super) fn record_outcome(&mut self, failed: bool, now: Time) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let decayed = self.failure_rate(now);
        self.failure_rate = decayed + MIN_WEIGHT * (outcome - decayed);
        self.observed_at = now;
    }

    /// Records the latency of one answer. The older the average, the less weight it keeps.
    pub(super) fn record_latency(&mut self, latency: Duration, now: Time) {
        let ms = latency.as_secs_f64() * 1000.0;
        let weight = if self.mean_ms > 0.0 { 1.0 - decay(self.answered_at, now) } else { 1.0 };
        self.mean_ms += weight.max(MIN_WEIGHT) * (ms - self.mean_ms);
        self.answered_at = now;
    }
}

/// Factor by which an average has decayed.
fn decay(observed_at: Time, now: Time) -> f64 {
    (-now.since(observed_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
