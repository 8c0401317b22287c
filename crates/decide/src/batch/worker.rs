//! State of one worker: its calls, failures and room for results.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::forward::StagePool;
use model::{Name, Time};

use super::types::{CallEnd, WorkerInfo};

/// First ejection time after a failure; doubles with each further one.
const EJECTION_BASE: Duration = Duration::from_millis(300);
/// Maximum ejection time.
const EJECTION_MAX: Duration = Duration::from_millis(2400);
/// First backoff after a worker refused a call because it was full; doubles with each further one.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum backoff of a full worker, which may have a free place any moment.
const FULL_BACKOFF_MAX: Duration = Duration::from_millis(240);
/// Time for which a reported lack of room stays valid.
const NO_ROOM_TTL: Duration = Duration::from_millis(120);
/// Fraction of a worker's room that is used, since result sizes are estimates.
const ROOM_FRACTION: f64 = 0.9;

/// Capacity of each worker in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Capacity {
    slots: u32,
    /// Room for results, in bytes.
    max_bytes: u64,
    /// Time after which a worker drops a result.
    result_ttl: Duration,
}

impl From<&StagePool> for Capacity {
    fn from(pool: &StagePool) -> Self {
        Capacity {
            slots: pool.slots.max(1),
            max_bytes: (pool.room_mb * 1e6 * ROOM_FRACTION) as u64,
            result_ttl: Duration::from_millis(pool.keep_ms),
        }
    }
}

/// Location of a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Location {
    pub(super) domain: Name,
    /// Region of the failure domain, if known.
    pub(super) region: Option<Name>,
}

/// Circuit breaker state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Breaker {
    Closed,
    /// Failed; to be probed when its ejection ends.
    Open,
    /// A probe is in flight.
    HalfOpen,
}

/// Status of a worker at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Status {
    /// Whether it may get calls now or once one of its own ends.
    pub(super) is_available: bool,
    /// Bytes of results that it can take with a call now; `None` if it can take no call.
    pub(super) free_bytes: Option<u64>,
    /// When it accepts calls again, if it responds.
    pub(super) retry_at: Option<Time>,
    /// When it is to be probed.
    pub(super) probe_at: Option<Time>,
    /// When this status changes without an event.
    pub(super) changes_at: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) location: Location,
    /// Maximum number of pieces in a call.
    pub(super) max_pieces: Option<usize>,
    /// Maximum share of all pieces for its version, if that is on trial.
    pub(super) share: Option<f64>,
    pub(super) present: bool,
    pub(super) calls: u32,
    gap: Option<Duration>,
    last_call: Option<Time>,
    ejected_until: Time,
    failed_in_a_row: u32,
    full_in_a_row: u32,
    /// Whether it answered its last call, late or with a refusal: it is retried soon after an
    /// ejection.
    is_responsive: bool,
    breaker: Breaker,
    /// Size of a result that had no room, and until when that holds.
    result_cap: Option<(u64, Time)>,
    in_flight_bytes: u64,
    /// Bytes of each stored result.
    results: BTreeMap<String, u64>,
    stored_bytes: u64,
    /// Results by age; freed ones stay until they would have expired.
    by_age: VecDeque<(Time, String)>,
}

impl Worker {
    pub(super) fn new(info: WorkerInfo) -> Self {
        let WorkerInfo { id: _, domain, region, gap, max_pieces, share } = info;
        Worker {
            location: Location { domain, region },
            max_pieces,
            share,
            present: true,
            calls: 0,
            gap,
            last_call: None,
            ejected_until: Time::ZERO,
            failed_in_a_row: 0,
            full_in_a_row: 0,
            is_responsive: false,
            breaker: Breaker::Closed,
            result_cap: None,
            in_flight_bytes: 0,
            results: BTreeMap::new(),
            stored_bytes: 0,
            by_age: VecDeque::new(),
        }
    }

    /// Whether the worker is present with exactly this announced state.
    pub(super) fn matches(&self, info: &WorkerInfo) -> bool {
        self.present
            && self.location.domain == info.domain
            && self.location.region == info.region
            && self.gap == info.gap
            && self.max_pieces == info.max_pieces
            && self.share == info.share
    }

    /// Updates the announced state.
    pub(super) fn set(&mut self, info: WorkerInfo) {
        let WorkerInfo { id: _, domain, region, gap, max_pieces, share } = info;
        self.location = Location { domain, region };
        self.present = true;
        self.gap = gap;
        self.max_pieces = max_pieces;
        self.share = share;
    }

    /// Whether this coordinator must not call it because it is cold.
    fn is_excluded(&self) -> bool {
        self.gap == Some(Duration::MAX)
    }

    fn is_available(&self, now: Time) -> bool {
        let is_ejected = self.ejected_until > now || self.breaker != Breaker::Closed;
        self.present && !is_ejected && !self.is_excluded()
    }

    /// Until when it gets no call because of the minimum interval between calls.
    fn throttled_until(&self) -> Option<Time> {
        let gap = self.gap.filter(|gap| *gap < Duration::MAX)?;
        Some(self.last_call? + gap)
    }

