//! Urgency of requests.

use serde::{Deserialize, Serialize};

/// Urgency of a request; lower is more urgent. Workspace ranks are compared first; route ranks
/// order the requests of workspaces of the same rank.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Rank of the workspace, or of the route if the workspace has none.
    pub workspace: u8,
    /// Rank of the route.
    pub route: u8,
}

impl Rank {
    /// Number of priority levels that a target distinguishes.
    const LEVELS: u8 = 10;
    /// Number of levels for the routes of one workspace rank.
    const ROUTE_LEVELS: u8 = 3;

    /// Rank of a request on a route, with the optional rank of its workspace.
    pub fn new(workspace: Option<u8>, route: u8) -> Rank {
        Rank { workspace: workspace.unwrap_or(route), route }
    }

    /// Priority level at a target, 0 to 9.
    pub fn level(self) -> u8 {
        let base = self.workspace.saturating_mul(Self::ROUTE_LEVELS);
        let level = base.saturating_add(self.route.min(Self::ROUTE_LEVELS - 1));
        level.min(Self::LEVELS - 1)
    }
}
