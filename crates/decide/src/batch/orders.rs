//! Open orders: their queued pieces, their urgency and where they may run.

use std::time::Duration;

use model::forward::{BatchOrder, LARGE_RESULT_BYTES, PieceResult, Rank, StagePool};
use model::{Name, Time};

use super::worker::Location;

/// Slack beyond a typical call time below which an urgent order may leave its preferred failure
/// domain.
const SPILL_SLACK: Duration = Duration::from_millis(150);
/// Typical fill of a call while orders wait. A larger value puts orders that can still be in time
/// behind others as late; a smaller one lets late orders displace those in time.
const TYPICAL_FILL: f64 = 0.75;
/// Number of failed calls after which an order gets calls of its own.
const ISOLATE_AFTER: u32 = 2;
/// Workspace rank up to which orders may leave their failure domain when short of time.
const MAX_SPILL_RANK: u8 = 1;

/// Sort key of orders; the smallest is served first.
pub(super) type Urgency = (bool, bool, Rank, bool, Duration);

/// Time of a call with these pieces, filled up by others as is typical while orders wait.
pub(super) fn typical_call_time(pool: &StagePool, pieces: u32) -> Duration {
    let typical = (pool.batch as f64 * TYPICAL_FILL) as u32;
    pool.call_time(typical.max(pieces))
}

/// An unanswered order.
#[derive(Debug)]
pub(super) struct OpenOrder {
    pub(super) spec: BatchOrder,
    pub(super) queued: Vec<usize>,
    pub(super) results: Vec<Option<PieceResult>>,
    /// Calls in flight for each piece.
    in_flight_calls: Vec<u8>,
    /// Calls for each piece whose workers are silent.
    silent_calls: Vec<u8>,
    pub(super) failures: u32,
    /// When the last failure was counted.
    last_failure: Option<Time>,
    pub(super) pinned: bool,
    /// Whether pieces of an overdue call were requeued.
    was_repeated: bool,
    /// Whether a worker that could take a call lacked room for this order's pieces.
    pub(super) lacked_room: bool,
    arrived: Time,
    home_domain: Option<Name>,
}

impl OpenOrder {
    pub(super) fn new(order: BatchOrder, pinned: bool, now: Time) -> Self {
        let n = order.pieces as usize;
        OpenOrder {
            spec: order,
            queued: (0..n).collect(),
            results: vec![None; n],
            in_flight_calls: vec![0; n],
            silent_calls: vec![0; n],
            failures: 0,
            last_failure: None,
            pinned,
            was_repeated: false,
            lacked_room: false,
            arrived: now,
            home_domain: None,
        }
    }

    /// Time left to complete the stage for the request to be in time.
    fn slack(&self, now: Time) -> Duration {
        Duration::from_millis(self.spec.slack_ms).saturating_sub(now.since(self.arrived))
    }

    /// Milliseconds until the request is abandoned.
    pub(super) fn left_ms(&self, now: Time) -> u64 {
        let waited = now.since(self.arrived).as_millis() as u64;
        self.spec.left_ms.saturating_sub(waited)
    }

