//! What a target did, for the auditor.

use model::Name;
use model::attempt::Attempt;
use serde::{Deserialize, Serialize};

/// One run of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Target.
    pub target: Name,
    /// Attempt.
    pub attempt: Attempt,
    /// Step.
    pub step: Name,
    /// Workspace.
    pub workspace: Name,
    /// Whether it only read the rest of an earlier stream.
    pub resumed: bool,
    /// Whether the work was done to its end.
    pub done: bool,
}

/// Most runs kept.
const KEPT: usize = 200_000;

/// Runs in the order in which they began.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Vec<RunRecord>,
}

impl Journal {
    /// Notes a run's begin; returns its index.
    pub fn begin(&mut self, ran: RunRecord) -> usize {
        if self.runs.len() < KEPT {
            self.runs.push(ran);
        }
        self.runs.len() - 1
    }

    /// Notes a run's end.
    pub fn end(&mut self, index: usize) {
        if let Some(r) = self.runs.get_mut(index) {
            r.done = true;
        }
    }

    /// All runs.
    pub fn runs(&self) -> &[RunRecord] {
        &self.runs
    }
}
