//! The whole answer as a caller receives it, and the events of a streamed one.

use serde::{Deserialize, Serialize};

use crate::outcome::RequestReport;

/// Body of a whole answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Text of the last step.
    pub text: String,
    /// How the request ended.
    #[serde(flatten)]
    pub end: RequestReport,
}

/// Data of a `chunk` event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkEvent {
    /// Position, from 0 without gaps.
    pub seq: u64,
    /// The text.
    pub text: String,
}
