//! Whether this process stood still: what was open meanwhile took time that its target did not
//! take.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use model::Time;

use crate::node::Node;

/// Time between two looks at the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time beyond that from which on the process stood still. A host whose share of its core is
/// used up gets nothing for up to 100 ms, which is usual and short beside what is judged.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// When this process last stood still, while orders run.
#[derive(Default)]
pub struct StallDetector {
    last_check: Cell<Time>,
    last_stall: Cell<Time>,
}

impl StallDetector {
    /// The clock is looked at from now on.
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

    /// Whether the process stood still after a time.
    pub(super) fn stalled_since(&self, started: Time, now: Time) -> bool {
        self.is_stalled(now) || self.last_stall.get() > started
    }
}

/// Looks at the clock while orders run, until the process ends.
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
