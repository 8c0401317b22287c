//! Messages from a control node to its entry node, and between nodes about the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::load::TargetStatus;
use crate::member::Node;

/// Paths for POST requests with MessagePack bodies, on the control server unless noted.
pub mod path {
    /// [`super::ViewRequest`] to [`super::View`].
    pub const VIEW: &str = "/v1/view";
    /// [`super::DeltaRequest`] to [`crate::manifest::Delta`].
    pub const DELTA: &str = "/v1/delta";
    /// [`super::ChunksRequest`] to [`super::Chunks`].
    pub const CHUNKS: &str = "/v1/chunks";
    /// [`super::Refusal`]; the response has no body.
    pub const REFUSED: &str = "/v1/refused";
    /// Entry node: [`crate::claim::ClaimRequest`] to [`crate::claim::ClaimOutcome`].
    pub const CLAIM: &str = "/v1/claim";
    /// Entry node: [`super::LendRequest`] to [`super::LentRate`].
    pub const LEND: &str = "/v1/lend";
}

/// Asks for the changes to a [`View`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Last change number received; 0 requests all targets.
    pub changes: u64,
}

/// View of a control node of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Manifest applied on the control node.
    pub number: u64,
    /// Nodes that are up, including the requesting one.
    pub members: Vec<Node>,
    /// Change number that the view is up to date with.
    pub changes: u64,
    /// Targets whose status changed.
    #[serde(rename = "news")]
    pub changed_targets: Vec<TargetStatus>,
    /// Hosts that are leaving.
    pub leaving: Vec<Name>,
}

/// Asks for the slots that changed since a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// Manifest applied on the requesting node.
    pub have: u64,
}

/// Asks for chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunksRequest {
    /// Content addresses of the chunks.
    pub hashes: Vec<Name>,
}

/// Contents of the requested chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunks {
    /// Texts in the order of the request; empty if the node does not have a chunk.
    pub texts: Vec<Arc<str>>,
}

/// Report that a target rejected new work because it is draining.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Target that rejected work.
    pub target: Name,
}

/// Asks a workspace's home node for a share of the workspace's request rate on a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LendRequest {
    /// Workspace whose rate is shared.
    pub workspace: Name,
    /// Pipeline that the rate applies to.
    pub pipeline: Name,
    /// Node that asks for the share.
    pub node: Name,
    /// Request rate at this node, per second.
    pub demand: f64,
}

/// Lent share of a workspace's request rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LentRate {
    /// Requests per second.
    pub rate: f64,
}
