//! How many pieces the makers of a version on trial may get: a part of all that were asked for
//! since its trial began here.

/// Pieces asked for since a version is on trial.
#[derive(Debug, Default)]
pub(super) struct TrialQuota {
    all: u64,
    /// Of these, by makers of the version.
    of_trial: u64,
}

impl TrialQuota {
    /// Pieces that the version may get now, if it may have this part of all.
    pub(super) fn most(&self, share: f64) -> usize {
        let may_have = (self.all as f64 * share) as u64;
        may_have.saturating_sub(self.of_trial) as usize
    }

    /// Pieces were asked for, at a maker of the version or at another one.
    pub(super) fn asked(&mut self, pieces: usize, is_trial: bool) {
        self.all += pieces as u64;
        if is_trial {
            self.of_trial += pieces as u64;
        }
    }

    /// No version is on trial.
    pub(super) fn ended(&mut self) {
        *self = TrialQuota::default();
    }
}
