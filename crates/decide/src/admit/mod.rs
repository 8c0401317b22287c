//! Admission control of one entry node: which requests run, wait or are shed.
//!
//! Requests run up to an adaptive concurrency limit. Beyond it they wait in a bounded queue,
//! ordered by priority (urgent, normal, patient), then by the earliest deadline. A full queue sheds
//! its last request, which may be the new one. A waiting request that can no longer finish in time
//! is refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use model::object::Priority;
use model::outcome::Reason;
use model::{Name, Time};

/// Share of the limit that patient requests may use while others run.
const PATIENT_SHARE: f64 = 0.7;

/// Weight of a new sample in the mean interval.
const INTERVAL_WEIGHT: f64 = 0.05;
/// Share of its deadline from which a request's running time counts as congestion.
const CONGESTION_SHARE: f64 = 0.6;
/// Relative growth of the limit with each uncongested completion, and its decay with each congested
/// one. It settles where a fifth of the completions are congested; cutting it on single late ones
/// kept it far too low.
const LIMIT_GROWTH: f64 = 0.001;
const LIMIT_DECAY: f64 = 0.004;
/// Limit at the start, so that an overload does not flood the targets before it is detected.
const INITIAL_LIMIT: f64 = 64.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 4.0;

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRequest {
    /// Request id.
    pub request: Name,
    /// Priority of its workspace.
    pub priority: Priority,
    /// When its answer is due.
    pub deadline: Time,
    /// Minimum time that it needs.
    pub need: Duration,
}

/// Admission decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Start the request.
    Run(Name),
    /// Refuse the request, which has not run.
    Refuse(Name, Reason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Priority,
    deadline: Time,
    seq: u64,
}

/// Adaptive concurrency limit. It grows while running takes little of the deadline and shrinks when
/// it takes most, so that requests wait in the queue, where hopeless ones can be refused before
/// they cost anything.
#[derive(Debug)]
struct ConcurrencyLimit {
    max: f64,
    current: f64,
    is_fixed: bool,
}

impl ConcurrencyLimit {
    fn get(&self) -> usize {
        (self.current as usize).max(1)
    }

    fn adapt(&mut self, is_congested: bool, is_busy: bool) {
        if self.is_fixed {
            return;
        }
        let step = match (is_congested, is_busy) {
            (true, _) => -LIMIT_DECAY,
            (false, true) => LIMIT_GROWTH,
            (false, false) => 0.0,
        };
        self.current = (self.current * (1.0 + step)).clamp(MIN_LIMIT.min(self.max), self.max);
    }
}

/// Smoothed interval between completions while the limit is nearly reached.
#[derive(Debug, Default)]
struct CompletionInterval {
    last_end: Option<Time>,
    mean: Duration,
}

impl CompletionInterval {
    fn record(&mut self, now: Time, is_busy: bool) {
        let last = self.last_end.replace(now).filter(|_| is_busy);
        let Some(last) = last else {
            return;
        };
        let sample = now.since(last);
        self.mean = match self.mean {
            Duration::ZERO => sample,
            gap => gap.mul_f64(1.0 - INTERVAL_WEIGHT) + sample.mul_f64(INTERVAL_WEIGHT),
        };
    }
}

/// Admission queue of one node.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: ConcurrencyLimit,
    max_queued: usize,
    running: BTreeMap<Name, Priority>,
    waiting: BTreeMap<QueueKey, PendingRequest>,
    seq: u64,
    interval: CompletionInterval,
}

impl AdmissionQueue {
    /// Runs at most `limit` requests and queues at most `max_queued`.
    pub fn new(limit: usize, max_queued: usize) -> Self {
        let current = (limit as f64).min(INITIAL_LIMIT);
        let limit = ConcurrencyLimit { max: limit as f64, current, is_fixed: false };
        AdmissionQueue {
            limit,
            max_queued,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            seq: 0,
            interval: CompletionInterval::default(),
        }
    }

