//! How many requests a node takes on at the same time.
//!
//! There is no limit as long as the node's own connections are prompt. Once they are late, its link
//! or processor is full: the limit is set below the requests in progress and lowered further while
//! the delay lasts. When it is over, the limit grows until it is no longer reached, and ends.

use std::time::Duration;

use model::Time;

use crate::delay::Pace;

/// Minimum time between two steps; a step shows in the delay only after about this time.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Factor of a step down.
const DECREASE: f64 = 0.85;
/// Factor of a step up.
const INCREASE: f64 = 1.05;
/// Minimum limit.
const MIN_LIMIT: f64 = 8.0;
/// Share of the limit below which a full node takes on requests again.
const ROOM_SHARE: f64 = 0.9;
/// Time after which a limit that is not reached ends.
const UNREACHED_TTL: Duration = Duration::from_secs(3);
/// Time for which a node must have had a limit before it counts as overrun.
const OVERRUN_TIME: Duration = Duration::from_secs(1);
/// Time for which a limit that was reached shows that callers are turned away.
const REACHED_TTL: Duration = Duration::from_millis(500);

/// Limit on the requests in progress.
#[derive(Debug, Default)]
pub struct Intake {
    limit: Option<f64>,
    is_full: bool,
    limited_since: Option<Time>,
    stepped_at: Time,
    reached_at: Time,
}

impl Intake {
    /// The limit; `None` if there is none.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }

    /// Whether no further request is to be taken on.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Whether the node has turned callers away again and again for a while, so that others had
    /// better take them.
    pub fn is_overrun(&self, now: Time) -> bool {
        let has_been_full = self.limited_since.is_some_and(|at| now.since(at) >= OVERRUN_TIME);
        has_been_full && now.since(self.reached_at) < REACHED_TTL
    }

    /// Adapts the limit to the requests in progress and to how late the node's connections are;
    /// returns whether a limit has begun or ended.
    pub fn adjust(&mut self, open: usize, pace: Pace, now: Time) -> bool {
        let had_limit = self.limit.is_some();
        let open = open as f64;
        if now.since(self.stepped_at) >= STEP_INTERVAL {
            self.step(open, pace, now);
        }
        let share = if self.is_full { ROOM_SHARE } else { 1.0 };
        let has_room = |limit: f64| pace != Pace::Late && open < limit * share;
        self.is_full = self.limit.is_some_and(|limit| !has_room(limit));
        if self.is_full {
            self.reached_at = now;
        }
        let has_limit = self.limit.is_some();
        self.limited_since = self.limited_since.or(Some(now)).filter(|_| has_limit);
        has_limit != had_limit
    }

    fn step(&mut self, open: f64, pace: Pace, now: Time) {
        if pace == Pace::Late {
            let limit = self.limit.map_or(open, |limit| limit.min(open));
            self.limit = Some((limit * DECREASE).max(MIN_LIMIT));
            (self.stepped_at, self.reached_at) = (now, now);
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        if now.since(self.reached_at) >= UNREACHED_TTL {
            self.limit = None;
        } else if pace == Pace::Prompt && self.reached_at > self.stepped_at {
            self.limit = Some(limit * INCREASE);
            self.stepped_at = now;
        }
    }
}
