//! The process's monotonic clock, handed to decisions as [`Time`].

use std::time::{SystemTime, UNIX_EPOCH};

use model::Time;
use tokio::time::Instant;

/// Reads the monotonic clock; follows `tokio::time::pause` in tests.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Time since the clock was made.
    pub fn now(&self) -> Time {
        Time(self.0.elapsed().as_micros() as u64)
    }

    /// The instant at which [`Clock::now`] reads `at`.
    pub fn instant(&self, at: Time) -> Instant {
        // A century away is never; `Instant` would overflow.
        const CENTURY: u64 = 100 * 365 * 86_400 * 1_000_000;
        self.0 + std::time::Duration::from_micros(at.0.min(CENTURY))
    }
}

/// Wall-clock milliseconds since 1970, for keys only.
pub fn unix_ms() -> u64 {
    let d = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    d.as_millis() as u64
}
