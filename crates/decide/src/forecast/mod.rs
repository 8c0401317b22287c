//! When a request is expected to get its first event, and whether it is refused
//! at the door for it.
//!
//! The coordinators of the stages tell in each answer how long a new order would
//! wait: here, or where it would be passed on to. What counts for a request are the waits of
//! the regions that will make its stages. A request that would miss its objective by far is refused at once and
//! told when to come back: that costs it less than a late answer, and leaves its
//! place to one that can still be in time.

use std::collections::HashMap;
use std::time::Duration;

use model::forward::{QueueId, Rank, Route, Service, Stage, Waits};
use model::{Name, Time};

use crate::stages;

/// Time over which what was heard of a wait fades to nothing.
const FADES: Duration = Duration::from_millis(1500);
/// Time that an engine usually takes to its first event, about the median (139 ms) of long
/// prompts. The door turns away by it: more would refuse requests that are in time.
const USUAL_FIRST_EVENT: Duration = Duration::from_millis(150);
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

impl Heard {
    /// Wait of a new order by now.
    fn wait(&self, rank: Rank, now: Time) -> Duration {
        let age = now.since(self.at).as_secs_f64() / FADES.as_secs_f64();
        let wait = Duration::from_millis(u64::from(self.waits.of(rank)));
        wait.mul_f64((1.0 - age).clamp(0.0, 1.0))
    }
}

/// What this node heard of the stages' waits.
#[derive(Debug, Default)]
pub struct Forecast(HashMap<QueueId, Heard>);

impl Forecast {
    /// A coordinator told what the next orders in a queue wait.
    pub fn hear(&mut self, queue: QueueId, waits: Waits, now: Time) {
        self.0.retain(|_, heard| now.since(heard.at) < FADES);
        self.0.insert(queue, Heard { waits, at: now });
    }

    /// A maker of a service came, so that word that none works says nothing any more.
    pub fn maker_came(&mut self, service: &Name) {
        let nobody = |heard: &Heard| heard.waits.0.iter().any(|(_, wait)| *wait == Waits::NOBODY);
        self.0.retain(|queue, heard| queue.pool.service != *service || !nobody(heard));
    }

    /// What tells how long a new order waits, as far as it is still known: what was heard of its
    /// queue, or later of one in which orders wait as long at most.
    fn newest_bound(&self, queue: &QueueId, rank: Rank, now: Time) -> Option<&Heard> {
        let since = self.0.get(queue).map_or(Time::ZERO, |own| own.at);
        let heard = self.0.iter().filter(|(q, heard)| q.bounds(queue) && heard.at >= since);
        heard.map(|(_, heard)| heard).max_by_key(|heard| heard.wait(rank, now))
    }

    fn wait(&self, queue: &QueueId, rank: Rank, now: Time) -> Duration {
        self.newest_bound(queue, rank, now).map_or(Duration::ZERO, |heard| heard.wait(rank, now))
    }

    /// The queue on a request's path in which it would wait longest; none if it would wait
    /// nowhere.
    pub fn longest_wait<'a>(
        &self,
        least: &[Duration],
        queues: &'a [QueueId],
        rank: Rank,
        now: Time,
    ) -> Option<LongestWait<'a>> {
        let with_pieces = queues.iter().zip(least).filter(|(_, least)| !least.is_zero());
        let waits = with_pieces.filter_map(|(queue, _)| {
            let heard = self.newest_bound(queue, rank, now)?;
            let (wait, age) = (heard.wait(rank, now), now.since(heard.at));
            Some(LongestWait { service: &queue.pool.service, wait, age })
        });
        waits.max_by_key(|longest| longest.wait).filter(|longest| !longest.wait.is_zero())
    }

    /// Expected time of each stage of a request, given its time without any wait and what it
    /// waits in.
    pub fn stage_times(
        &self,
        least: &[Duration],
        queues: &[QueueId],
        rank: Rank,
        now: Time,
    ) -> Vec<Duration> {
        let time = |(least, queue): (&Duration, &QueueId)| match *least {
            Duration::ZERO => Duration::ZERO,
            least => least + self.wait(queue, rank, now),
        };
        least.iter().zip(queues).map(time).collect()
    }

    /// Expected time to the first event of a request whose stages take `least` without
    /// any wait.
    pub fn expected(
        &self,
        route: &Route,
        least: &[Duration],
        queues: &[QueueId],
        rank: Rank,
        now: Time,
    ) -> Expected {
        let order = route.order();
        let without = stages::longest(&order, least);
        let whole = stages::longest(&order, &self.stage_times(least, queues, rank, now));
        Expected { least: without + USUAL_FIRST_EVENT, waits: whole.saturating_sub(without) }
    }
}

/// Where on its path a request would wait longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongestWait<'a> {
    /// Stage service.
    pub service: &'a Name,
    /// Wait there.
    pub wait: Duration,
    /// How long ago its coordinator told it.
    pub age: Duration,
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
