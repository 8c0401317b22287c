//! Waits between failed calls of the store: full jitter over a bound that doubles.

use std::time::Duration;

use crate::node::Node;

/// First wait after a failed call.
const BASE_DELAY: Duration = Duration::from_millis(100);
/// Times that the bound doubles at most.
const MAX_DOUBLINGS: u32 = 5;

/// Calls that failed one after the other.
#[derive(Debug, Default)]
pub struct Backoff(u32);

impl Backoff {
    /// A call was answered.
    pub fn reset(&mut self) {
        self.0 = 0;
    }

    /// A call failed: waits, for `longest` at most.
    pub async fn wait(&mut self, node: &Node, max: Duration) {
        let bound = BASE_DELAY * 2u32.pow(self.0.min(MAX_DOUBLINGS));
        self.0 += 1;
        let delay = node.rng(|r| r.jitter(bound.min(max)));
        tokio::time::sleep(BASE_DELAY / 2 + delay).await;
    }
}
