//! Backoff per peer for one kind of message.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use model::Time;
use model::member::NodeId;

/// Time for which a failure is remembered after the backoff has ended, because the peer's pooled
/// connections may have fallen silent.
const RETENTION: Duration = Duration::from_secs(2);

/// Peers that did not answer, with the end of their backoff.
#[derive(Debug, Default)]
pub struct PeerBackoff(RefCell<HashMap<NodeId, Time>>);

impl PeerBackoff {
    /// Whether a peer's backoff has not ended yet.
    pub fn is_backed_off(&self, id: &NodeId, now: Time) -> bool {
        self.0.borrow().get(id).is_some_and(|until| now < *until)
    }

    /// Whether a peer's last call failed recently: its backoff lasts, or ended at most `RETENTION`
    /// ago.
    pub fn failed_recently(&self, id: &NodeId, now: Time) -> bool {
        self.0.borrow().get(id).is_some_and(|until| now < *until + RETENTION)
    }

    /// Clears the backoff of a peer that answered.
    pub fn record_answer(&self, id: &NodeId) {
        self.0.borrow_mut().remove(id);
    }

    /// Starts a backoff of `duration` for a peer that did not answer.
    pub fn record_failure(&self, id: &NodeId, duration: Duration, now: Time) {
        let mut backoffs = self.0.borrow_mut();
        backoffs.retain(|_, until| now < *until + RETENTION);
        backoffs.insert(id.clone(), now + duration);
    }
}
