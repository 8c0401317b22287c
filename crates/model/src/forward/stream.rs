//! Messages between nodes about the origins of resumable streams.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Where the first event of a stream came from. Only targets of the same service and version may
/// continue it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: Name,
    /// Version of its software.
    pub version: Name,
}

/// Hash of a stream's caller and of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

/// Streams that began at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    /// Origin of all of them.
    pub origin: StreamOrigin,
    /// Longest time for which the caller of one of them may resume it, in milliseconds.
    pub ttl_ms: u64,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Asks a node for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// The stream.
    pub stream: StreamKey,
}

/// Answer to a [`StreamQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// Origin of the stream, if the node knows it.
    pub origin: Option<StreamOrigin>,
}
