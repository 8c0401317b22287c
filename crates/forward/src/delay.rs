//! How late this node's own connections are (see [`decide::delay`]).

use std::time::Duration;

use decide::delay::{Connect, Pace, Witness};
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;

/// Maximum time by which a timeout is lengthened while this node is late.
const MAX_STRETCH: Duration = Duration::from_millis(300);

/// An attempt to connect to a target; one that is dropped tells nothing.
pub struct ConnectAttempt<'a> {
    node: &'a Node,
    /// Number of the attempt; `None` for a far target, to which connections always take long.
    number: Option<u64>,
}

impl ConnectAttempt<'_> {
    /// Ends the attempt, with `None` if the end tells nothing of a delay.
    pub fn end(mut self, connect: Option<Connect>) {
        self.record(connect);
    }

    fn record(&mut self, connect: Option<Connect>) {
        let Some(number) = self.number.take() else {
            return;
        };
        let now = self.node.now();
        self.node.delay.borrow_mut().end(number, connect, now);
        self.node.log_delay();
    }
}

impl Drop for ConnectAttempt<'_> {
    fn drop(&mut self) {
        self.record(None);
    }
}

impl Node {
    /// Records that a connection to a target in a failure domain is attempted.
    pub fn begin_connect(&self, domain: &Name) -> ConnectAttempt<'_> {
        let is_near = self.peers.roster(|r| r.map().is_near(domain));
        let number = is_near.then(|| self.delay.borrow_mut().begin(self.now()));
        ConnectAttempt { node: self, number }
    }

    /// Records the end of an attempt to connect to a peer in a failure domain.
    pub fn record_peer_connect(&self, domain: &Name, connect: Connect) {
        if self.peers.roster(|r| r.map().is_near(domain)) {
            self.delay.borrow_mut().record_peer(connect, self.now());
        }
    }

    fn log_delay(&self) {
        let now = self.now();
        let Some(is_late) = self.delay.borrow_mut().take_change(now) else {
            return;
        };
        let state = if is_late { "late" } else { "prompt" };
        let delay_ms = self.local_delay().as_millis() as u64;
        let base_ms = self.delay.borrow().base().as_millis() as u64;
        Event::Delay { state, delay_ms, base_ms, open: self.open_requests() }.emit();
    }

    /// Whether this node's own connections are late, so that a timeout is no evidence against the
    /// other side.
    pub fn is_late(&self) -> bool {
        self.delay.borrow().is_late(self.now())
    }

    /// How late this node's own connections are.
    pub fn pace(&self) -> Pace {
        self.delay.borrow().pace(self.links.is_lost(), self.now())
    }

    /// What this node's connections since `since` show of answers that are missing now.
    pub fn delay_witness(&self, since: Time) -> Witness {
        self.delay.borrow().witness(since, self.now())
    }

    /// Delay that this node adds to its own connections, as far as known.
    pub fn local_delay(&self) -> Duration {
        self.delay.borrow().current(self.now())
    }

    /// A timeout for the other side, lengthened by the delay that this node adds itself.
    pub fn stretched(&self, timeout: Duration) -> Duration {
        timeout + (self.local_delay() * 2).min(MAX_STRETCH)
    }
}
