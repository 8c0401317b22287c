//! How many lines a second are written: those of failures and beliefs have a
//! larger allowance than those of what went well.

/// Lines a second of what went well.
const ROUTINE_RATE: f64 = 150.0;
/// Lines a second of failures and beliefs.
const IMPORTANT_RATE: f64 = 600.0;
/// Seconds whose allowance may be used at once.
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

/// Lets lines through up to a rate.
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
        // Time passes for both.
        let (used, other) = if important {
            (&mut self.important, &mut self.routine)
        } else {
            (&mut self.routine, &mut self.important)
        };
        other.tokens = (other.tokens + seconds * other.rate).min(other.rate * BURST_SECONDS);
        used.try_take(seconds)
    }
}
