//! Whether this process stood still: what was open meanwhile took time that its target did not
//! take.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use model::Time;

use crate::node::Node;

/// Time between two looks at the clock.
const EVERY: Duration = Duration::from_millis(50);
/// Time beyond that from which on the process stood still. A host whose share of its core is
/// used up gets nothing for up to 100 ms, which is usual and short beside what is judged.
const LATE: Duration = Duration::from_millis(150);

/// When this process last stood still, while orders run.
#[derive(Default)]
pub struct Stalls {
    looked: Cell<Time>,
    last: Cell<Time>,
}

impl Stalls {
    /// The clock is looked at from now on.
    pub(super) fn begin(&self, now: Time) {
        self.looked.set(now);
    }

    fn look(&self, now: Time) {
        if self.is_late(now) {
            self.last.set(now);
        }
        self.looked.set(now);
    }

    fn is_late(&self, now: Time) -> bool {
        now.since(self.looked.get()) > EVERY + LATE
    }

    /// Whether the process stood still after a time.
    pub(super) fn since(&self, begun: Time, now: Time) -> bool {
        self.is_late(now) || self.last.get() > begun
    }
}

/// Looks at the clock while orders run, until the process ends.
pub async fn watch(node: Rc<Node>) {
    loop {
        if node.fleet(|f| f.versions().running().next().is_none()) {
            node.rollouts.changed.notified().await;
            continue;
        }
        tokio::time::sleep(EVERY).await;
        node.rollouts.stalls.look(node.now());
    }
}
