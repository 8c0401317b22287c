//! Lifecycle phases of a node, in order.

/// Lifecycle phase of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifePhase {
    /// The node is available to callers.
    Serving,
    /// A graceful stop has begun; new callers are still served.
    Stopping,
    /// The load balancer no longer sends callers; connections are closed.
    Closing,
    /// The stop is nearly over; this node itself answers requests that are still open.
    Ending,
}
