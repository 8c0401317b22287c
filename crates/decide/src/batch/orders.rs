//! Orders: what of them waits, how urgent they are, and where they may be made.

use std::time::Duration;

use model::forward::{BatchOrder, LARGE_RESULT, PieceResult, Rank, StagePool};
use model::{Name, Time};

use super::maker::Place;

/// Slack below which an urgent order may be made elsewhere after all.
const SPILL_SLACK: Duration = Duration::from_millis(150);
/// Part of a call that is filled while orders wait. More, and an order that can still be in
/// time goes behind others as a late one; less, and a late one takes the place of one in time.
const USUAL_FILL: f64 = 0.75;
/// Failed calls from which on an order goes alone.
const ALONE_FROM: u32 = 2;
/// Workspaces of ranks up to this one may be made elsewhere for want of time.
const SPILL_RANK: u8 = 1;

/// Key by which orders are taken; the least goes first.
pub(super) type Urgency = (bool, bool, Rank, bool, Duration);

/// Time of a call with these pieces, filled up by others as it usually is when orders wait.
pub(super) fn usual_call(pool: &StagePool, pieces: u32) -> Duration {
    let usual = (pool.batch as f64 * USUAL_FILL) as u32;
    pool.call_time(usual.max(pieces))
}

/// One order that is not answered yet.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) order: BatchOrder,
    pub(super) waiting: Vec<usize>,
    pub(super) results: Vec<Option<PieceResult>>,
    /// Calls under way for each piece.
    calls: Vec<u8>,
    pub(super) failures: u32,
    /// When the last of these was seen.
    failed: Option<Time>,
    pub(super) pinned: bool,
    /// A call was overdue and its pieces were asked for again.
    was_repeated: bool,
    /// A maker that could take a call had too little room for it.
    pub(super) lacked_room: bool,
    arrived: Time,
    home: Option<Name>,
}

impl Order {
    pub(super) fn new(order: BatchOrder, pinned: bool, now: Time) -> Self {
        let n = order.pieces as usize;
        Order {
            order,
            waiting: (0..n).collect(),
            results: vec![None; n],
            calls: vec![0; n],
            failures: 0,
            failed: None,
            pinned,
            was_repeated: false,
            lacked_room: false,
            arrived: now,
            home: None,
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
    pub(super) fn is_over(&self, now: Time) -> bool {
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
        !self.is_begun() && !had_call && could_be_in_time
    }

    /// Whether its calls carry nothing else: two have failed under it, and a piece that ends
    /// whatever makes it would take the others' with it a third time.
    pub(super) fn is_alone(&self) -> bool {
        self.failures >= ALONE_FROM
    }

    /// A call that was begun then failed. Calls that were under way together count once: they
    /// fail for one reason, such as a lost failure domain.
    pub(super) fn call_failed(&mut self, begun: Time, now: Time) {
        if self.failed.is_none_or(|seen| begun >= seen) {
            self.failures += 1;
            self.failed = Some(now);
        }
    }

    /// Whether a call has taken some of it.
    pub(super) fn is_begun(&self) -> bool {
        self.waiting.len() < self.results.len()
    }

    /// Whether the request will be late even if a call takes the order now.
    pub(super) fn is_hopeless(&self, pool: &StagePool, now: Time) -> bool {
        self.slack(now) < self.usual_time(pool)
    }

    /// Time of a call with the order's pieces, filled up by others' as it usually is when
    /// orders wait.
    fn usual_time(&self, pool: &StagePool) -> Duration {
        usual_call(pool, self.waiting.len() as u32)
    }

    /// Begun orders first, then those that can still be in time, the higher ranks,
    /// those that this failure domain is meant for, the least slack.
    pub(super) fn urgency(&self, domain: &str, pool: &StagePool, now: Time) -> Urgency {
        let begun = self.is_begun();
        let slack = self.slack(now);
        let hopeless = self.is_hopeless(pool, now);
        (!begun, hopeless, self.order.rank, !self.is_meant_for(domain), slack)
    }

    fn is_meant_for(&self, domain: &str) -> bool {
        self.home.as_ref().or(self.order.near.as_ref()).is_some_and(|d| **d == *domain)
    }

    /// Whether the request may be served at a place.
    fn permits(&self, place: &Place) -> bool {
        self.order.allowed.permits(place.region.as_deref())
    }

    /// Whether a call at a maker at `place` suits this order. A call that orders share is
    /// made only where each of them permits it.
    pub(super) fn suits(
        &self,
        place: &Place,
        working: &[Place],
        pool: &StagePool,
        now: Time,
    ) -> bool {
        if !self.permits(place) {
            return false;
        }
        let (bound, bytes) = match &self.home {
            Some(home) => (Some(home), self.order.spread_bytes),
            None => (self.order.near.as_ref(), self.order.moved_bytes),
        };
        let Some(bound) = bound else {
            return true;
        };
        let pressed = self.slack(now) < self.usual_time(pool) + SPILL_SLACK;
        *bound == place.domain
            || bytes < LARGE_RESULT
            || !working.iter().any(|w| w.domain == *bound && self.permits(w))
            || (pressed && self.order.rank.workspace <= SPILL_RANK)
    }

    /// Takes up to `most` waiting pieces for a call in `domain`.
    pub(super) fn take(&mut self, most: usize, domain: &Name) -> Vec<usize> {
        let some = self.waiting.len().min(most);
        if some > 0 {
            self.home.get_or_insert_with(|| domain.clone());
        }
        let taken: Vec<usize> = self.waiting.drain(..some).collect();
        for piece in &taken {
            self.calls[*piece] += 1;
        }
        taken
    }

    /// A call for a piece ended.
    pub(super) fn call_ended(&mut self, piece: usize) {
        self.calls[piece] = self.calls[piece].saturating_sub(1);
    }

    /// The piece waits for a call again, unless it is made or another call is under way.
    pub(super) fn requeue(&mut self, piece: usize) {
        if self.calls[piece] == 0 {
            self.wait_again(piece);
        }
    }

    /// Whether only one call, which is overdue, is under way for a piece that is not made yet.
    pub(super) fn may_repeat(&self, piece: usize) -> bool {
        self.calls[piece] == 1 && self.results[piece].is_none()
    }

    /// The piece waits for a second call although the first one is still under way.
    pub(super) fn repeat(&mut self, piece: usize) {
        self.was_repeated = true;
        self.wait_again(piece);
    }

    fn wait_again(&mut self, piece: usize) {
        if self.results[piece].is_none() && !self.waiting.contains(&piece) {
            self.waiting.push(piece);
        }
    }

    /// A piece is made, or will not be.
    pub(super) fn set_result(&mut self, piece: usize, result: PieceResult) {
        self.waiting.retain(|p| *p != piece);
        self.results[piece] = Some(result);
    }
}
