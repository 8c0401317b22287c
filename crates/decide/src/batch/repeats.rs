//! How many pieces may be asked for once more.
//!
//! When all calls become slow, repeats would make them slower, so they are bounded: by a part
//! of what is asked for in the long run, and by a part of what all targets work on at a moment.

/// Pieces that may be asked for again for each piece asked for.
const REPEAT_RATIO: f64 = 0.1;
/// Part of what all targets work on at once that may be asked for again at a moment: a failure
/// domain that is cut off holds a third or a half of it.
const BURST_FRACTION: f64 = 0.5;

/// Pieces that may be asked for again now.
#[derive(Debug)]
pub(super) struct RepeatBudget(f64);

impl Default for RepeatBudget {
    fn default() -> Self {
        RepeatBudget(f64::MAX)
    }
}

impl RepeatBudget {
    /// Pieces were asked for.
    pub(super) fn deposit(&mut self, pieces: usize) {
        self.0 += pieces as f64 * REPEAT_RATIO;
    }

    /// Targets work on `all` pieces at once, one call holds `batch` of them. The pieces of one
    /// call may always be asked for again.
    pub(super) fn cap(&mut self, all: usize, batch: usize) {
        let max = (all as f64 * BURST_FRACTION).max(batch as f64);
        self.0 = self.0.min(max);
    }

    /// Takes one piece if it may be asked for again.
    pub(super) fn withdraw(&mut self) -> bool {
        let granted = self.0 >= 1.0;
        if granted {
            self.0 -= 1.0;
        }
        granted
    }
}
