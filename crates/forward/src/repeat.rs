//! Repeats taken from the budget of a service before it is certain that they are used.

use std::rc::Rc;

use model::Name;

use crate::node::Node;

/// A repeat taken from a service's budget, returned on drop unless it was spent.
pub struct RepeatGuard {
    node: Rc<Node>,
    service: Name,
    is_spent: bool,
}

impl RepeatGuard {
    /// Takes one repeat from this node's share, if permitted.
    pub fn take(node: &Rc<Node>, service: &Name) -> Option<Self> {
        if !node.take_repeat(service) {
            return None;
        }
        Some(RepeatGuard { node: node.clone(), service: service.clone(), is_spent: false })
    }

    /// Records that the repeat is used: a connection is opened, or stages are ordered, for it.
    pub fn spend(mut self) {
        self.is_spent = true;
        self.node.metrics.count_repeat(&self.service);
    }
}

impl Drop for RepeatGuard {
    fn drop(&mut self) {
        if !self.is_spent {
            self.node.return_repeat(&self.service);
        }
    }
}
