//! Peers that did not answer messages of a kind, which are left alone for a moment.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use model::Time;
use model::member::NodeId;

/// Time after its rest in which a peer is remembered: its kept connections may have fallen silent.
const KEPT: Duration = Duration::from_secs(2);

/// Peers that did not answer, and until when they are not asked again.
#[derive(Debug, Default)]
pub struct Resting(RefCell<HashMap<NodeId, Time>>);

impl Resting {
    /// Whether a peer is not to be asked yet.
    pub fn rests(&self, id: &NodeId, now: Time) -> bool {
        self.0.borrow().get(id).is_some_and(|until| now < *until)
    }

    /// Whether a peer did not answer when it was last asked, a while ago at most.
    pub fn has_rested(&self, id: &NodeId, now: Time) -> bool {
        self.0.borrow().get(id).is_some_and(|until| now < *until + KEPT)
    }

    /// A peer answered.
    pub fn answered(&self, id: &NodeId) {
        self.0.borrow_mut().remove(id);
    }

    /// A peer did not answer, and is left alone for so long.
    pub fn did_not_answer(&self, id: &NodeId, rest: Duration, now: Time) {
        let mut resting = self.0.borrow_mut();
        resting.retain(|_, until| now < *until + KEPT);
        resting.insert(id.clone(), now + rest);
    }
}
