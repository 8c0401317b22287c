//! Phases of a node's life, in their order.

/// How far a node's life has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifePhase {
    /// It wants callers.
    Serving,
    /// A planned stop has begun; callers may still come.
    Stopping,
    /// The balancer brings no caller any more: connections are closed.
    Closing,
    /// The stop is nearly over: what is still open gets this node's own answer.
    Ending,
}
