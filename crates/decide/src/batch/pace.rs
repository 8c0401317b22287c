//! How long calls take, against what the rules say of them, and when one is overdue.
//!
//! The time of a call is known roughly: it differs by stage and by what its inputs have to
//! cross. So the ratio of true to expected time is followed as TCP follows its round trips
//! (Jacobson 1988): a mean and a mean deviation. A call beyond the mean and four deviations
//! is later than nearly all.

use std::time::Duration;

/// Weight of the newest call in the mean.
const MEAN_NEWEST: f64 = 1.0 / 8.0;
/// Weight of the newest call in the deviation.
const DEVIATION_NEWEST: f64 = 1.0 / 4.0;
/// Deviations beyond the mean from which on a call is overdue.
const DEVIATIONS: f64 = 4.0;
/// Deviation assumed before any call has ended.
const DEVIATION_FIRST: f64 = 0.25;
/// Least deviation reckoned with: in calm all calls take the same time, and those that are a
/// quarter slower for a moment, as when a cut heals, are not lost.
const DEVIATION_LEAST: f64 = 0.15;
/// Largest ratio that is learned from: a target that is slow says nothing of the others.
const RATIO_MOST: f64 = 3.0;
/// Least time beyond the mean: a host whose share of its core is used up for the moment hears
/// of an answer up to 100 ms late.
const MARGIN: Duration = Duration::from_millis(120);

/// Running mean and deviation of the time of calls, as parts of what was expected.
#[derive(Debug)]
pub(super) struct Pace {
    mean: f64,
    deviation: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { mean: 1.0, deviation: DEVIATION_FIRST }
    }
}

impl Pace {
    /// A call took so long.
    pub(super) fn note(&mut self, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).min(RATIO_MOST);
        let error = ratio - self.mean;
        self.mean += MEAN_NEWEST * error;
        self.deviation += DEVIATION_NEWEST * (error.abs() - self.deviation);
    }

    /// Time that a call usually takes.
    pub(super) fn usual(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.mean)
    }

    /// Time from which on a call is overdue.
    pub(super) fn overdue_after(&self, expected: Duration) -> Duration {
        let usual = self.usual(expected);
        let deviation = self.deviation.max(DEVIATION_LEAST);
        let late = expected.mul_f64(self.mean + DEVIATIONS * deviation);
        late.max(usual + MARGIN)
    }
}
