//! How old an order is: as long ago as the node that has known of it longest heard of it.

use std::time::Duration;

use model::Time;

/// Age of an order, which grows with time.
#[derive(Debug, Clone, Copy)]
pub struct Age {
    was: Duration,
    at: Time,
}

impl Age {
    /// So old by now.
    pub fn new(was: Duration, now: Time) -> Self {
        Age { was, at: now }
    }

    /// How old it is by now.
    pub fn by(&self, now: Time) -> Duration {
        self.was + now.since(self.at)
    }

    /// It is at least so old: another node heard of it before.
    pub fn raise(&mut self, at_least: Duration, now: Time) {
        *self = Age::new(self.by(now).max(at_least), now);
    }
}
