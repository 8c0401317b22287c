//! Budget for repeating the pieces of overdue calls.
//!
//! Repeats would make calls still slower when all calls are slow. They are limited to a fraction of
//! the pieces sent in the long run, and to a fraction of the pieces in flight at any moment.

/// Repeats earned by each piece sent.
const REPEAT_RATIO: f64 = 0.1;
/// Maximum budget as a fraction of the pieces that all targets work on at once. A failure domain
/// that is cut off holds a third or a half of them.
const BURST_FRACTION: f64 = 0.5;

/// Number of pieces that may be repeated now.
#[derive(Debug)]
pub(super) struct RepeatBudget(f64);

impl Default for RepeatBudget {
    fn default() -> Self {
        RepeatBudget(f64::MAX)
    }
}

impl RepeatBudget {
    /// Adds to the budget for pieces sent.
    pub(super) fn deposit(&mut self, pieces: usize) {
        self.0 += pieces as f64 * REPEAT_RATIO;
    }

    /// Caps the budget, given the pieces that all targets work on at once and the size of one call.
    /// A full call may always be repeated.
    pub(super) fn cap(&mut self, all: usize, batch: usize) {
        let max = (all as f64 * BURST_FRACTION).max(batch as f64);
        self.0 = self.0.min(max);
    }

    /// Takes one repeat from the budget; returns false if it is exhausted.
    pub(super) fn withdraw(&mut self) -> bool {
        let granted = self.0 >= 1.0;
        if granted {
            self.0 -= 1.0;
        }
        granted
    }
}
