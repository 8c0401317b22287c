//! Orders: what of them waits, how urgent they are, and where they may be made.

use std::time::Duration;

use model::forward::{BatchOrder, LARGE_RESULT, PieceResult, Rank, StagePool};
use model::{Name, Time};

use super::worker::Location;

/// Slack below which an urgent order may be made elsewhere after all.
const SPILL_SLACK: Duration = Duration::from_millis(150);
/// Part of a call that is filled while orders wait. More, and an order that can still be in
/// time goes behind others as a late one; less, and a late one takes the place of one in time.
const TYPICAL_FILL: f64 = 0.75;
/// Failed calls from which on an order goes alone.
const ISOLATE_AFTER: u32 = 2;
/// Workspaces of ranks up to this one may be made elsewhere for want of time.
const MAX_SPILL_RANK: u8 = 1;

/// Key by which orders are taken; the least goes first.
pub(super) type Urgency = (bool, bool, Rank, bool, Duration);

/// Time of a call with these pieces, filled up by others as it usually is when orders wait.
pub(super) fn typical_call_time(pool: &StagePool, pieces: u32) -> Duration {
    let typical = (pool.batch as f64 * TYPICAL_FILL) as u32;
    pool.call_time(typical.max(pieces))
}

/// One order that is not answered yet.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) order: BatchOrder,
    pub(super) queued: Vec<usize>,
    pub(super) results: Vec<Option<PieceResult>>,
    /// Calls under way for each piece.
    in_flight_calls: Vec<u8>,
    pub(super) failures: u32,
    /// When the last of these was seen.
    last_failure: Option<Time>,
    pub(super) pinned: bool,
    /// A call was overdue and its pieces were asked for again.
    was_repeated: bool,
    /// A worker that could take a call had too little room for it.
    pub(super) lacked_room: bool,
    arrived: Time,
    home_domain: Option<Name>,
}

impl Order {
    pub(super) fn new(order: BatchOrder, pinned: bool, now: Time) -> Self {
        let n = order.pieces as usize;
        Order {
            order,
            queued: (0..n).collect(),
            results: vec![None; n],
            in_flight_calls: vec![0; n],
            failures: 0,
            last_failure: None,
            pinned,
            was_repeated: false,
            lacked_room: false,
            arrived: now,
            home_domain: None,
        }
    }

    /// Time until the stage must be over for the request to be in time.
    fn slack(&self, now: Time) -> Duration {
        Duration::from_millis(self.order.slack_ms).saturating_sub(now.since(self.arrived))
    }

    /// Milliseconds until the request is given up.
    pub(super) fn left_ms(&self, now: Time) -> u64 {
        let waited = now.since(self.arrived).as_millis() as u64;
        self.order.left_ms.saturating_sub(waited)
    }

    /// Whether the request is given up by now.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        now.since(self.arrived) >= Duration::from_millis(self.order.left_ms)
    }

    /// Whether the order could have been in time when it came, and no call has taken any
    /// of it by the time at which it should have been made. One whose call failed is made
    /// again, late: it did not wait behind others.
    pub(super) fn is_starved(&self, pool: &StagePool, now: Time) -> bool {
        self.may_starve(pool) && self.slack(now).is_zero()
    }

    fn may_starve(&self, pool: &StagePool) -> bool {
        let had_call = self.failures > 0 || self.was_repeated;
        let could_be_in_time =
            Duration::from_millis(self.order.slack_ms) >= pool.call_time(self.order.pieces);
        !self.is_started() && !had_call && could_be_in_time
    }

    /// Whether its calls carry nothing else: two have failed under it, and a piece that ends
    /// whatever makes it would take the others' with it a third time.
    pub(super) fn is_isolated(&self) -> bool {
        self.failures >= ISOLATE_AFTER
    }

    /// A call that was begun then failed. Calls that were under way together count once: they
    /// fail for one reason, such as a lost failure domain.
    pub(super) fn call_failed(&mut self, started: Time, now: Time) {
        if self.last_failure.is_none_or(|last| started >= last) {
            self.failures += 1;
            self.last_failure = Some(now);
        }
    }

    /// Whether a call has taken some of it.
    pub(super) fn is_started(&self) -> bool {
        self.queued.len() < self.results.len()
    }

    /// Whether the request will be late even if a call takes the order now.
    pub(super) fn is_hopeless(&self, pool: &StagePool, now: Time) -> bool {
        self.slack(now) < self.typical_time(pool)
    }

    /// Time of a call with the order's pieces, filled up by others' as it usually is when
    /// orders wait.
    fn typical_time(&self, pool: &StagePool) -> Duration {
        typical_call_time(pool, self.queued.len() as u32)
    }

    /// Begun orders first, then those that can still be in time, the higher ranks,
    /// those that this failure domain is meant for, the least slack.
    pub(super) fn urgency(&self, domain: &str, pool: &StagePool, now: Time) -> Urgency {
        let is_started = self.is_started();
        let slack = self.slack(now);
        let is_hopeless = self.is_hopeless(pool, now);
        (!is_started, is_hopeless, self.order.rank, !self.prefers_domain(domain), slack)
    }

    fn prefers_domain(&self, domain: &str) -> bool {
        self.home_domain.as_ref().or(self.order.near.as_ref()).is_some_and(|d| **d == *domain)
    }

    /// Whether the request may be served at a place.
    fn permits(&self, location: &Location) -> bool {
        self.order.allowed.permits(location.region.as_deref())
    }

    /// Whether a call at a worker at `place` suits this order. A call that orders share is
    /// made only where each of them permits it.
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
            Some(home) => (Some(home), self.order.spread_bytes),
            None => (self.order.near.as_ref(), self.order.moved_bytes),
        };
        let Some(preferred) = preferred else {
            return true;
        };
        let is_urgent = self.slack(now) < self.typical_time(pool) + SPILL_SLACK;
        *preferred == location.domain
            || bytes < LARGE_RESULT
            || !available.iter().any(|w| w.domain == *preferred && self.permits(w))
            || (is_urgent && self.order.rank.workspace <= MAX_SPILL_RANK)
    }

    /// Takes up to `most` waiting pieces for a call in `domain`.
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

    /// A call for a piece ended.
    pub(super) fn call_ended(&mut self, piece: usize) {
        self.in_flight_calls[piece] = self.in_flight_calls[piece].saturating_sub(1);
    }

    /// The piece waits for a call again, unless it is made or another call is under way.
    pub(super) fn requeue(&mut self, piece: usize) {
        if self.in_flight_calls[piece] == 0 {
            self.enqueue(piece);
        }
    }

    /// Whether only one call, which is overdue, is under way for a piece that is not made yet.
    pub(super) fn may_repeat(&self, piece: usize) -> bool {
        self.in_flight_calls[piece] == 1 && self.results[piece].is_none()
    }

    /// The piece waits for a second call although the first one is still under way.
    pub(super) fn repeat(&mut self, piece: usize) {
        self.was_repeated = true;
        self.enqueue(piece);
    }

    fn enqueue(&mut self, piece: usize) {
        if self.results[piece].is_none() && !self.queued.contains(&piece) {
            self.queued.push(piece);
        }
    }

    /// A piece is made, or will not be.
    pub(super) fn set_result(&mut self, piece: usize, result: PieceResult) {
        self.queued.retain(|p| *p != piece);
        self.results[piece] = Some(result);
    }
}
