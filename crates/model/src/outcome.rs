//! What a caller is told in the end.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Header that carries the outcome.
pub const OUTCOME_HEADER: &str = "pumicevale-outcome";

/// The four outcomes and what each promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer, checked.
    Complete,
    /// No step was sent to any target.
    NotRun,
    /// Ended at a named step and peer; no step that may not be repeated is in doubt.
    Failed,
    /// A step that may not be repeated may have run; it is never resent.
    Unknown,
}

impl Outcome {
    /// The word used in headers, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request ended without its whole answer.
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

/// An error with the step and the peer at which it arose.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepError {
    /// Step, or `admission`.
    pub step: Name,
    /// Target or node, where there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<Name>,
    /// What happened.
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

/// Time and cost of one step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepReport {
    /// Step.
    pub step: Name,
    /// Target that answered.
    pub target: Name,
    /// Attempts sent.
    pub attempts: u16,
    /// Milliseconds from the first send to the end.
    pub millis: f64,
    /// Cost, in the unit of the pool's cost per second.
    pub cost: f64,
}

/// The final word on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Request id.
    pub request: Name,
    /// Outcome.
    pub outcome: Outcome,
    /// Why, unless complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<StepError>,
    /// Steps that ran, in order.
    pub steps: Vec<StepReport>,
    /// Milliseconds after which asking again makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// Whether the answer came within the deadline.
    pub timely: bool,
}
