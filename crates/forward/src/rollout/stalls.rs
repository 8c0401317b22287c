//! Detects stalls of this process: requests open during one took time that their targets did not.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use model::Time;

use crate::node::Node;

/// Interval of clock checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a check from which the process counts as stalled. A host that has used up its CPU share
/// is not scheduled for up to 100 ms, which is common and short compared with the judged times.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// Last stall of this process; checked while orders are running.
#[derive(Default)]
pub struct StallDetector {
    last_check: Cell<Time>,
    last_stall: Cell<Time>,
}

impl StallDetector {
    /// Restarts the checks, so that the time without them is no stall.
    pub(super) fn start(&self, now: Time) {
        self.last_check.set(now);
    }

    fn check(&self, now: Time) {
        if self.is_stalled(now) {
            self.last_stall.set(now);
        }
        self.last_check.set(now);
    }

    fn is_stalled(&self, now: Time) -> bool {
        now.since(self.last_check.get()) > CHECK_INTERVAL + STALL_THRESHOLD
    }

    /// Whether the process stalled after this time.
    pub(super) fn stalled_since(&self, started: Time, now: Time) -> bool {
        self.is_stalled(now) || self.last_stall.get() > started
    }
}

/// Checks for stalls while orders are running, until the process ends.
pub async fn watch(node: Rc<Node>) {
    loop {
        if node.fleet(|f| f.versions().running().next().is_none()) {
            node.rollouts.changed.notified().await;
            continue;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        node.rollouts.stalls.check(node.now());
    }
}
