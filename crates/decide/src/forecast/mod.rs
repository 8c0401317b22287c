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
/// Part of a request's spare time, the objective less the time that it takes without any
/// wait, from which on waits turn it away: what is expected of a wait is half a second old,
/// and in a burst the true one is longer by the time that the request gets there.
const WAIT_PART: f64 = 0.35;
/// Waits that never turn a request away, however tight its objective is: less than the
/// time of one call, which any order may find under way.
const WAIT_FREE: Duration = Duration::from_millis(150);
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

    /// How long ago a coordinator told the waits of a service, if one did.
    pub fn age(&self, service: &Name, now: Time) -> Option<Duration> {
        self.0.get(service).map(|heard| now.since(heard.at))
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

    /// The stage service on a request's path at which it would wait longest, that wait, and how
    /// long ago it was told; none if it would wait nowhere.
    pub fn longest_wait<'a>(
        &self,
        route: &'a Route,
        least: &[Duration],
        rank: Rank,
        now: Time,
    ) -> Option<(&'a Name, Duration, Duration)> {
        let with_pieces = route.stages.iter().zip(least).filter(|(_, least)| !least.is_zero());
        let waits =
            with_pieces.map(|(stage, _)| (&stage.service, self.wait(&stage.service, rank, now)));
        let (service, wait) = waits.max_by_key(|(_, wait)| *wait)?;
        let age = self.age(service, now)?;
        Some((service, wait, age)).filter(|_| !wait.is_zero())
    }

    /// Expected time of each stage of a request, given its time without any wait.
    pub fn stage_times(
        &self,
        route: &Route,
        least: &[Duration],
        rank: Rank,
        now: Time,
    ) -> Vec<Duration> {
        let time = |(stage, least): (&Stage, &Duration)| match *least {
            Duration::ZERO => Duration::ZERO,
            least => least + self.wait(&stage.service, rank, now),
        };
        route.stages.iter().zip(least).map(time).collect()
    }

    /// Expected time to the first event of a request whose stages take `least` without
    /// any wait.
    pub fn expected(&self, route: &Route, least: &[Duration], rank: Rank, now: Time) -> Expected {
        let order = route.order();
        let without = stages::longest(&order, least);
        let whole = stages::longest(&order, &self.stage_times(route, least, rank, now));
        Expected { least: without + FIRST_EVENT, waits: whole.saturating_sub(without) }
    }
}

/// What a request's time to its first event is made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expected {
    /// Time that it takes without any wait.
    pub least: Duration,
    /// Time that waits add.
    pub waits: Duration,
}

impl Expected {
    /// All of it.
    pub fn whole(&self) -> Duration {
        self.least + self.waits
    }
}

/// Time of each stage's call without any wait; none for a stage that is left out.
pub fn least_times<'a>(
    route: &Route,
    pieces: &[u32],
    service: impl Fn(&Name) -> Option<&'a Service>,
) -> Vec<Duration> {
    let time = |(i, stage): (usize, &Stage)| {
        let n = pieces.get(i).copied().unwrap_or(0);
        let pool = service(&stage.service).and_then(|s| s.pool.as_ref());
        pool.filter(|_| n > 0).map_or(Duration::ZERO, |p| p.call_time(n))
    };
    route.stages.iter().enumerate().map(time).collect()
}

/// Decides about a request whose first event is expected after this time.
pub fn at_the_door(expected: Expected, objective: Duration, patience: Duration) -> Door {
    let spare = objective.saturating_sub(expected.least);
    if expected.waits <= spare.mul_f64(WAIT_PART).max(WAIT_FREE) {
        return Door::Enter;
    }
    let excess = expected.whole().saturating_sub(objective);
    let most = (patience / COME_BACK_PART).max(COME_BACK_LEAST);
    Door::Refuse(excess.clamp(COME_BACK_LEAST, most))
}
