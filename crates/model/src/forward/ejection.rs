//! Messages between nodes about targets that serve nothing.
//!
//! Messages are encoded with field names, and missing fields have defaults, so nodes of different
//! builds interoperate. Ages are in milliseconds.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::Name;

/// How a target fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FailureKind {
    /// Requests do not run: it rejects them.
    NotRun,
    /// Requests may run: it answers with errors, or its connections break.
    Failed,
}

impl FailureKind {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureKind::NotRun => "not_run",
            FailureKind::Failed => "failed",
        }
    }
}

/// Consecutive failures of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The target.
    pub target: TargetId,
    /// Kind of the last failure.
    pub kind: FailureKind,
    /// Time since the first of them.
    #[serde(default)]
    pub since_ms: u64,
}

/// What a message about ejections asks of its recipient.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EjectionStep {
    /// Collect the evidence of all nodes, as the keeper of these targets.
    Report,
    /// Answer with the own evidence on the failing targets.
    Query,
    /// Eject the failing targets, and end the ejection of those that recovered.
    Announce,
}

/// Message about targets that serve nothing, or do so again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionMessage {
    /// Name of the sending node.
    pub from: Name,
    /// What is asked.
    pub step: EjectionStep,
    /// Targets that serve nothing.
    #[serde(default)]
    pub failing: Vec<FailureReport>,
    /// Targets that serve again.
    #[serde(default)]
    pub recovered: Vec<TargetId>,
}

/// What a node saw of a target since the first failure in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// It served a request that was sent later.
    Served,
    /// It failed the last request.
    Failed,
    /// No request was sent to it lately.
    Unknown,
}

/// Answer to a message about ejections.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionAnswer {
    /// Evidence on each failing target of a query, in its order.
    #[serde(default)]
    pub evidence: Vec<Evidence>,
    /// Targets of a report that all nodes of the failure domain have been told to eject.
    #[serde(default)]
    pub ejected: Vec<TargetId>,
}
