//! What a target's answers tell of it.
//!
//! Both means fade with the time since the last observation, so that a target that was slow or
//! failed once is tried again: without new requests nothing else would show that it recovered.

use std::time::Duration;

use model::Time;

/// Least weight of the newest observation in the means.
const NEWEST: f64 = 0.15;
/// Time in which a mean without observations fades to 1/e.
const FADE: Duration = Duration::from_secs(10);

/// Running means over the answers of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Answers {
    /// Milliseconds, at the last answer; zero before the first.
    mean_ms: f64,
    answered: Time,
    /// Share of failures, at the last observation.
    failing: f64,
    observed: Time,
}

impl Answers {
    /// Expected time of an answer, in milliseconds; `None` if none has come yet.
    pub(super) fn mean_ms(&self, now: Time) -> Option<f64> {
        (self.mean_ms > 0.0).then(|| self.mean_ms * left_of(self.answered, now))
    }

    /// Expected share of failures.
    pub(super) fn failing(&self, now: Time) -> f64 {
        self.failing * left_of(self.observed, now)
    }

    /// When the last observation was made.
    pub(super) fn observed(&self) -> Time {
        self.observed
    }

    /// The share of failures is taken to be half of what it was.
    pub(super) fn halve_failing(&mut self) {
        self.failing /= 2.0;
    }

    /// Counts one observation.
    pub(super) fn count(&mut self, failed: bool, now: Time) {
        let share = if failed { 1.0 } else { 0.0 };
        let faded = self.failing(now);
        self.failing = faded + NEWEST * (share - faded);
        self.observed = now;
    }

    /// An answer came after this time. The older the mean, the less it counts beside it.
    pub(super) fn took(&mut self, time: Duration, now: Time) {
        let ms = time.as_secs_f64() * 1000.0;
        let weight = if self.mean_ms > 0.0 { 1.0 - left_of(self.answered, now) } else { 1.0 };
        self.mean_ms += weight.max(NEWEST) * (ms - self.mean_ms);
        self.answered = now;
    }
}

/// Part of a mean that is left now.
fn left_of(observed: Time, now: Time) -> f64 {
    (-now.since(observed).as_secs_f64() / FADE.as_secs_f64()).exp()
}
