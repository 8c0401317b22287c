//! Budget for repeats of one service, shared by all nodes without communication: each node keeps to
//! its part of the allowance.

use std::collections::VecDeque;
use std::time::Duration;

use model::{Time, hash};

/// Size of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTuning {
    /// Repeats allowed for each request in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Additional repeats that all nodes together may send in a window.
    pub slack: f64,
}

/// Part of the allowance that is used; the rest covers windows that nodes see shifted, and repeats
/// that callers of a failed node bring along.
const DRAWN_PART: f64 = 0.7;
/// Factor on a process's share of the slack in its first window, unless the whole system starts for
/// the first time: what it then draws, with what an earlier process drew in the same window, makes
/// up the whole slack. Otherwise, nodes that were killed together would spend the slack twice in
/// one window.
const RESTART_SLACK_PART: f64 = (1.0 - DRAWN_PART) / DRAWN_PART;
/// Number of windows in which each node of a large fleet gets its turn with every fraction of a
/// repeat. With more windows, fewer nodes get their turn within one window.
const TURN_WINDOWS: u32 = 20;
/// Standard deviations of the nodes' sum that the unused rest must cover.
const DEVIATIONS: f64 = 5.0;
/// Buckets in one window.
const BUCKETS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Time,
    requests: u32,
    repeats: u32,
}

/// One node's part of the repeat budget of one service.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    tuning: BudgetTuning,
    /// Whether an earlier process may have spent some of it.
    may_be_spent: bool,
    /// Position of this node in the rotation, from 0 to 1.
    phase: f64,
    buckets: VecDeque<Bucket>,
}

impl RepeatBudget {
    /// Creates a budget that an earlier process may have used, unless this is the first start of
    /// all. Time counts from the start of the process; `seed` must differ between nodes.
    pub fn new(tuning: BudgetTuning, is_first: bool, seed: u64) -> Self {
        let phase = hash::mix(seed, 0) as f64 / u64::MAX as f64;
        RepeatBudget { tuning, may_be_spent: !is_first, phase, buckets: VecDeque::new() }
    }

    /// Changes the size of the budget.
    pub fn set_tuning(&mut self, tuning: BudgetTuning) {
        self.tuning = tuning;
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Whether a repeat would be granted now, to one of `nodes` nodes.
    pub fn permits(&mut self, now: Time, nodes: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let is_new = self.may_be_spent && now.since(Time::ZERO) < self.tuning.window;
        let part = if is_new { RESTART_SLACK_PART } else { 1.0 };
        let slack = self.tuning.slack / nodes.max(1) as f64 * part;
        let allowed = (f64::from(requests) * self.tuning.ratio + slack) * DRAWN_PART;
        let full_repeats = allowed.floor();
        let has_turn = self.takes_turns(nodes) && self.turn_position(now) < allowed - full_repeats;
        f64::from(repeats + 1) <= full_repeats + f64::from(u8::from(has_turn))
    }

    /// Whether nodes take turns with the fractional repeat of their part: as many nodes then hold
    /// it as the fractions sum up to. Otherwise, a part of less than one repeat would be lost, and
    /// with it all repeats of a large fleet.
    fn takes_turns(&self, nodes: usize) -> bool {
        let nodes = nodes.max(1) as f64;
        let excess = nodes / f64::from(TURN_WINDOWS) + DEVIATIONS * nodes.sqrt() / 2.0;
        excess <= self.tuning.slack * (1.0 - DRAWN_PART)
    }

    /// Position of this node in the rotation now, from 0 to 1.
    fn turn_position(&self, now: Time) -> f64 {
        let round = self.tuning.window * TURN_WINDOWS;
        (self.phase + now.since(Time::ZERO).as_secs_f64() / round.as_secs_f64()).fract()
    }

    /// Takes one repeat if this node's part, one of `nodes`, has one left.
    pub fn withdraw(&mut self, now: Time, nodes: usize) -> bool {
        let granted = self.permits(now, nodes);
        if granted {
            self.bucket(now).repeats += 1;
        }
        granted
    }

    /// Returns a repeat that was withdrawn and not sent.
    pub fn give_back(&mut self) {
        if let Some(latest) = self.buckets.iter_mut().rev().find(|b| b.repeats > 0) {
            latest.repeats -= 1;
        }
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let window = self.tuning.window;
        while self.buckets.front().is_some_and(|b| now.since(b.start) > window) {
            self.buckets.pop_front();
        }
        let width = window / BUCKETS;
        let fresh = self.buckets.back().is_none_or(|b| now.since(b.start) >= width);
        if fresh {
            self.buckets.push_back(Bucket { start: now, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just pushed if there was none")
    }
}
