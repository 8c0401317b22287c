//! Deletion of claim objects whose keys can no longer be claimed. The floor is raised first and
//! objects are deleted only after [`DELETE_MARGIN_MS`], so that a node with a slow clock and an
//! outdated floor refuses their keys by then.

use std::time::Duration;

use model::Time;
use model::claim::Floor;

use super::{Committer, DELETE_MARGIN_MS};

/// Time between two raises of the floor.
const INTERVAL: Duration = Duration::from_secs(60);

/// Effect to be carried out by the caller of the [`Sweep`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SweepAction {
    /// Raise the floor to this bucket; never lower it.
    Raise(Floor),
    /// Delete all claim objects of lower buckets.
    DeleteBelow(u64),
}

/// Schedule of the sweep, run by the holder of the manifest lease.
#[derive(Debug, Default)]
pub struct Sweep {
    raised: Option<(u64, Time)>,
    next_raise: Time,
}

impl Sweep {
    /// Returns the action due at `now`; `unix_ms` is the node's wall clock.
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

    /// Records that the store accepted a floor at `bucket`.
    pub fn floor_raised(&mut self, now: Time, bucket: u64) {
        self.raised = Some((bucket, now));
    }
}
