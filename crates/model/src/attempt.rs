//! Messages between an entry node and a target: the call of an attempt and the frames of its
//! answer.
//!
//! An attempt is (request, step, number). Each call carries it and each frame repeats it, so
//! frames of any other attempt are recognized and dropped.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Name;

/// Identity of an attempt at one step of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Request id, unique across all entry nodes.
    pub request: Name,
    /// Index of the step in its pipeline.
    pub step: u16,
    /// Number of the attempt at this step, from 0.
    pub number: u16,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.request, self.step, self.number)
    }
}

/// Call of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Attempt that the call makes.
    pub attempt: Attempt,
    /// Name of the step.
    pub step: Name,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Model; set for engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Priority: smaller values run first, and by earliest deadline within a priority.
    pub priority: u8,
    /// Time left for this step, in milliseconds.
    pub budget: u64,
    /// Request input and the results of earlier steps.
    pub input: Value,
    /// Text already delivered; the answer continues after it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prior: String,
    /// Sequence number of the first frame to send.
    #[serde(default)]
    pub from: u64,
    /// Earlier attempt at the same target whose stream to resume.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Attempt>,
}

/// Frame of a streamed answer, encoded as one line of JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// Part of the text.
    Chunk {
        /// Attempt that the frame belongs to.
        attempt: Attempt,
        /// Position in the answer, starting at the call's `from`.
        seq: u64,
        /// Text of the chunk.
        text: String,
    },
    /// End of the answer.
    End {
        /// Attempt that the frame ends.
        attempt: Attempt,
        /// Position after the last chunk.
        count: u64,
        /// XXH3-64 of the text starting at the call's `from`.
        digest: u64,
        /// Time that the target spent on the attempt, in microseconds.
        busy: u64,
        /// Expected queueing time of a new call at the target, in milliseconds.
        wait: u32,
    },
}

impl Frame {
    /// Attempt that the frame claims to belong to.
    pub fn attempt(&self) -> &Attempt {
        match self {
            Frame::Chunk { attempt, .. } | Frame::End { attempt, .. } => attempt,
        }
    }
}

/// Asks a target to stop an attempt whose result is no longer needed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Attempt to stop.
    pub attempt: Attempt,
}
