//! Messages between a node and the scheduler of a service's engines.

use serde::{Deserialize, Serialize};

use super::{Allowed, Side, TargetId};
use crate::Name;

/// Asks which engine of a failure domain is to prefill a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAsk {
    /// Service of the engines.
    pub service: Name,
    /// Failure domain of the engines.
    pub domain: Name,
    /// Attempt that the prompt belongs to.
    pub attempt: Name,
    /// Regions in which the prompt may be prefilled.
    pub allowed: Allowed,
    /// Version that the request goes to.
    pub side: Side,
    /// Key that determines the prompt's home.
    pub home: u64,
    /// Number of tokens in the shared parts of the prompt.
    pub shared: u64,
    /// Total number of prompt tokens.
    pub tokens: u64,
    /// Time until the first event is due, in milliseconds.
    pub slack_ms: u64,
    /// Excluded engines: those that the request was sent to before.
    pub but: Vec<TargetId>,
}

/// Answer of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAnswer {
    /// Chosen engine; `None` if the scheduler knows none.
    pub engine: Option<TargetId>,
    /// Number of prompt tokens that the engine has to prefill before this prompt.
    pub ahead: u64,
}

/// Reports that an engine has prefilled a prompt or will not prefill it any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillEnd {
    /// Service of the engine.
    pub service: Name,
    /// Failure domain of the engine.
    pub domain: Name,
    /// Attempt that the prompt belongs to.
    pub attempt: Name,
    /// Engine that the prompt was assigned to.
    pub engine: TargetId,
    /// Whether the prompt was prefilled; if not, the request ended before.
    pub was_read: bool,
}
