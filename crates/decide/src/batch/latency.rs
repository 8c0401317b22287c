//! How long calls take, against what the rules say of them, and when one is overdue.
//!
//! The time of a call is known roughly: it differs by stage and by what its inputs have to
//! cross. So the ratio of true to expected time is followed as TCP follows its round trips
//! (Jacobson 1988): a mean and a mean deviation. A call beyond the mean and four deviations
//! is later than nearly all.

use std::time::Duration;

/// Weight of the newest call in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest call in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations beyond the mean from which on a call is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Deviation assumed before any call has ended.
const INITIAL_DEVIATION: f64 = 0.25;
/// Least deviation reckoned with: in calm all calls take the same time, and those that are a
/// quarter slower for a moment, as when a cut heals, are not lost.
const MIN_DEVIATION: f64 = 0.15;
/// Largest ratio that is learned from: a target that is slow says nothing of the others.
const MAX_RATIO: f64 = 3.0;
/// Least time beyond the mean: a host whose share of its core is used up for the moment hears
/// of an answer up to 100 ms late.
const MIN_MARGIN: Duration = Duration::from_millis(120);

/// Running mean and deviation of the time of calls, as parts of what was expected.
#[derive(Debug)]
pub(super) struct LatencyEstimate {
    mean: f64,
    deviation: f64,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        LatencyEstimate { mean: 1.0, deviation: INITIAL_DEVIATION }
    }
}

impl LatencyEstimate {
    /// A call took so long.
    pub(super) fn record(&mut self, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).min(MAX_RATIO);
        let error = ratio - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Time that a call usually takes.
    pub(super) fn typical(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.mean)
    }

    /// Time from which on a call is overdue.
    pub(super) fn overdue_after(&self, expected: Duration) -> Duration {
        let typical = self.typical(expected);
        let deviation = self.deviation.max(MIN_DEVIATION);
        let late = expected.mul_f64(self.mean + OVERDUE_DEVIATIONS * deviation);
        late.max(typical + MIN_MARGIN)
    }
}