    /// Drops results that have expired.
    pub(super) fn expire(&mut self, capacity: Capacity, now: Time) {
        while let Some((_, text)) =
            self.by_age.pop_front_if(|(at, _)| now.since(*at) >= capacity.result_ttl)
        {
            self.remove_result(&text);
        }
    }

    /// Computes the current status.
    pub(super) fn status(&self, capacity: Capacity, now: Time) -> Status {
        let is_available = self.is_available(now);
        let is_throttled = self.throttled_until().is_some_and(|until| now < until);
        let is_ready = is_available && self.calls < capacity.slots && !is_throttled;
        let is_serving = self.present && self.share.is_none();
        let may_retry = is_serving && self.is_responsive && !self.is_excluded();
        let needs_probe = self.present && self.breaker == Breaker::Open;
        let times = [
            Some(self.ejected_until),
            self.throttled_until(),
            self.result_cap.map(|(_, until)| until),
            self.by_age.front().map(|(at, _)| *at + capacity.result_ttl),
        ];
        Status {
            is_available,
            free_bytes: is_ready.then(|| self.free_bytes(capacity, now)),
            retry_at: may_retry.then_some(self.ejected_until),
            probe_at: needs_probe.then_some(self.ejected_until),
            changes_at: times.into_iter().flatten().filter(|at| *at > now).min(),
        }
    }

    fn free_bytes(&self, capacity: Capacity, now: Time) -> u64 {
        let estimate = capacity.max_bytes.saturating_sub(self.stored_bytes + self.in_flight_bytes);
        let cap = self.result_cap.filter(|(_, until)| now < *until);
        cap.map_or(estimate, |(size, _)| estimate.min(size.saturating_sub(1)))
    }

    fn eject(&mut self, now: Time) {
        let duration = EJECTION_BASE * 2u32.pow(self.failed_in_a_row.min(3));
        self.ejected_until = now + duration.min(EJECTION_MAX);
        self.failed_in_a_row += 1;
        self.breaker = Breaker::Open;
    }

    fn full_backoff(&self) -> Duration {
        let doublings = self.full_in_a_row.saturating_sub(1).min(8);
        (FULL_BACKOFF * 2u32.pow(doublings)).min(FULL_BACKOFF_MAX)
    }

    /// Records the start of a call whose results will take `bytes`.
    pub(super) fn call_started(&mut self, bytes: u64, now: Time) {
        self.calls += 1;
        self.last_call = Some(now);
        self.in_flight_bytes += bytes;
    }

    /// Records the end of a call.
    pub(super) fn call_ended(&mut self, bytes: u64, end: &CallEnd, was_slow: bool, now: Time) {
        self.calls = self.calls.saturating_sub(1);
        self.in_flight_bytes = self.in_flight_bytes.saturating_sub(bytes);
        self.is_responsive = !matches!(end, CallEnd::Failed);
        self.full_in_a_row = if *end == CallEnd::Full { self.full_in_a_row + 1 } else { 0 };
        match end {
            CallEnd::Answered(_) if was_slow => self.eject(now),
            CallEnd::Answered(_) => self.failed_in_a_row = 0,
            CallEnd::Full => self.ejected_until = now + self.full_backoff(),
            CallEnd::Failed => self.eject(now),
        }
    }

    /// Records that a call has had no answer for too long: the worker may be paused or lost.
    pub(super) fn call_silent(&mut self, bytes: u64, now: Time) {
        self.calls = self.calls.saturating_sub(1);
        self.in_flight_bytes = self.in_flight_bytes.saturating_sub(bytes);
        self.eject(now);
    }

    /// Records an answer to a call after the worker had been silent.
    pub(super) fn silent_call_answered(&mut self) {
        self.is_responsive = true;
        self.failed_in_a_row = 0;
    }

    /// Records that a probe was sent.
    pub(super) fn probe_sent(&mut self) {
        self.breaker = Breaker::HalfOpen;
    }

    /// Records the result of a probe.
    pub(super) fn probed(&mut self, alive: bool, now: Time) {
        if self.breaker != Breaker::HalfOpen {
            return;
        }
        if alive {
            self.breaker = Breaker::Closed;
        } else {
            self.is_responsive = false;
            self.eject(now);
        }
    }

    /// Records that results of `size` bytes had no room. Until that expires, only smaller results
    /// are made there.
    pub(super) fn record_no_room(&mut self, size: u64, now: Time) {
        self.result_cap = Some((size, now + NO_ROOM_TTL));
    }

    /// Records a result stored at the worker.
    pub(super) fn store(&mut self, text: &str, bytes: u64, now: Time) {
        self.remove_result(text);
        self.results.insert(text.to_string(), bytes);
        self.stored_bytes += bytes;
        self.by_age.push_back((now, text.to_string()));
    }

    /// Releases the room of a result.
    pub(super) fn remove_result(&mut self, text: &str) {
        if let Some(bytes) = self.results.remove(text) {
            self.stored_bytes -= bytes;
        }
    }
}
