//! How many lines a second are written: those of failures and beliefs have a
//! larger allowance than those of what went well.

/// Lines a second of what went well.
const PLAIN: f64 = 150.0;
/// Lines a second of failures and beliefs.
const WEIGHTY: f64 = 600.0;
/// Seconds whose allowance may be used at once.
const BURST: f64 = 2.0;

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket { rate, tokens: rate * BURST }
    }

    fn take(&mut self, seconds: f64) -> bool {
        self.tokens = (self.tokens + seconds * self.rate).min(self.rate * BURST);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Lets lines through up to a rate.
#[derive(Debug)]
pub struct Gate {
    plain: Bucket,
    weighty: Bucket,
    last_ms: u64,
}

impl Default for Gate {
    fn default() -> Self {
        Gate { plain: Bucket::new(PLAIN), weighty: Bucket::new(WEIGHTY), last_ms: 0 }
    }
}

impl Gate {
    /// Whether a line may be written now.
    pub fn pass(&mut self, weighty: bool, now_ms: u64) -> bool {
        let seconds = now_ms.saturating_sub(self.last_ms) as f64 / 1000.0;
        self.last_ms = now_ms;
        // Time passes for both.
        let (one, other) = if weighty {
            (&mut self.weighty, &mut self.plain)
        } else {
            (&mut self.plain, &mut self.weighty)
        };
        other.tokens = (other.tokens + seconds * other.rate).min(other.rate * BURST);
        one.take(seconds)
    }
}
