//! Requests that this node takes on (see [`decide::intake`]).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use decide::intake::Intake;

use crate::events::Event;
use crate::node::Node;

/// Interval at which a full node checks whether it has room again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time for which a node takes no new connection.
const MAX_CLOSED_TIME: Duration = Duration::from_secs(2);

/// Limit on the requests in progress, and on the connections that have just been accepted.
#[derive(Default)]
pub struct LocalIntake {
    machine: RefCell<Intake>,
    awaiting: Cell<usize>,
    /// Whether the balancer is told to send callers to other nodes.
    is_yielding: Cell<bool>,
}

impl LocalIntake {
    /// Whether no further request is to be taken on.
    pub fn is_full(&self, node: &Node) -> bool {
        self.adjust(node);
        self.machine.borrow().is_full()
    }

    /// Adapts the limit to the present load.
    fn adjust(&self, node: &Node) {
        let open = node.open_requests() + self.awaiting.get();
        let mut machine = self.machine.borrow_mut();
        if machine.adjust(open, node.pace(), node.now()) {
            let limit = machine.limit();
            Event::Intake { limit, open, delay_ms: node.local_delay().as_millis() as u64 }.emit();
        }
    }

    /// Waits until a request can be taken on, but not longer than a node that is ready may be closed
    /// to callers; returns whether it can.
    pub async fn wait_for_room(&self, node: &Node) -> bool {
        let until = node.now() + MAX_CLOSED_TIME;
        while self.is_full(node) {
            if node.now() >= until {
                return false;
            }
            tokio::time::sleep(ROOM_POLL_INTERVAL).await;
        }
        true
    }

    /// Whether callers are turned away again and again, or others hold all there is for them.
    pub fn is_overrun(&self, node: &Node) -> bool {
        self.machine.borrow().is_overrun(node.now()) || node.capacity.is_full()
    }

    /// Tells the balancer to send callers to other nodes while this one is overrun and a peer has
    /// room.
    pub fn set_yielding(&self, node: &Node, has_peer: bool) {
        if self.limit().is_some() {
            // The limit also ends if no caller comes.
            self.adjust(node);
        }
        let is_yielding = has_peer && self.is_overrun(node);
        if self.is_yielding.replace(is_yielding) != is_yielding {
            Event::Yielding { is_yielding, open: node.open_requests() }.emit();
        }
    }

    /// Whether the balancer is to send callers to other nodes.
    pub fn is_yielding(&self) -> bool {
        self.is_yielding.get()
    }

    /// The limit; `None` if there is none.
    pub fn limit(&self) -> Option<usize> {
        self.machine.borrow().limit()
    }
}

/// Counts a connection as one whose first request is on the way until dropped.
pub struct AwaitingGuard(Rc<Node>);

impl AwaitingGuard {
    /// Begins to count a connection.
    pub fn new(node: &Rc<Node>) -> Self {
        let awaiting = &node.intake.awaiting;
        awaiting.set(awaiting.get() + 1);
        AwaitingGuard(node.clone())
    }
}

impl Drop for AwaitingGuard {
    fn drop(&mut self) {
        let awaiting = &self.0.intake.awaiting;
        awaiting.set(awaiting.get() - 1);
    }
}
