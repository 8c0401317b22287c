//! How urgent a request is.

use serde::{Deserialize, Serialize};

/// Urgency of a request; the least is the most urgent. A workspace's rank goes before its
/// routes', which order the requests of workspaces of one rank.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Rank of the workspace; the route's where the workspace has none.
    pub workspace: u8,
    /// Rank of the route.
    pub route: u8,
}

impl Rank {
    /// Levels that a target tells apart.
    const LEVELS: u8 = 10;
    /// Of these, levels of one workspace's routes.
    const ROUTE_LEVELS: u8 = 3;

    /// Rank of a request on a route, of a workspace that may have a rank of its own.
    pub fn new(workspace: Option<u8>, route: u8) -> Rank {
        Rank { workspace: workspace.unwrap_or(route), route }
    }

    /// The rank as one of a target's levels, 0 to 9.
    pub fn level(self) -> u8 {
        let base = self.workspace.saturating_mul(Self::ROUTE_LEVELS);
        let level = base.saturating_add(self.route.min(Self::ROUTE_LEVELS - 1));
        level.min(Self::LEVELS - 1)
    }
}
