//! Limits the pieces sent to a version on trial to a share of all pieces since its trial began
//! here.

/// Pieces sent since the trial began.
#[derive(Debug, Default)]
pub(super) struct TrialQuota {
    total: u64,
    /// Pieces sent to workers of the version on trial.
    trial: u64,
}

impl TrialQuota {
    /// Number of pieces that the version may get now, given its share of all pieces.
    pub(super) fn available(&self, share: f64) -> usize {
        let allowed = (self.total as f64 * share) as u64;
        allowed.saturating_sub(self.trial) as usize
    }

    /// Records pieces sent to a worker.
    pub(super) fn record(&mut self, pieces: usize, is_trial: bool) {
        self.total += pieces as u64;
        if is_trial {
            self.trial += pieces as u64;
        }
    }

    /// Resets the counts when no version is on trial.
    pub(super) fn reset(&mut self) {
        *self = TrialQuota::default();
    }
}
