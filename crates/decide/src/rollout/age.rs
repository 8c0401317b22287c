//! Age of an order, counted from the earliest time at which any node learned of it.

use std::time::Duration;

use model::Time;

/// Age of an order, which grows with time.
#[derive(Debug, Clone, Copy)]
pub struct Age {
    base: Duration,
    at: Time,
}

impl Age {
    /// An order that has this age now.
    pub fn new(base: Duration, now: Time) -> Self {
        Age { base, at: now }
    }

    /// Age at `now`.
    pub fn elapsed(&self, now: Time) -> Duration {
        self.base + now.since(self.at)
    }

    /// Raises the age to `at_least`, as reported by a node that learned of the order earlier.
    pub fn raise(&mut self, at_least: Duration, now: Time) {
        *self = Age::new(self.elapsed(now).max(at_least), now);
    }
}
