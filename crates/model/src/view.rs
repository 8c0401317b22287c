//! What a control node tells its own entry node, and nodes tell each other
//! about the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::load::TargetStatus;
use crate::member::Node;

/// Paths of the control server, for POST with rmp-serde bodies.
pub mod path {
    /// [`super::ViewRequest`] to [`super::View`].
    pub const VIEW: &str = "/v1/view";
    /// [`super::DeltaRequest`] to [`crate::manifest::Delta`].
    pub const DELTA: &str = "/v1/delta";
    /// [`super::ChunksRequest`] to [`super::Chunks`].
    pub const CHUNKS: &str = "/v1/chunks";
    /// [`super::Refusal`] to nothing.
    pub const REFUSED: &str = "/v1/refused";
    /// Entry node: [`crate::claim::ClaimRequest`] to [`crate::claim::ClaimOutcome`].
    pub const CLAIM: &str = "/v1/claim";
    /// Entry node: [`super::LendRequest`] to [`super::LentRate`].
    pub const LEND: &str = "/v1/lend";
}

/// Asks for what changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Change of the load board last seen; 0 for all.
    pub changes: u64,
}

/// What a control node knows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Manifest in force on the control node.
    pub number: u64,
    /// Nodes that are up, the asker's own included.
    pub members: Vec<Node>,
    /// Change of the load board that this brings the asker to.
    pub changes: u64,
    /// Targets that changed.
    pub news: Vec<TargetStatus>,
    /// Hosts that are leaving.
    pub leaving: Vec<Name>,
}

/// Asks for the slots that differ from a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// Manifest in force on the asker.
    pub have: u64,
}

/// Asks for chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunksRequest {
    /// Content addresses.
    pub hashes: Vec<Name>,
}

/// Texts in the order asked; empty where a chunk is not held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunks {
    /// Texts.
    pub texts: Vec<Arc<str>>,
}

/// A target refused new work because it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Target.
    pub target: Name,
}

/// Asks a workspace's home node for a slice of its rate on one pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LendRequest {
    /// Workspace.
    pub workspace: Name,
    /// Pipeline.
    pub pipeline: Name,
    /// Node that asks.
    pub node: Name,
    /// Requests a second that it sees.
    pub demand: f64,
}

/// A slice.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LentRate {
    /// Requests a second.
    pub rate: f64,
}
