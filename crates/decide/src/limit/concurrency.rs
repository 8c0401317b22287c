//! Adaptive concurrency: additive increase, multiplicative decrease on latency
//! (Chiu and Jain 1989; the latency signal as in TCP Vegas).

use std::time::Duration;

use model::Time;

/// Start width.
const INITIAL_LIMIT: f64 = 32.0;
/// Least width: a target is never closed by its own slowness.
const MIN_LIMIT: f64 = 4.0;
/// Most width.
const MAX_LIMIT: f64 = 1024.0;
/// Latency over this many times the usual means a queue at the target.
const QUEUEING_RATIO: f64 = 4.0;
/// Weight of a new sample in the usual latency; slow, so that a sudden queue shows.
const BASELINE_WEIGHT: f64 = 0.02;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.85;
/// Least time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);

/// Width for attempts in flight at one target.
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
    /// Most attempts in flight.
    #[inline]
    pub fn max_in_flight(&self) -> u32 {
        self.limit as u32
    }

    /// An attempt took `ms` milliseconds while `flying` others ran.
    pub fn record_latency(&mut self, now: Time, ms: f64, in_flight: u32) {
        let baseline_ms = self.baseline_ms.unwrap_or(ms);
        self.baseline_ms = Some(baseline_ms + BASELINE_WEIGHT * (ms - baseline_ms));
        if ms > baseline_ms * QUEUEING_RATIO {
            return self.decrease(now);
        }
        // Only a width that is in use may grow.
        if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// Narrows after a failure or a slow answer.
    pub fn decrease(&mut self, now: Time) {
        if self.last_decrease != Time::ZERO && now.since(self.last_decrease) < DECREASE_INTERVAL {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
