//! Adaptive concurrency limit: additive increase and multiplicative decrease (Chiu and Jain 1989),
//! with latency as the congestion signal as in TCP Vegas.

use std::time::Duration;

use model::Time;

/// Initial limit on attempts in flight.
const INITIAL_LIMIT: f64 = 32.0;
/// Minimum limit, so that a slow target still receives attempts.
const MIN_LIMIT: f64 = 4.0;
/// Maximum limit.
const MAX_LIMIT: f64 = 1024.0;
/// Ratio of latency to baseline above which the target is assumed to queue.
const QUEUEING_RATIO: f64 = 4.0;
/// Weight of a new sample in the baseline latency (moving average); low, so that a sudden queue
/// stands out.
const BASELINE_WEIGHT: f64 = 0.02;
/// Factor applied to the limit on a decrease.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);

/// Limit on attempts in flight at one target.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    baseline_ms: Option<f64>,
    last_decrease: Time,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit { limit: INITIAL_LIMIT, baseline_ms: None, last_decrease: Time::ZERO }
    }
}

impl ConcurrencyLimit {
    /// Current limit on attempts in flight.
    #[inline]
    pub fn max_in_flight(&self) -> u32 {
        self.limit as u32
    }

    /// Records the latency of an attempt, in milliseconds, with `in_flight` others running.
    pub fn record_latency(&mut self, now: Time, ms: f64, in_flight: u32) {
        let baseline_ms = self.baseline_ms.unwrap_or(ms);
        self.baseline_ms = Some(baseline_ms + BASELINE_WEIGHT * (ms - baseline_ms));
        if ms > baseline_ms * QUEUEING_RATIO {
            return self.decrease(now);
        }
        // Grow only while at least half of the limit is in use.
        if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// Decreases the limit after a failure or a slow answer.
    pub fn decrease(&mut self, now: Time) {
        if self.last_decrease != Time::ZERO && now.since(self.last_decrease) < DECREASE_INTERVAL {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
