//! What passes between an entry node and a target: the call of one attempt,
//! the frames of its answer, and the load report.
//!
//! An attempt is (request, step, number). Each call carries it and each frame
//! brings it back, so that a frame of any other attempt can be told and dropped.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Name;

/// Identity of one attempt at one step of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Request id, unique over all entry nodes.
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

/// One call of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The attempt that this call is.
    pub attempt: Attempt,
    /// Name of the step.
    pub step: Name,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Model, for engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Priority, smaller runs first; earliest deadline within it.
    pub priority: u8,
    /// Milliseconds left for this step.
    pub budget: u64,
    /// Input of the request and the results of earlier steps.
    pub input: Value,
    /// Text already delivered; the answer goes on behind it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prior: String,
    /// Number of the first frame wanted.
    #[serde(default)]
    pub from: u64,
    /// Earlier attempt at the same target whose stream is to be resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Attempt>,
}

/// One frame of an answer; a line of JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// A piece of the text.
    Chunk {
        /// Attempt that the piece answers.
        attempt: Attempt,
        /// Position in the answer, from the call's `from`.
        seq: u64,
        /// The text.
        text: String,
    },
    /// The end of the answer.
    End {
        /// Attempt that ends.
        attempt: Attempt,
        /// Position behind the last chunk.
        count: u64,
        /// XXH3-64 over the text from the call's `from` on.
        digest: u64,
        /// Microseconds of the target's time that the attempt took.
        busy: u64,
        /// Expected wait of a new call at the target, in milliseconds.
        wait: u32,
    },
}

impl Frame {
    /// The attempt that the frame claims to answer.
    pub fn attempt(&self) -> &Attempt {
        match self {
            Frame::Chunk { attempt, .. } | Frame::End { attempt, .. } => attempt,
        }
    }
}

/// Asks a target to stop an attempt that nobody waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt to stop.
    pub attempt: Attempt,
}
