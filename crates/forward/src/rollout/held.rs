//! Counts of stored results that requests of this node still need.

use std::cell::RefCell;
use std::collections::HashMap;

use model::forward::{Handle, TargetId};

/// Needed results, counted per worker.
#[derive(Default)]
pub struct NeededResults(RefCell<HashMap<TargetId, u32>>);

impl NeededResults {
    /// Counts a result that a request needs.
    pub fn add(&self, handle: &Handle) {
        *self.0.borrow_mut().entry(handle.maker.clone()).or_default() += 1;
    }

    /// Removes a result that its request no longer needs.
    pub fn remove(&self, handle: &Handle) {
        let mut counts = self.0.borrow_mut();
        let Some(count) = counts.get_mut(&handle.maker) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&handle.maker);
        }
    }

    /// Number of needed results at a worker.
    pub fn count_at(&self, worker: &TargetId) -> u32 {
        self.0.borrow().get(worker).copied().unwrap_or(0)
    }
}
