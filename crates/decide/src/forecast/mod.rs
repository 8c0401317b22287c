//! When a request is expected to get its first event, and whether it is refused
//! at the door for it.
//!
//! The coordinators of the stages tell in each answer how long a new order would
//! wait. A request that would miss its objective by far is refused at once and
//! told when to come back: that costs it less than a late answer, and leaves its
//! place to one that can still be in time.

use std::collections::HashMap;
use std::time::Duration;

use model::forward::{Rank, Route, Service, Stage, Waits};
use model::{Name, Time};

use crate::stages;

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

    /// Expected time of each stage of a request with these pieces, waits included.
    pub fn stage_times<'a>(
        &self,
        route: &Route,
        pieces: &[u32],
        rank: Rank,
        now: Time,
        service: impl Fn(&Name) -> Option<&'a Service>,
    ) -> Vec<Duration> {
        let time = |(i, stage): (usize, &Stage)| {
            let n = pieces.get(i).copied().unwrap_or(0);
            let pool = service(&stage.service).and_then(|s| s.pool.as_ref());
            let pool = pool.filter(|_| n > 0);
            pool.map_or(Duration::ZERO, |p| self.wait(&stage.service, rank, now) + p.call_time(n))
        };
        route.stages.iter().enumerate().map(time).collect()
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
        let times = self.stage_times(route, pieces, rank, now, service);
        stages::longest(&route.order(), &times) + FIRST_EVENT
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
