//! How many pieces the workers of a version on trial may get: a part of all that were asked for
//! since its trial began here.

/// Pieces asked for since a version is on trial.
#[derive(Debug, Default)]
pub(super) struct TrialQuota {
    total: u64,
    /// Of these, by workers of the version.
    trial: u64,
}

impl TrialQuota {
    /// Pieces that the version may get now, if it may have this part of all.
    pub(super) fn available(&self, share: f64) -> usize {
        let allowed = (self.total as f64 * share) as u64;
        allowed.saturating_sub(self.trial) as usize
    }

    /// Pieces were asked for, at a worker of the version or at another one.
    pub(super) fn record(&mut self, pieces: usize, is_trial: bool) {
        self.total += pieces as u64;
        if is_trial {
            self.trial += pieces as u64;
        }
    }

    /// No version is on trial.
    pub(super) fn reset(&mut self) {
        *self = TrialQuota::default();
    }
}
