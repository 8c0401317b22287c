//! Adaptive concurrency: additive increase, multiplicative decrease on latency
//! (Chiu and Jain 1989; the latency signal as in TCP Vegas).

use std::time::Duration;

use model::Time;

/// Start width.
const START: f64 = 32.0;
/// Least width: a target is never closed by its own slowness.
const LEAST: f64 = 4.0;
/// Most width.
const MOST: f64 = 1024.0;
/// Latency over this many times the usual means a queue at the target.
const QUEUEING: f64 = 4.0;
/// Weight of a new sample in the usual latency; slow, so that a sudden queue shows.
const USUAL: f64 = 0.02;
/// Factor of a decrease.
const DECREASE: f64 = 0.85;
/// Least time between two decreases.
const PAUSE: Duration = Duration::from_millis(200);

/// Width for attempts in flight at one target.
#[derive(Debug, Clone)]
pub struct Concurrency {
    width: f64,
    usual: Option<f64>,
    cut: Time,
}

impl Default for Concurrency {
    fn default() -> Self {
        Concurrency { width: START, usual: None, cut: Time::ZERO }
    }
}

impl Concurrency {
    /// Most attempts in flight.
    #[inline]
    pub fn width(&self) -> u32 {
        self.width as u32
    }

    /// An attempt took `ms` milliseconds while `flying` others ran.
    pub fn sample(&mut self, now: Time, ms: f64, flying: u32) {
        let usual = self.usual.unwrap_or(ms);
        self.usual = Some(usual + USUAL * (ms - usual));
        if ms > usual * QUEUEING {
            return self.drop_back(now);
        }
        // Only a width that is in use may grow.
        if f64::from(flying) * 2.0 >= self.width {
            self.width = (self.width + 1.0 / self.width.max(1.0)).min(MOST);
        }
    }

    /// Narrows after a failure or a slow answer.
    pub fn drop_back(&mut self, now: Time) {
        if self.cut != Time::ZERO && now.since(self.cut) < PAUSE {
            return;
        }
        self.cut = now;
        self.width = (self.width * DECREASE).max(LEAST);
    }
}
