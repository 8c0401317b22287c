//! Ejection of a target that fails again and again.

use std::time::Duration;

use model::Time;

/// Failures in a row that eject a target.
const EJECT_AFTER: u32 = 5;
/// First ejection; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Whether one target has earned trust lately.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Time,
}

impl Health {
    /// The target answered.
    pub fn success(&mut self, now: Time) {
        self.failures = 0;
        if now >= self.until {
            self.ejections = 0;
        }
    }

    /// The target failed; returns true if this ejects it.
    pub fn failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < EJECT_AFTER || now < self.until {
            return false;
        }
        self.failures = 0;
        let length = FIRST_EJECTION * 2u32.pow(self.ejections.min(8));
        self.until = now + length.min(MAX_EJECTION);
        self.ejections += 1;
        true
    }

    /// Whether the target is ejected.
    pub fn ejected(&self, now: Time) -> bool {
        now < self.until
    }
}
