//! Monotonic time, passed to the state machines as a value.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an origin that each process chooses; not comparable between processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Origin of the process's time.
    pub const ZERO: Time = Time(0);
    /// Later than any time that a process reaches.
    pub const NEVER: Time = Time(u64::MAX);

    /// Time at `ms` milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Time(ms * 1000)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(d.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, d: Duration) -> Time {
        Time(self.0.saturating_sub(d.as_micros() as u64))
    }
}
