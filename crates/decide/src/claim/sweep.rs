//! Deleting claim objects whose keys nobody may claim any longer. The floor
//! moves first; objects go only after a margin, so that a node with a slow
//! clock that still trusts an old floor has refused by then.

use std::time::Duration;

use model::Time;
use model::claim::Floor;

use super::{Committer, DELETE_MARGIN_MS};

/// How often the floor moves.
const INTERVAL: Duration = Duration::from_secs(60);

/// What the sweep wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SweepAction {
    /// Raise the floor to this bucket, never lower it.
    Raise(Floor),
    /// Delete every claim object of a lower bucket.
    DeleteBelow(u64),
}

/// The sweep, run by the holder of the manifest lease.
#[derive(Debug, Default)]
pub struct Sweep {
    raised: Option<(u64, Time)>,
    next_raise: Time,
}

impl Sweep {
    /// What is due now, by this wall clock.
    pub fn tick(&mut self, now: Time, unix_ms: u64) -> Option<SweepAction> {
        if let Some((bucket, at)) = self.raised
            && now.since(at) >= Duration::from_millis(DELETE_MARGIN_MS)
        {
            self.raised = None;
            return Some(SweepAction::DeleteBelow(bucket));
        }
        if self.raised.is_some() || now < self.next_raise {
            return None;
        }
        self.next_raise = now + INTERVAL;
        Some(SweepAction::Raise(Floor { bucket: Committer::oldest_bucket(unix_ms) }))
    }

    /// The store took the floor.
    pub fn floor_raised(&mut self, now: Time, bucket: u64) {
        self.raised = Some((bucket, now));
    }
}
