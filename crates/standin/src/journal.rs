//! Journal of the calls that a target ran, for the auditor.

use model::Name;
use model::attempt::Attempt;
use serde::{Deserialize, Serialize};

/// One run of a call on a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Target that ran it.
    pub target: Name,
    /// Attempt that was sent to the target.
    pub attempt: Attempt,
    /// Step of the pipeline.
    pub step: Name,
    /// Workspace of the request.
    pub workspace: Name,
    /// Whether it only continued an earlier stream.
    pub resumed: bool,
    /// Whether the work completed.
    pub done: bool,
}

/// Maximum number of recorded runs; later ones are not recorded.
const MAX_RUNS: usize = 200_000;

/// Runs in start order.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Vec<RunRecord>,
}

impl Journal {
    /// Records the start of a run and returns its index.
    pub fn begin(&mut self, run: RunRecord) -> usize {
        if self.runs.len() < MAX_RUNS {
            self.runs.push(run);
        }
        self.runs.len() - 1
    }

    /// Records the completion of the run at `index`.
    pub fn complete(&mut self, index: usize) {
        if let Some(r) = self.runs.get_mut(index) {
            r.done = true;
        }
    }

    /// All recorded runs in start order.
    pub fn runs(&self) -> &[RunRecord] {
        &self.runs
    }
}
