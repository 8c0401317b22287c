//! Waits between failed calls of the store: full jitter over a bound that doubles.

use std::time::Duration;

use crate::node::Node;

/// First wait after a failed call.
const FIRST: Duration = Duration::from_millis(100);
/// Times that the bound doubles at most.
const DOUBLINGS: u32 = 5;

/// Calls that failed one after the other.
#[derive(Debug, Default)]
pub struct Backoff(u32);

impl Backoff {
    /// A call was answered.
    pub fn answered(&mut self) {
        self.0 = 0;
    }

    /// A call failed: waits, for `longest` at most.
    pub async fn failed(&mut self, node: &Node, longest: Duration) {
        let bound = FIRST * 2u32.pow(self.0.min(DOUBLINGS));
        self.0 += 1;
        let pause = node.rng(|r| r.jitter(bound.min(longest)));
        tokio::time::sleep(FIRST / 2 + pause).await;
    }
}
