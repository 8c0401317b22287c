//! Peers that did not answer messages of a kind, which are left alone for a moment.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use model::Time;
use model::member::NodeId;

/// Time after its rest in which a peer is remembered: its kept connections may have fallen silent.
const RETENTION: Duration = Duration::from_secs(2);

/// Peers that did not answer, and until when they are not asked again.
#[derive(Debug, Default)]
pub struct PeerBackoff(RefCell<HashMap<NodeId, Time>>);

impl PeerBackoff {
    /// Whether a peer is not to be asked yet.
    pub fn is_backed_off(&self, id: &NodeId, now: Time) -> bool {
        self.0.borrow().get(id).is_some_and(|until| now < *until)
    }

    /// Whether a peer did not answer when it was last asked, a while ago at most.
    pub fn failed_recently(&self, id: &NodeId, now: Time) -> bool {
        self.0.borrow().get(id).is_some_and(|until| now < *until + RETENTION)
    }

    /// A peer answered.
    pub fn record_answer(&self, id: &NodeId) {
        self.0.borrow_mut().remove(id);
    }

    /// A peer did not answer, and is left alone for so long.
    pub fn record_failure(&self, id: &NodeId, duration: Duration, now: Time) {
        let mut backoffs = self.0.borrow_mut();
        backoffs.retain(|_, until| now < *until + RETENTION);
        backoffs.insert(id.clone(), now + duration);
    }
}
