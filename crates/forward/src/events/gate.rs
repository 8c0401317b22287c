//! Rate limits of log lines: failures and state changes have a higher limit than routine lines.

/// Lines per second on successes and other routine events.
const ROUTINE_RATE: f64 = 150.0;
/// Lines per second on failures and state changes.
const IMPORTANT_RATE: f64 = 600.0;
/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket { rate, tokens: rate * BURST_SECONDS }
    }

    fn try_take(&mut self, seconds: f64) -> bool {
        self.tokens = (self.tokens + seconds * self.rate).min(self.rate * BURST_SECONDS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Limits the rates of important and routine lines separately.
#[derive(Debug)]
pub struct RateLimiter {
    routine: Bucket,
    important: Bucket,
    last_ms: u64,
}

impl Default for RateLimiter {
    fn default() -> Self {
        RateLimiter {
            routine: Bucket::new(ROUTINE_RATE),
            important: Bucket::new(IMPORTANT_RATE),
            last_ms: 0,
        }
    }
}

impl RateLimiter {
    /// Whether a line may be written now.
    pub fn allow(&mut self, important: bool, now_ms: u64) -> bool {
        let seconds = now_ms.saturating_sub(self.last_ms) as f64 / 1000.0;
        self.last_ms = now_ms;
        // The elapsed time refills both buckets.
        let (used, other) = if important {
            (&mut self.important, &mut self.routine)
        } else {
            (&mut self.routine, &mut self.important)
        };
        other.tokens = (other.tokens + seconds * other.rate).min(other.rate * BURST_SECONDS);
        used.try_take(seconds)
    }
}
