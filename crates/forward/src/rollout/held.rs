//! Results at their makers that requests of this node still need.

use std::cell::RefCell;
use std::collections::HashMap;

use model::forward::{Handle, TargetId};

/// Count of results by maker.
#[derive(Default)]
pub struct NeededResults(RefCell<HashMap<TargetId, u32>>);

impl NeededResults {
    /// A request needs a result from now on.
    pub fn add(&self, handle: &Handle) {
        *self.0.borrow_mut().entry(handle.maker.clone()).or_default() += 1;
    }

    /// It needs it no longer.
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

    /// Results at a maker.
    pub fn count_at(&self, worker: &TargetId) -> u32 {
        self.0.borrow().get(worker).copied().unwrap_or(0)
    }
}
