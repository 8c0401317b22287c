//! How old an order is: as long ago as the node that has known of it longest heard of it.

use std::time::Duration;

use model::Time;

/// Age of an order, which grows with time.
#[derive(Debug, Clone, Copy)]
pub struct Age {
    base: Duration,
    at: Time,
}

impl Age {
    /// So old by now.
    pub fn new(base: Duration, now: Time) -> Self {
        Age { base, at: now }
    }

    /// How old it is by now.
    pub fn elapsed(&self, now: Time) -> Duration {
        self.base + now.since(self.at)
    }

    /// It is at least so old: another node heard of it before.
    pub fn raise(&mut self, at_least: Duration, now: Time) {
        *self = Age::new(self.elapsed(now).max(at_least), now);
    }
}
