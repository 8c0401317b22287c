//! Ejection of a target after repeated failures.

use std::time::Duration;

use model::Time;

/// Consecutive failures that eject a target.
const EJECT_AFTER: u32 = 5;
/// Duration of the first ejection; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Recent failures and ejections of one target.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Time,
}

impl Health {
    /// Records an answer; the ejection backoff resets unless the target is ejected.
    pub fn record_success(&mut self, now: Time) {
        self.failures = 0;
        if now >= self.until {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns true if it ejects the target.
    pub fn record_failure(&mut self, now: Time) -> bool {
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

    /// Whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.until
    }
}
