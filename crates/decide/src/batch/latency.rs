//! Estimates call times relative to the configured ones, and detects overdue calls.
//!
//! Configured call times are approximate: the true ones depend on the stage and on the links that
//! inputs cross. The ratio of actual to expected time is tracked like a TCP round-trip time
//! (Jacobson 1988), with a mean and a mean deviation. Few calls take longer than the mean plus four
//! deviations.

use std::time::Duration;

/// Weight of the newest sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest sample in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of deviations above the mean from which a call is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Deviation assumed before the first sample.
const INITIAL_DEVIATION: f64 = 0.25;
/// Minimum deviation. Under light load all calls take the same time, and a call that is a quarter
/// slower for a moment, for example while a partition heals, is not lost.
const MIN_DEVIATION: f64 = 0.15;
/// Maximum ratio of a sample, since one slow target says nothing about the others.
const MAX_RATIO: f64 = 3.0;
/// Minimum margin above the mean. A host that has used up its CPU quota notices an answer up to 100
/// ms late.
const MIN_MARGIN: Duration = Duration::from_millis(120);

/// Running mean and deviation of call times, as a ratio of the expected time.
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
    /// Records the duration of a call.
    pub(super) fn record(&mut self, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).min(MAX_RATIO);
        let error = ratio - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Mean duration of a call with this expected time.
    pub(super) fn typical(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.mean)
    }

    /// Age from which a call is overdue.
    pub(super) fn overdue_after(&self, expected: Duration) -> Duration {
        let typical = self.typical(expected);
        let deviation = self.deviation.max(MIN_DEVIATION);
        let late = expected.mul_f64(self.mean + OVERDUE_DEVIATIONS * deviation);
        late.max(typical + MIN_MARGIN)
    }
}
