//! Exponential backoff with full jitter between failed calls to the store.

use std::time::Duration;

use crate::node::Node;

/// Upper bound of the jitter after the first failed call; half of it is added to every delay.
const BASE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of times that the bound doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Number of consecutive failed calls.
#[derive(Debug, Default)]
pub struct Backoff(u32);

impl Backoff {
    /// Resets the backoff after a successful call.
    pub fn reset(&mut self) {
        self.0 = 0;
    }

    /// Waits after a failed call. `max` limits the jitter.
    pub async fn wait(&mut self, node: &Node, max: Duration) {
        let bound = BASE_DELAY * 2u32.pow(self.0.min(MAX_DOUBLINGS));
        self.0 += 1;
        let delay = node.rng(|r| r.jitter(bound.min(max)));
        tokio::time::sleep(BASE_DELAY / 2 + delay).await;
    }
}
