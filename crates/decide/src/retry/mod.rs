//! When a retry may be sent: at one layer only, from a budget that successes refill, after a
//! backoff with full jitter. Which steps may be retried at all is decided in one place,
//! [`crate::request`].

use std::time::Duration;

use crate::rng::Rng;

/// Bound of the first backoff.
const FIRST_BOUND: Duration = Duration::from_millis(10);
/// Maximum bound of a backoff.
const MAX_BOUND: Duration = Duration::from_millis(200);
/// Retry-after sent to callers where no better estimate is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Backoff before the next attempt: full jitter under a doubling bound (Brooker, "Exponential
/// backoff and jitter", 2015).
pub fn backoff(attempts: u16, rng: &mut Rng) -> Duration {
    let bound = FIRST_BOUND * 2u32.pow(u32::from(attempts.saturating_sub(1).min(8)));
    rng.jitter(bound.min(MAX_BOUND))
}

/// Retry budget of one stage: a share of its successes, with a small reserve.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    refill: f64,
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(0.1, 10.0)
    }
}

impl RetryBudget {
    /// Each success adds `refill` tokens, up to `capacity`, which is also the initial number.
    pub fn new(refill: f64, capacity: f64) -> Self {
        RetryBudget { tokens: capacity, refill, capacity }
    }

    /// Adds the tokens of one success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.refill).min(self.capacity);
    }

    /// Takes one token; returns false if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
