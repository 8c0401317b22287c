//! Rate limit for cold targets.
//!
//! A target that has just started, or whose failure domain was evacuated, is cold for some seconds:
//! it can serve only a few requests per second, counted over all nodes, and fails under many more.
//! Therefore one node at a time, the target's owner, starts requests there at even intervals. Nodes
//! that are partitioned from each other or disagree on the owner each act as one, so the rate of a
//! single owner leaves room for several.

use std::time::Duration;

use model::forward::ColdTargets;

/// Owners of one target that may act at once: one in each of three failure domains that are
/// partitioned from each other, or two while ownership moves from one node to another.
const MAX_OWNERS: f64 = 3.0;
/// Window over which a target's requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum difference between the delays of two requests on their way to the target: the owner's
/// response, the opening of a connection, and a host that has used up its CPU share.
const ARRIVAL_JITTER: Duration = Duration::from_millis(250);

/// What the platform tolerates beyond the requests per second that a cold target can serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiplier of the target's rate.
    pub overrun: f64,
    /// Requests per second on top of that.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        ColdBounds { overrun: 1.0, slack: 0.0 }
    }
}

/// Limit that an owner applies to the cold targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Time for which a target is cold after the evacuation of its failure domain ended.
    pub duration: Duration,
    /// Minimum time between two request starts at one target; `None` if it gets no requests.
    pub interval: Option<Duration>,
}

impl ColdLimit {
    /// The limit of a service; `None` if its targets need no limit while cold.
    pub fn for_service(cold: &ColdTargets, bounds: ColdBounds) -> Option<ColdLimit> {
        if cold.per_s <= 0.0 {
            return None;
        }
        let total = cold.per_s * bounds.overrun + bounds.slack;
        let per_owner = (total / MAX_OWNERS) as u32;
        let interval = match per_owner {
            0 => None,
            1 => Some((WINDOW + ARRIVAL_JITTER) * 2),
            // A window receives the requests started within its own length and the jitter before
            // it.
            n => Some((WINDOW + ARRIVAL_JITTER) / (n - 1)),
        };
        Some(ColdLimit { duration: Duration::from_millis(cold.lasts_ms), interval })
    }
}
