//! Responses to callers: the body of a complete one and the events of a streamed one.

use serde::{Deserialize, Serialize};

use crate::outcome::RequestReport;

/// Body of a complete response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Text of the last step.
    pub text: String,
    /// Outcome of the request; its fields are part of the body.
    #[serde(flatten)]
    pub end: RequestReport,
}

/// Data of a `chunk` event of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkEvent {
    /// Position of the chunk, from 0 without gaps.
    pub seq: u64,
    /// Text of the chunk.
    pub text: String,
}
