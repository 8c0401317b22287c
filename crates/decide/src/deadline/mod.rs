//! Budgets of steps from observed times, and the admission that follows.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::Time;

/// Longest step that is told apart, 10 minutes in microseconds.
const MAX_STEP_US: u64 = 600_000_000;
/// Samples before a quantile is trusted.
const MIN_SAMPLES: u64 = 20;
/// Samples after which a histogram's older half fades.
const WINDOW_SAMPLES: u64 = 2_000;
/// Timeout before there are enough samples.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);
/// A timeout is this many times the 99th percentile.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Times of one step: whole, and the longest silence between frames.
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
    /// A step took this long.
    pub fn record(&mut self, took: Duration) {
        if self.current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record((took.as_micros() as u64).max(1));
    }

    /// A quantile, if there are enough samples; from the fuller of the two windows.
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        let window = if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        (window.len() >= MIN_SAMPLES).then(|| Duration::from_micros(window.value_at_quantile(q)))
    }

    /// How long to wait for an answer before a repeatable step is tried elsewhere.
    pub fn timeout(&self) -> Duration {
        let Some(p99) = self.quantile(0.99) else {
            return DEFAULT_TIMEOUT;
        };
        p99.mul_f64(TIMEOUT_FACTOR).max(MIN_TIMEOUT)
    }

    /// When to send a hedge beside a short step: its 95th percentile.
    pub fn hedge(&self) -> Option<Duration> {
        self.quantile(0.95).map(|p| p.max(MIN_TIMEOUT / 10))
    }
}

/// Quantile of each step's time that a request must still have; most that are let
/// in with so much left finish in time.
const NEED_QUANTILE: f64 = 0.75;
/// Most of what is left that a request is taken to need: times seen under
/// overload must not shut the door for good.
const MAX_NEED_SHARE: f64 = 0.5;

/// Time that steps will need, by their medians.
pub fn median_total(times: &[&StepTimes]) -> Duration {
    times.iter().filter_map(|t| t.quantile(0.5)).sum()
}

/// Budget of a step: what remains, less what later steps need.
pub fn budget(now: Time, deadline: Time, reserved: Duration) -> Duration {
    deadline.since(now).saturating_sub(reserved)
}

/// Time that a request with these steps, and `left` until its deadline, must have
/// when its turn comes.
pub fn required_time(times: &[&StepTimes], left: Duration) -> Duration {
    let total: Duration = times.iter().filter_map(|t| t.quantile(NEED_QUANTILE)).sum();
    total.min(left.mul_f64(MAX_NEED_SHARE))
}
