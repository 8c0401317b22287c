//! Who of those that wait can still be taken by a call in time, at best.
//!
//! The queue is played forward: calls end when they are expected to, each next one is full,
//! every working maker has room, and nobody more urgent comes. What is too late even so will
//! starve, and its caller can be told at once.

use std::time::Duration;

use model::Time;
use model::forward::StagePool;

use super::orders::Order;

/// Calls that makers will take, the next one first.
pub(super) struct Outlook<'a> {
    pool: &'a StagePool,
    /// Time of a full call.
    full: Duration,
    /// When each place for a call is free, from now.
    free: Vec<Duration>,
    /// Start of the call that is being filled, and what it still takes.
    filling: Option<(Duration, usize)>,
}

impl<'a> Outlook<'a> {
    /// An outlook from the time of a full call, and when each place for one is free.
    pub(super) fn new(pool: &'a StagePool, full: Duration, mut free: Vec<Duration>) -> Self {
        free.sort_unstable();
        free.reverse();
        Outlook { pool, full, free, filling: None }
    }

    /// Start of the call that the next piece rides in; none if no maker works.
    fn next(&self) -> Option<Duration> {
        match self.filling {
            Some((start, left)) if left > 0 => Some(start),
            _ => self.free.last().copied(),
        }
    }

    /// Lets a call take this many pieces, or as many calls as they need.
    fn take(&mut self, mut pieces: usize) {
        while pieces > 0 {
            let Some((start, left)) = self.filling.take().filter(|(_, left)| *left > 0) else {
                if !self.open_call() {
                    return;
                }
                continue;
            };
            let taken = pieces.min(left);
            pieces -= taken;
            self.filling = Some((start, left - taken));
        }
    }

    fn open_call(&mut self) -> bool {
        let Some(start) = self.free.pop() else {
            return false;
        };
        let ends = start + self.full;
        let at = self.free.partition_point(|f| *f > ends);
        self.free.insert(at, ends);
        self.filling = Some((start, self.pool.batch.max(1)));
        true
    }

    /// Whether the next order, in the order of their urgency, will starve. One that will be
    /// late by then makes way for those behind it.
    pub(super) fn starves(&mut self, order: &Order, now: Time) -> bool {
        let Some(start) = self.next() else {
            return false;
        };
        if order.would_starve(self.pool, now, start) {
            return true;
        }
        if order.is_begun() || !order.is_hopeless(self.pool, now + start) {
            self.take(order.waiting.len());
        }
        false
    }
}
