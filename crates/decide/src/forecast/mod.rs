//! Forecast of a request's time to first event, and the admission decision based on it.
//!
//! Each answer of a stage's coordinator reports how long a new order would wait, locally or in the
//! region it would spill to. For a request, the waits of the regions that will run its stages
//! count. A request that would miss its objective by far is refused at once with a retry-after
//! time. That costs the caller less than a late answer and leaves the capacity to requests that can
//! be in time.

use std::collections::HashMap;
use std::time::Duration;

use model::forward::{QueueId, Rank, Route, Service, Stage, Waits};
use model::{Name, Time};

use crate::stages;

/// Time over which a reported wait decays linearly to zero.
const WAIT_FADE: Duration = Duration::from_millis(1500);
/// Typical time of an engine to its first event, about the median (139 ms) for long prompts. A
/// larger value would refuse requests that are in time.
const TYPICAL_FIRST_EVENT: Duration = Duration::from_millis(150);
/// Fraction of a request's spare time (the objective less its time without waits) above which waits
/// refuse it. Expected waits are half a second old, and in a burst the true wait is longer by the
/// time the request arrives there.
const MAX_WAIT_FRACTION: f64 = 0.35;
/// Waits that never refuse a request, however tight its objective: less than one call, which any
/// order may find in flight.
const TOLERATED_WAIT: Duration = Duration::from_millis(150);
/// Minimum retry-after time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The retry-after time is at most the caller's patience divided by this; callers do not retry
/// later.
const RETRY_AFTER_DIVISOR: u32 = 4;

/// Admission decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Serve the request.
    Admit,
    /// Refuse the request; the caller may retry after this time.
    Refuse(Duration),
}

#[derive(Debug, Clone)]
struct ReportedWaits {
    waits: Waits,
    received_at: Time,
}

impl ReportedWaits {
    /// Remaining wait of a new order.
    fn wait(&self, rank: Rank, now: Time) -> Duration {
        let age = now.since(self.received_at).as_secs_f64() / WAIT_FADE.as_secs_f64();
        let wait = Duration::from_millis(u64::from(self.waits.for_rank(rank)));
        wait.mul_f64((1.0 - age).clamp(0.0, 1.0))
    }
}

/// Waits reported by the coordinators of stages, by queue.
#[derive(Debug, Default)]
pub struct Forecast(HashMap<QueueId, ReportedWaits>);

impl Forecast {
    /// Records the wait that a coordinator reported for a queue.
    pub fn record(&mut self, queue: QueueId, waits: Waits, now: Time) {
        self.0.retain(|_, reported| now.since(reported.received_at) < WAIT_FADE);
        self.0.insert(queue, ReportedWaits { waits, received_at: now });
    }

    /// Drops reports that no worker of the service is available, since one was added.
    pub fn worker_added(&mut self, service: &Name) {
        let has_no_worker = |reported: &ReportedWaits| {
            reported.waits.0.iter().any(|(_, wait)| *wait == Waits::NOBODY)
        };
        self.0.retain(|queue, reported| queue.pool.service != *service || !has_no_worker(reported));
    }

    /// The valid report that bounds the wait of a new order: of its own queue, or a later one of a
    /// queue in which orders wait at most as long.
    fn newest_bound(&self, queue: &QueueId, rank: Rank, now: Time) -> Option<&ReportedWaits> {
        let since = self.0.get(queue).map_or(Time::ZERO, |known| known.received_at);
        let reported = self
            .0
            .iter()
            .filter(|(q, reported)| q.waits_no_longer_than(queue) && reported.received_at >= since);
        reported.map(|(_, reported)| reported).max_by_key(|reported| reported.wait(rank, now))
    }

    fn wait(&self, queue: &QueueId, rank: Rank, now: Time) -> Duration {
        self.newest_bound(queue, rank, now)
            .map_or(Duration::ZERO, |reported| reported.wait(rank, now))
    }

    /// The queue on a request's path with the longest wait; `None` if no queue has one.
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

    /// Expected time of each stage of a request, from its time without waits and its queue.
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

    /// Expected time to first event of a request whose stages take `min_times` without waits.
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

/// The longest wait on a request's path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongestWait<'a> {
    /// Stage service.
    pub service: &'a Name,
    /// Expected wait.
    pub wait: Duration,
    /// Age of the coordinator's report.
    pub age: Duration,
}

/// Components of a request's expected time to first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expected {
    /// Time without any wait.
    pub without_wait: Duration,
    /// Time added by waits.
    pub waits: Duration,
}

impl Expected {
    /// Sum of both.
    pub fn total(&self) -> Duration {
        self.without_wait + self.waits
    }
}

/// Call time of each stage without waits; zero for a skipped stage.
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

/// Decides whether to serve a request with this expected time to first event.
pub fn decide_admission(expected: Expected, objective: Duration, patience: Duration) -> Admission {
    let spare = objective.saturating_sub(expected.without_wait);
    if expected.waits <= spare.mul_f64(MAX_WAIT_FRACTION).max(TOLERATED_WAIT) {
        return Admission::Admit;
    }
    let excess = expected.total().saturating_sub(objective);
    let max = (patience / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
    Admission::Refuse(excess.clamp(MIN_RETRY_AFTER, max))
}
