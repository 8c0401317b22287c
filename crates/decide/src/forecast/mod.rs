//! When a request is expected to get its first event, and whether it is refused
//! at the door for it.
//!
//! The coordinators of the stages tell in each answer how long a new order would
//! wait. A request that would miss its objective by far is refused at once and
//! told when to come back: that costs it less than a late answer, and leaves its
//! place to one that can still be in time.

use std::collections::HashMap;
use std::time::Duration;

use model::forward::{Rank, Route, Service, Waits};
use model::{Name, Time};

/// Time over which what was heard of a wait fades to nothing.
const FADES: Duration = Duration::from_millis(1500);
/// Time that an engine is expected to take to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(150);
/// Expected time, relative to the objective, from which on a request is refused.
const REFUSED_ABOVE: f64 = 0.85;
/// Shortest wait before a refused caller comes back.
const COME_BACK_LEAST: Duration = Duration::from_millis(300);
/// Part of a caller's time after which it does not come back any more.
const COME_BACK_PART: u32 = 4;

/// What is decided about a request at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// It is served.
    Enter,
    /// It is refused; its caller may come back after this time.
    Refuse(Duration),
}

#[derive(Debug, Clone)]
struct Heard {
    waits: Waits,
    at: Time,
}

/// What this node heard of the stages' waits.
#[derive(Debug, Default)]
pub struct Forecast(HashMap<Name, Heard>);

impl Forecast {
    /// A coordinator told the waits of its service.
    pub fn hear(&mut self, service: &Name, waits: Waits, now: Time) {
        self.0.insert(service.clone(), Heard { waits, at: now });
    }

    /// Wait of a new order, as far as it is still known.
    fn wait(&self, service: &Name, rank: Rank, now: Time) -> Duration {
        let Some(heard) = self.0.get(service) else {
            return Duration::ZERO;
        };
        let age = now.since(heard.at).as_secs_f64() / FADES.as_secs_f64();
        let wait = Duration::from_millis(u64::from(heard.waits.of(rank)));
        wait.mul_f64((1.0 - age).clamp(0.0, 1.0))
    }

    /// Expected time to the first event of a request with these pieces.
    pub fn expected<'a>(
        &self,
        route: &Route,
        pieces: &[u32],
        rank: Rank,
        now: Time,
        service: impl Fn(&Name) -> Option<&'a Service>,
    ) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(route.stages.len());
        for (i, stage) in route.stages.iter().enumerate() {
            let start = stage.after.iter().filter_map(|j| ends.get(*j)).max().copied();
            let mut end = start.unwrap_or_default();
            let n = pieces.get(i).copied().unwrap_or(0);
            let pool = service(&stage.service).and_then(|s| s.pool.as_ref());
            if let Some(pool) = pool.filter(|_| n > 0) {
                let ms = pool.call_ms + pool.item_ms * f64::from(n);
                end += self.wait(&stage.service, rank, now);
                end += Duration::from_secs_f64(ms.max(0.0) / 1000.0);
            }
            ends.push(end);
        }
        ends.into_iter().max().unwrap_or_default() + FIRST_EVENT
    }
}

/// Decides about a request whose first event is expected after this time.
pub fn at_the_door(expected: Duration, objective: Duration, patience: Duration) -> Door {
    if expected <= objective.mul_f64(REFUSED_ABOVE) {
        return Door::Enter;
    }
    let excess = expected.saturating_sub(objective);
    let most = (patience / COME_BACK_PART).max(COME_BACK_LEAST);
    Door::Refuse(excess.clamp(COME_BACK_LEAST, most))
}