    /// Whether the request has been abandoned.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        now.since(self.arrived) >= Duration::from_millis(self.spec.left_ms)
    }

    /// Whether the order could have been in time on arrival, and no call took any of it before its
    /// slack ran out. An order whose call failed is retried late instead, since it did not wait
    /// behind others.
    pub(super) fn is_starved(&self, pool: &StagePool, now: Time) -> bool {
        self.may_starve(pool) && self.slack(now).is_zero()
    }

    fn may_starve(&self, pool: &StagePool) -> bool {
        let had_call = self.failures > 0 || self.was_repeated;
        let could_be_in_time =
            Duration::from_millis(self.spec.slack_ms) >= pool.call_time(self.spec.pieces);
        !self.is_started() && !had_call && could_be_in_time
    }

    /// Whether the order shares no calls: two of its calls have failed, and a piece that crashes
    /// every worker would fail the other orders' pieces a third time.
    pub(super) fn is_isolated(&self) -> bool {
        self.failures >= ISOLATE_AFTER
    }

    /// Counts the failure of a call started at `started`. Calls that were in flight together count
    /// once, since they fail for one reason, such as the loss of a failure domain.
    pub(super) fn call_failed(&mut self, started: Time, now: Time) {
        if self.last_failure.is_none_or(|last| started >= last) {
            self.failures += 1;
            self.last_failure = Some(now);
        }
    }

    /// Whether any piece has been taken by a call.
    pub(super) fn is_started(&self) -> bool {
        self.queued.len() < self.results.len()
    }

    /// Whether the request will be late even if a call takes the order now.
    pub(super) fn is_hopeless(&self, pool: &StagePool, now: Time) -> bool {
        self.slack(now) < self.typical_time(pool)
    }

    /// Time of a call with the queued pieces, filled up by other orders as is typical.
    fn typical_time(&self, pool: &StagePool) -> Duration {
        typical_call_time(pool, self.queued.len() as u32)
    }

    /// Started orders first, then those that can still be in time, higher ranks, orders that prefer
    /// this failure domain, and the least slack.
    pub(super) fn urgency(&self, domain: &str, pool: &StagePool, now: Time) -> Urgency {
        let is_started = self.is_started();
        let slack = self.slack(now);
        let is_hopeless = self.is_hopeless(pool, now);
        (!is_started, is_hopeless, self.spec.rank, !self.prefers_domain(domain), slack)
    }

    fn prefers_domain(&self, domain: &str) -> bool {
        self.home_domain.as_ref().or(self.spec.near.as_ref()).is_some_and(|d| **d == *domain)
    }

    /// Whether the request may be served at this location.
    fn permits(&self, location: &Location) -> bool {
        self.spec.allowed.permits(location.region.as_deref())
    }

    /// Whether this order may use a worker at `location`. A call shared by several orders runs only
    /// where all of them permit it.
    pub(super) fn accepts(
        &self,
        location: &Location,
        available: &[Location],
        pool: &StagePool,
        now: Time,
    ) -> bool {
        if !self.permits(location) {
            return false;
        }
        let (preferred, bytes) = match &self.home_domain {
            Some(home) => (Some(home), self.spec.spread_bytes),
            None => (self.spec.near.as_ref(), self.spec.moved_bytes),
        };
        let Some(preferred) = preferred else {
            return true;
        };
        let is_urgent = self.slack(now) < self.typical_time(pool) + SPILL_SLACK;
        *preferred == location.domain
            || bytes < LARGE_RESULT_BYTES
            || !available.iter().any(|w| w.domain == *preferred && self.permits(w))
            || (is_urgent && self.spec.rank.workspace <= MAX_SPILL_RANK)
    }

    /// Takes up to `limit` queued pieces for a call in `domain`.
    pub(super) fn take_queued(&mut self, limit: usize, domain: &Name) -> Vec<usize> {
        let count = self.queued.len().min(limit);
        if count > 0 {
            self.home_domain.get_or_insert_with(|| domain.clone());
        }
        let taken: Vec<usize> = self.queued.drain(..count).collect();
        for piece in &taken {
            self.in_flight_calls[*piece] += 1;
        }
        taken
    }

    /// Records the end of a call for a piece.
    pub(super) fn call_ended(&mut self, piece: usize) {
        self.in_flight_calls[piece] = self.in_flight_calls[piece].saturating_sub(1);
    }

    /// Records that the worker of a call for a piece is silent.
    pub(super) fn call_silent(&mut self, piece: usize) {
        self.call_ended(piece);
        self.silent_calls[piece] += 1;
    }

    /// Records the end of a call for a piece whose worker had been silent.
    pub(super) fn silent_call_ended(&mut self, piece: usize) {
        self.silent_calls[piece] = self.silent_calls[piece].saturating_sub(1);
    }

    /// Whether the answer of a silent worker may still bring the piece.
    pub(super) fn is_awaited(&self, piece: usize) -> bool {
        self.silent_calls[piece] > 0
    }

    /// Whether a piece has neither a result nor a call that may bring one.
    pub(super) fn lacks_call(&self) -> bool {
        let has_call = |p: usize| self.in_flight_calls[p] > 0 || self.is_awaited(p);
        self.queued.iter().any(|p| !has_call(*p))
    }

    /// Whether a call has any of its pieces, apart from those of silent workers.
    pub(super) fn has_calls(&self) -> bool {
        self.in_flight_calls.iter().any(|calls| *calls > 0)
    }

    /// Requeues a piece unless it has a result or another call in flight.
    pub(super) fn requeue(&mut self, piece: usize) {
        if self.in_flight_calls[piece] == 0 {
            self.enqueue(piece);
        }
    }

    /// Whether the piece has no result and its overdue call is the only one in flight.
    pub(super) fn may_repeat(&self, piece: usize) -> bool {
        self.in_flight_calls[piece] == 1 && self.results[piece].is_none()
    }

    /// Requeues a piece while its first call is still in flight.
    pub(super) fn repeat(&mut self, piece: usize) {
        self.was_repeated = true;
        self.enqueue(piece);
    }

    fn enqueue(&mut self, piece: usize) {
        if self.results[piece].is_none() && !self.queued.contains(&piece) {
            self.queued.push(piece);
        }
    }

    /// Sets the final result of a piece.
    pub(super) fn set_result(&mut self, piece: usize, result: PieceResult) {
        self.queued.retain(|p| *p != piece);
        self.results[piece] = Some(result);
    }
}
