//! Outcomes of requests, as reported to callers.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Response header that carries the outcome.
pub const OUTCOME_HEADER: &str = "pumicevale-outcome";

/// Outcome of a request and what it guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete and its digest was verified.
    Complete,
    /// No step was sent to any target.
    NotRun,
    /// Failed at a named step and peer; it is known of each non-repeatable step whether it ran.
    Failed,
    /// A non-repeatable step may have run; it is never resent.
    Unknown,
}

impl Outcome {
    /// Name of the outcome in headers, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Reason why a request ended without a complete answer.
#[derive(
    Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, thiserror::Error,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the deadline passed
    Deadline,
    /// the deadline cannot be met
    Hopeless,
    /// no target is ready
    NoTarget,
    /// the queue is full
    Overload,
    /// the workspace is over its rate
    Limit,
    /// the target could not be reached: {0}
    Unreachable(String),
    /// the answer broke off: {0}
    Broken(String),
    /// the answer is not whole: {0}
    Corrupt(String),
    /// the target refused: {0}
    Refused(String),
    /// the key was claimed before
    Claimed,
    /// the key is too old
    OldKey,
    /// the key lies in the future
    FutureKey,
    /// the claim could not be written
    NoClaim,
    /// it is not known whether the claim was written
    ClaimDoubt,
    /// the caller went away
    Gone,
    /// the node is stopping
    Stopping,
    /// no configuration is in force yet
    NoConfig,
}

/// Error with the step and the peer at which it occurred.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepError {
    /// Name of the step, or `admission`.
    pub step: Name,
    /// Target or node, if one was involved.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<Name>,
    /// Reason of the error.
    pub reason: Reason,
}

impl std::fmt::Display for StepError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.peer {
            Some(p) => write!(f, "step {} at {p}: {}", self.step, self.reason),
            None => write!(f, "step {}: {}", self.step, self.reason),
        }
    }
}

impl std::error::Error for StepError {}

/// Duration and cost of a step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepReport {
    /// Name of the step.
    pub step: Name,
    /// Target that answered.
    pub target: Name,
    /// Number of attempts sent.
    pub attempts: u16,
    /// Time from the first send to the end, in milliseconds.
    pub millis: f64,
    /// Cost in the unit of the pool's cost per second.
    pub cost: f64,
}

/// Final report on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Request id.
    pub request: Name,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Error, unless the request is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<StepError>,
    /// Steps that ran, in order.
    pub steps: Vec<StepReport>,
    /// Time after which a retry makes sense, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// Whether the answer was complete within the deadline.
    pub timely: bool,
}
