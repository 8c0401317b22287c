//! Messages between a node and the scheduler of a service's engines.

use serde::{Deserialize, Serialize};

use super::{Allowed, Side, TargetId};
use crate::Name;

/// Asks which engine of a failure domain is to read a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAsk {
    /// Service of the engines.
    pub service: Name,
    /// Failure domain of the engines.
    pub domain: Name,
    /// Attempt that the prompt belongs to.
    pub attempt: Name,
    /// Regions in which it may be read.
    pub allowed: Allowed,
    /// Version that it goes to.
    pub side: Side,
    /// Key of the prompt's home.
    pub home: u64,
    /// Tokens of its shared parts.
    pub shared: u64,
    /// Tokens of all of it.
    pub tokens: u64,
    /// Milliseconds until its first event is due.
    pub slack_ms: u64,
    /// Engines that it was sent to before.
    pub but: Vec<TargetId>,
}

/// The scheduler's choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAnswer {
    /// Engine; `None` if the scheduler knows none.
    pub engine: Option<TargetId>,
    /// Prompt tokens that the engine has to read before.
    pub ahead: u64,
}

/// An engine has read a prompt, or will not read it any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillEnd {
    /// Service of the engine.
    pub service: Name,
    /// Failure domain of the engine.
    pub domain: Name,
    /// Attempt that the prompt belongs to.
    pub attempt: Name,
    /// Engine.
    pub engine: TargetId,
    /// Whether it was read; else the request ended before.
    pub was_read: bool,
}
