//! One connection, or one request with its body.

use std::time::Duration;

use model::Time;

use super::{
    CONNECTION_BYTES, MIN_MOVED_BYTES, PIECE_BYTES, REQUEST_BYTES, STILL_TIME, Stage, YIELD_TIME,
};
use crate::hold::HoldId;

/// What one holder holds, and how it moves.
#[derive(Debug)]
pub(super) struct Holder {
    pub is_connection: bool,
    pub stage: Stage,
    /// Bytes that it holds however little arrives.
    fixed: usize,
    /// Bytes of a head that has not ended.
    pub head: usize,
    /// Bytes of its body.
    pub body: usize,
    /// Most bytes that its body will have.
    pub max_bytes: usize,
    /// Its place among the large bodies.
    pub hold: Option<HoldId>,
    /// When it was told to yield.
    pub told_at: Option<Time>,
    is_waiting: bool,
    moved_at: Time,
    /// Bytes that have arrived since then.
    moved: usize,
}

impl Holder {
    fn new(fixed: usize, stage: Stage, now: Time) -> Self {
        Holder {
            is_connection: false,
            stage,
            fixed,
            head: 0,
            body: 0,
            max_bytes: 0,
            hold: None,
            told_at: None,
            is_waiting: false,
            moved_at: now,
            moved: 0,
        }
    }

    pub fn connection(now: Time) -> Self {
        Holder { is_connection: true, ..Holder::new(CONNECTION_BYTES, Stage::Busy, now) }
    }

    pub fn request(pieces: usize, max_bytes: usize, now: Time) -> Self {
        let fixed = REQUEST_BYTES + pieces * PIECE_BYTES;
        Holder { max_bytes, ..Holder::new(fixed, Stage::Receiving, now) }
    }

    pub fn bytes(&self) -> usize {
        self.fixed + self.head + self.body
    }

    pub fn enter(&mut self, stage: Stage, now: Time) {
        if self.stage == stage {
            return;
        }
        self.stage = stage;
        self.told_at = None;
        self.restart(now);
    }

    pub fn set_waiting(&mut self, is_waiting: bool, now: Time) {
        self.is_waiting = is_waiting;
        self.restart(now);
    }

    pub fn moved(&mut self, bytes: usize, now: Time) {
        self.moved += bytes;
        if self.moved >= MIN_MOVED_BYTES {
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Time) {
        self.moved_at = now;
        self.moved = 0;
    }

    /// Whether it would yield if it stood still.
    pub fn can_yield(&self) -> bool {
        self.stage != Stage::Busy
    }

    /// Time for which it has stood still, or has waited if `is_urgent`; `None` if it does not yield.
    pub fn still_time(&self, is_urgent: bool, now: Time) -> Option<Duration> {
        let still = now.since(self.moved_at);
        let yields = if self.is_waiting { is_urgent } else { still >= STILL_TIME };
        (self.can_yield() && yields).then_some(still)
    }

    /// Whether it is expected to be gone soon.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.told_at.is_some_and(|at| now.since(at) < YIELD_TIME)
    }
}
