//! How many requests cold targets get.
//!
//! A target that has just started, or whose failure domain was evacuated, is cold for some
//! seconds: it bears few requests a second, counted over all nodes, and falls over at many
//! more. So one node at a time starts requests there, evenly. Nodes that are cut off from
//! each other, or do not agree on who that is, are each such an owner; the pace of one leaves
//! room for some.

use std::time::Duration;

use model::forward::ColdTargets;

/// Owners of one target that may act at once: one in each of three failure domains that are
/// cut off from each other, or two while the work moves from one to the other.
const MAX_OWNERS: f64 = 3.0;
/// Span over which a target's requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time by which one request may be later at the target than another: the owner's answer, a
/// connection that is opened, and a host whose share of its core is used up.
const ARRIVAL_JITTER: Duration = Duration::from_millis(250);

/// What the platform allows beyond the requests a second that a cold target bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor.
    pub overrun: f64,
    /// Requests on top.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        ColdBounds { overrun: 1.0, slack: 0.0 }
    }
}

/// How an owner holds back at the cold targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Time for which a target is cold after its failure domain was evacuated.
    pub duration: Duration,
    /// Least time between two starts of requests at one target; `None` if it gets none.
    pub interval: Option<Duration>,
}

impl ColdLimit {
    /// The limit of a service; `None` if its targets bear as much when they are cold.
    pub fn of(cold: &ColdTargets, bounds: ColdBounds) -> Option<ColdLimit> {
        if cold.per_s <= 0.0 {
            return None;
        }
        let total = cold.per_s * bounds.overrun + bounds.slack;
        let per_owner = (total / MAX_OWNERS) as u32;
        let interval = match per_owner {
            0 => None,
            1 => Some((WINDOW + ARRIVAL_JITTER) * 2),
            // In a window come those of its own length and of the stray time before it.
            n => Some((WINDOW + ARRIVAL_JITTER) / (n - 1)),
        };
        Some(ColdLimit { duration: Duration::from_millis(cold.lasts_ms), interval })
    }
}