    /// Uses the maximum as a fixed limit.
    pub fn with_fixed_limit(mut self) -> Self {
        self.limit.current = self.limit.max;
        self.limit.is_fixed = true;
        self
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Submits a request; returns the decisions that follow.
    pub fn submit(&mut self, now: Time, w: PendingRequest) -> Vec<Verdict> {
        // With nothing running there is nothing to wait for: times measured under load must not
        // block an idle node.
        if !self.running.is_empty() && now + w.need > w.deadline {
            return vec![Verdict::Refuse(w.request, Reason::Hopeless)];
        }
        self.seq += 1;
        let key = QueueKey { priority: w.priority, deadline: w.deadline, seq: self.seq };
        let is_full = self.running.len() >= self.limit.get();
        if is_full && now + self.expected_wait(&key) + w.need > w.deadline {
            return vec![Verdict::Refuse(w.request, Reason::Hopeless)];
        }
        self.waiting.insert(key, w);
        let mut out = self.advance(now);
        if self.waiting.len() > self.max_queued
            && let Some((_, last)) = self.waiting.pop_last()
        {
            out.push(Verdict::Refuse(last.request, Reason::Overload));
        }
        out
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Records the end of a request that ran for `ran` under a deadline of `budget`.
    pub fn complete(
        &mut self,
        now: Time,
        request: &Name,
        ran: Duration,
        budget: Duration,
    ) -> Vec<Verdict> {
        let is_congested = ran > budget.mul_f64(CONGESTION_SHARE);
        let is_busy = self.running.len() * 5 >= self.limit.get() * 4;
        self.limit.adapt(is_congested, is_busy);
        self.interval.record(now, is_busy);
        self.remove_request(now, request)
    }

    /// Removes a running or queued request that was abandoned.
    pub fn remove_request(&mut self, now: Time, request: &Name) -> Vec<Verdict> {
        if self.running.remove(request).is_none() {
            self.waiting.retain(|_, w| w.request != *request);
        }
        self.advance(now)
    }

    /// Refuses queued requests that can no longer finish in time.
    pub fn tick(&mut self, now: Time) -> Vec<Verdict> {
        self.advance(now)
    }

    /// Time after which a refused caller can expect capacity, given the `mean` request time.
    pub fn retry_after(&self, mean: Duration) -> Duration {
        mean.mul_f64((self.waiting.len() + 1) as f64 / self.limit.get() as f64)
    }

    /// Expected wait of a new request, from those ahead of it and the completion interval.
    fn expected_wait(&self, key: &QueueKey) -> Duration {
        let ahead = self.waiting.range(..*key).count() as u32;
        self.interval.mean * (ahead + 1)
    }

    fn advance(&mut self, now: Time) -> Vec<Verdict> {
        let mut out = Vec::new();
        let is_idle = self.running.is_empty();
        self.waiting.retain(|_, w| {
            let need = if is_idle { Duration::ZERO } else { w.need };
            let is_late = now + need > w.deadline;
            if is_late {
                out.push(Verdict::Refuse(w.request.clone(), Reason::Hopeless));
            }
            !is_late
        });
        while self.running.len() < self.limit.get() {
            let Some((key, w)) = self.next_request() else {
                break;
            };
            self.waiting.remove(&key);
            self.running.insert(w.request.clone(), w.priority);
            out.push(Verdict::Run(w.request));
        }
        out
    }

    fn next_request(&self) -> Option<(QueueKey, PendingRequest)> {
        let (key, w) = self.waiting.first_key_value()?;
        if w.priority == Priority::Patient {
            let patient = self.running.values().filter(|p| **p == Priority::Patient).count();
            let max_patient = ((self.limit.get() as f64 * PATIENT_SHARE) as usize).max(1);
            if patient >= max_patient {
                return None;
            }
        }
        Some((*key, w.clone()))
    }
}
