//! What a target's answer says of further requests to it.

use std::time::Duration;

/// What an answer says of further requests to its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// The target leaves.
    pub leaving: bool,
    /// When it wants the next request of this node.
    pub retry_after: RetryAfter,
}

/// Time for which a target that turned a request away wants nothing more from this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// It names none.
    #[default]
    None,
    /// It names this one.
    After(Duration),
    /// It names one that cannot be read.
    Unreadable,
}
