//! Step timeouts, time budgets and required times from observed step durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::Time;

/// Longest step duration that is resolved: 10 minutes, in microseconds.
const MAX_STEP_US: u64 = 600_000_000;
/// Number of samples required for a quantile.
const MIN_SAMPLES: u64 = 20;
/// Number of samples after which a new window starts and the older one is dropped.
const WINDOW_SAMPLES: u64 = 2_000;
/// Timeout before there are enough samples.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Multiple of the 99th percentile used as the timeout.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Durations of one step, in a current and a previous window.
#[derive(Debug, Clone)]
pub struct StepTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Default for StepTimes {
    fn default() -> Self {
        let new = || Histogram::new_with_bounds(1, MAX_STEP_US, 2).expect("bounds are valid");
        StepTimes { current: new(), previous: new() }
    }
}

impl StepTimes {
    /// Records the duration of a step.
    pub fn record(&mut self, took: Duration) {
        if self.current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record((took.as_micros() as u64).max(1));
    }

    /// A quantile of the current window, or of the previous one while that has too few samples;
    /// `None` if both have.
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        let window = if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        (window.len() >= MIN_SAMPLES).then(|| Duration::from_micros(window.value_at_quantile(q)))
    }

    /// How long to wait for an answer before a repeatable step is retried elsewhere.
    pub fn timeout(&self) -> Duration {
        let Some(p99) = self.quantile(0.99) else {
            return DEFAULT_TIMEOUT;
        };
        p99.mul_f64(TIMEOUT_FACTOR).max(MIN_TIMEOUT)
    }

    /// When to send a hedged request for a short step: its 95th percentile.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.quantile(0.95).map(|p| p.max(MIN_TIMEOUT / 10))
    }
}

/// Quantile of each step's time that a request must have left. Most requests admitted with this
/// much time finish in time.
const NEED_QUANTILE: f64 = 0.75;
/// Maximum share of the time left that a request is assumed to need, so that times observed under
/// overload cannot block admission for good.
const MAX_NEED_SHARE: f64 = 0.5;

/// Time that steps will need, by the median of each.
pub fn median_total(times: &[&StepTimes]) -> Duration {
    times.iter().filter_map(|t| t.quantile(0.5)).sum()
}

/// Budget of a step: the time left less what later steps need.
pub fn budget(now: Time, deadline: Time, reserved: Duration) -> Duration {
    deadline.since(now).saturating_sub(reserved)
}

/// Time that a request with these steps and `left` until its deadline must still have when it
/// starts.
pub fn required_time(times: &[&StepTimes], left: Duration) -> Duration {
    let total: Duration = times.iter().filter_map(|t| t.quantile(NEED_QUANTILE)).sum();
    total.min(left.mul_f64(MAX_NEED_SHARE))
}
