//! Results at their makers that requests of this node still need.

use std::cell::RefCell;
use std::collections::HashMap;

use model::forward::{Handle, TargetId};

/// Count of results by maker.
#[derive(Default)]
pub struct Held(RefCell<HashMap<TargetId, u32>>);

impl Held {
    /// A request needs a result from now on.
    pub fn keep(&self, handle: &Handle) {
        *self.0.borrow_mut().entry(handle.maker.clone()).or_default() += 1;
    }

    /// It needs it no longer.
    pub fn release(&self, handle: &Handle) {
        let mut held = self.0.borrow_mut();
        let Some(count) = held.get_mut(&handle.maker) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            held.remove(&handle.maker);
        }
    }

    /// Results at a maker.
    pub fn at(&self, maker: &TargetId) -> u32 {
        self.0.borrow().get(maker).copied().unwrap_or(0)
    }
}
