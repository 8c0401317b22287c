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
const WAIT_FADE: Duration = Duration::from_millis(1500);
/// Time that an engine usually takes to its first event, about the median (139 ms) of long
/// prompts. The door turns away by it: more would refuse requests that are in time.
const TYPICAL_FIRST_EVENT: Duration = Duration::from_millis(150);
/// Part of a request's spare time, the objective less the time that it takes without any
/// wait, from which on waits turn it away: what is expected of a wait is half a second old,
/// and in a burst the true one is longer by the time that the request gets there.
const MAX_WAIT_FRACTION: f64 = 0.35;
/// Waits that never turn a request away, however tight its objective is: less than the
/// time of one call, which any order may find under way.
const TOLERATED_WAIT: Duration = Duration::from_millis(150);
/// Shortest wait before a refused caller comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Part of a caller's time after which it does not come back any more.
const RETRY_AFTER_DIVISOR: u32 = 4;

/// What is decided about a request at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Admit,
    /// It is refused; its caller may come back after this time.
    Refuse(Duration),
}

#[derive(Debug, Clone)]
struct ReportedWaits {
    waits: Waits,
    received_at: Time,
}

impl ReportedWaits {
    /// Wait of a new order by now.
    fn wait(&self, rank: Rank, now: Time) -> Duration {
        let age = now.since(self.received_at).as_secs_f64() / WAIT_FADE.as_secs_f64();
        let wait = Duration::from_millis(u64::from(self.waits.of(rank)));
        wait.mul_f64((1.0 - age).clamp(0.0, 1.0))
    }
}

/// What this node heard of the stages' waits.
#[derive(Debug, Default)]
pub struct Forecast(HashMap<QueueId, ReportedWaits>);

impl Forecast {
    /// A coordinator told what the next orders in a queue wait.
    pub fn record(&mut self, queue: QueueId, waits: Waits, now: Time) {
        self.0.retain(|_, reported| now.since(reported.received_at) < WAIT_FADE);
        self.0.insert(queue, ReportedWaits { waits, received_at: now });
    }

    /// A maker of a service came, so that word that none works says nothing any more.
    pub fn worker_added(&mut self, service: &Name) {
        let has_no_worker = |reported: &ReportedWaits| {
            reported.waits.0.iter().any(|(_, wait)| *wait == Waits::NOBODY)
        };
        self.0.retain(|queue, reported| queue.pool.service != *service || !has_no_worker(reported));
    }

    /// What tells how long a new order waits, as far as it is still known: what was heard of its
    /// queue, or later of one in which orders wait as long at most.
    fn newest_bound(&self, queue: &QueueId, rank: Rank, now: Time) -> Option<&ReportedWaits> {
        let since = self.0.get(queue).map_or(Time::ZERO, |known| known.received_at);
        let reported =
            self.0.iter().filter(|(q, reported)| q.bounds(queue) && reported.received_at >= since);
        reported.map(|(_, reported)| reported).max_by_key(|reported| reported.wait(rank, now))
    }

    fn wait(&self, queue: &QueueId, rank: Rank, now: Time) -> Duration {
        self.newest_bound(queue, rank, now)
            .map_or(Duration::ZERO, |reported| reported.wait(rank, now))
    }

    /// The queue on a request's path in which it would wait longest; none if it would wait
    /// nowhere.
    pub fn longest_wait<'a>(
        &self,
        min_times: &[Duration],
        queues: &'a [QueueId],
        rank: Rank,
        now: Time,
    ) -> Option<LongestWait<'a>> {
        let with_pieces = queues.iter().zip(min_times).filter(|(_, min_time)| !min_time.is_zero());
        let waits = with_pieces.filter_map(|(queue, _)| {
            let reported = self.newest_bound(queue, rank, now)?;
            let (wait, age) = (reported.wait(rank, now), now.since(reported.received_at));
            Some(LongestWait { service: &queue.pool.service, wait, age })
        });
        waits.max_by_key(|longest| longest.wait).filter(|longest| !longest.wait.is_zero())
    }

    /// Expected time of each stage of a request, given its time without any wait and what it
    /// waits in.
    pub fn stage_times(
        &self,
        min_times: &[Duration],
        queues: &[QueueId],
        rank: Rank,
        now: Time,
    ) -> Vec<Duration> {
        let time = |(min_time, queue): (&Duration, &QueueId)| match *min_time {
            Duration::ZERO => Duration::ZERO,
            min_time => min_time + self.wait(queue, rank, now),
        };
        min_times.iter().zip(queues).map(time).collect()
    }

    /// Expected time to the first event of a request whose stages take `least` without
    /// any wait.
    pub fn expected(
        &self,
        route: &Route,
        min_times: &[Duration],
        queues: &[QueueId],
        rank: Rank,
        now: Time,
    ) -> Expected {
        let order = route.order();
        let without_wait = stages::critical_path(&order, min_times);
        let total = stages::critical_path(&order, &self.stage_times(min_times, queues, rank, now));
        Expected {
            without_wait: without_wait + TYPICAL_FIRST_EVENT,
            waits: total.saturating_sub(without_wait),
        }
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
    pub without_wait: Duration,
    /// Time that waits add.
    pub waits: Duration,
}

impl Expected {
    /// All of it.
    pub fn total(&self) -> Duration {
        self.without_wait + self.waits
    }
}

/// Time of each stage's call without any wait; none for a stage that is left out.
pub fn min_stage_times<'a>(
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
pub fn decide_admission(expected: Expected, objective: Duration, patience: Duration) -> Admission {
    let spare = objective.saturating_sub(expected.without_wait);
    if expected.waits <= spare.mul_f64(MAX_WAIT_FRACTION).max(TOLERATED_WAIT) {
        return Admission::Admit;
    }
    let excess = expected.total().saturating_sub(objective);
    let max = (patience / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
    Admission::Refuse(excess.clamp(MIN_RETRY_AFTER, max))
}
