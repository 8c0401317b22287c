//! When a retry may be sent: one layer only, out of a budget that successes
//! fill, after full jitter. Which steps may be retried at all is settled in
//! [`crate::request`], in one place.

use std::time::Duration;

use crate::rng::Rng;

/// First bound of the wait before a retry.
const FIRST_BOUND: Duration = Duration::from_millis(10);
/// Longest bound of the wait before a retry.
const MAX_BOUND: Duration = Duration::from_millis(200);
/// When a caller is told to come back where nothing better is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Wait before the next attempt: full jitter under a doubling bound
/// (Brooker, "Exponential backoff and jitter", 2015).
pub fn backoff(attempts: u16, rng: &mut Rng) -> Duration {
    let bound = FIRST_BOUND * 2u32.pow(u32::from(attempts.saturating_sub(1).min(8)));
    rng.jitter(bound.min(MAX_BOUND))
}

/// Retries of one stage: a share of its successes, with a small reserve.
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
    /// Each success adds `share`; at most `most` are kept, which is also the start.
    pub fn new(refill: f64, capacity: f64) -> Self {
        RetryBudget { tokens: capacity, refill, capacity }
    }

    /// A step answered.
    pub fn success(&mut self) {
        self.tokens = (self.tokens + self.refill).min(self.capacity);
    }

    /// Takes one retry if there is one.
    pub fn take(&mut self) -> bool {
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
