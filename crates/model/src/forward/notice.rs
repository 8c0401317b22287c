//! Notices in answers about further requests to the target.

use std::time::Duration;

/// Notice in an answer about further requests to its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is draining.
    pub leaving: bool,
    /// When it accepts the next request of this node.
    pub retry_after: RetryAfter,
}

/// Time for which a target that rejected a request asks this node to back off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The answer contains no time.
    #[default]
    None,
    /// Time to back off.
    After(Duration),
    /// The answer contains a time that cannot be parsed.
    Unreadable,
}
