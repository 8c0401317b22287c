//! Requests and their answers.

use std::cmp::Reverse;
use std::time::Duration;

use decide::rollout::Evidence;
use model::forward::{Phase, Side};
use model::{Name, Time};

use super::case::{AnswerCounts, BOUNDS, Calls, CountMode, Fault, FaultTiming, Method};
use super::{STEP_MS, Simulation};

/// A request that was sent, and its answer.
pub(super) struct Answer {
    node: usize,
    start: u64,
    route: usize,
    side: Side,
    took: Duration,
    bad: bool,
    fails: bool,
    /// Pieces of the call, and how many of them fail.
    pieces: u32,
    failed: u32,
}

impl Answer {
    fn count_into(&self, count: CountMode, evidence: &mut Evidence, service: &Name, route: &Name) {
        let Answer { side, took, pieces, failed, .. } = self;
        match count {
            CountMode::Parts => {
                let part = f64::from(*failed) / f64::from(*pieces);
                evidence.record_partial(service, route, *side, part, *took);
            }
            CountMode::Whole if *failed > 0 => evidence.record_bad(service, route, *side),
            CountMode::Whole => evidence.record_good(service, route, *side, *took),
            CountMode::Pieces => {
                (0..*failed).for_each(|_| evidence.record_bad(service, route, *side));
                (*failed..*pieces).for_each(|_| evidence.record_good(service, route, *side, *took));
            }
        }
    }
}

impl Calls {
    fn pieces_of(&self, side: Side) -> u32 {
        match side {
            Side::Serving => self.pieces.0,
            Side::Trial => self.pieces.1,
        }
    }
}

impl Simulation {
    /// Draws the number of failed pieces of a call.
    fn failed_pieces(&mut self, pieces: u32, hit: bool) -> u32 {
        let Some(calls) = self.case.calls else {
            return 0;
        };
        let part = match self.case.fault {
            Fault::Fails(part) if hit => self.case.noise + part,
            _ => self.case.noise,
        };
        let is_shared = self.rng.next_f64() < calls.shared;
        let fates = if is_shared { 1 } else { pieces };
        let failed = (0..fates).filter(|_| self.rng.next_f64() < part).count() as u32;
        failed * pieces / fates
    }

    fn is_bad(&self, route: usize) -> bool {
        match self.case.when {
            FaultTiming::Never => false,
            FaultTiming::AtOnce => true,
            FaultTiming::From(part) => self.now as f64 >= part * self.case.lasts_ms as f64,
            FaultTiming::Above(part) => self.trial_share > part,
            FaultTiming::OneRoute => route == 0,
        }
    }

    pub(super) fn send_requests(&mut self) {
        self.arrivals_due += self.case.rate * STEP_MS as f64 / 1000.0;
        let (mut sent, mut to_trial) = (0.0, 0.0);
        // Random arrivals: each of many callers sends with a small probability.
        let lots = (self.arrivals_due * 2.0).ceil() as usize + 1;
        let chance = self.arrivals_due / lots as f64;
        self.arrivals_due = 0.0;
        for _ in 0..lots {
            if self.rng.next_f64() < chance {
                sent += 1.0;
                to_trial += f64::from(u8::from(self.request() == Side::Trial));
            }
        }
        if sent > 0.0 {
            self.trial_share += 0.2 * (to_trial / sent - self.trial_share);
        }
    }

    fn request(&mut self) -> Side {
        self.attempts += 1;
        let n = self.rng.below(self.nodes.len());
        let route = self.rng.below(self.routes.len());
        let attempt = format!("{}-{}", self.case.seed, self.attempts);
        let node = &mut self.nodes[n];
        let side = node.versions.side_for_attempt("s", &attempt);
        let version = if side == Side::Trial { "v2" } else { "v1" };
        let is_running = node.versions.running().next().is_some();
        if is_running {
            assert_eq!(node.versions.side("s", version), Some(side), "at {} ms", self.now);
        }
        let pieces = self.case.calls.map_or(1, |calls| calls.pieces_of(side));
        node.evidence.record_sent(&self.service, &self.routes[route], side, pieces);
        let new = side == Side::Trial
            || !is_running && node.versions.side("s", "v2") == Some(Side::Serving);
        node.open += u32::from(!new);
        let start = node.id.start;
        if self.now < self.case.lasts_ms {
            self.outcome.sent += 1;
            // Nodes that are partitioned are not bound by the cap.
            self.outcome.trial_sent += u64::from(new && self.judge_of(n) == 0);
        }
        if new {
            let is_bad = self.case.when == FaultTiming::OneRoute || self.is_bad(route);
            if is_bad || self.outcome.bad_from_ms.is_some() {
                self.outcome.bad_from_ms.get_or_insert(self.now);
                self.outcome.sent_while_bad += u64::from(self.now < self.case.lasts_ms);
            }
            self.outcome.last_tried_ms = self.now;
            let back = BOUNDS.rollback_within.as_millis() as u64;
            self.outcome.sent_late +=
                u64::from(self.fiftieth_bad_ms.is_some_and(|at| self.now > at + back));
        }
        let spread: f64 = (0..6).map(|_| self.rng.next_f64()).sum::<f64>() - 3.0;
        let typical = 40.0 * (1 + route) as f64 * (0.5 * spread).exp();
        let hit = new && self.is_bad(route);
        let (fails, times) = match self.case.fault {
            Fault::Fails(part) => (hit && self.rng.next_f64() < part, 1.0),
            Fault::Slow(by) => (false, if hit && self.rng.next_f64() < 0.4 { by } else { 1.0 }),
        };
        let bad = fails || times > 1.0;
        let fails = fails || self.rng.next_f64() < self.case.noise;
        let failed = self.failed_pieces(pieces, hit);
        let took = Duration::from_secs_f64(typical * times / 1000.0);
        let due = self.now + took.as_millis() as u64;
        self.pending.push(Reverse((due, self.answers.len())));
        let side = if new { Side::Trial } else { Side::Serving };
        self.answers.push(Answer { node: n, start, route, side, took, bad, fails, pieces, failed });
        side
    }

    pub(super) fn process_answers(&mut self) {
        while let Some(Reverse((due, _))) = self.pending.peek() {
            if *due > self.now {
                return;
            }
            let Some(Reverse((_, i))) = self.pending.pop() else {
                return;
            };
            let answer = &self.answers[i];
            if answer.bad {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth_bad_ms = Some(self.now);
                }
            }
            let node = &mut self.nodes[answer.node];
            if node.id.start != answer.start {
                continue;
            }
            if answer.side == Side::Serving {
                node.open -= 1;
            }
            let (service, route) = (&self.service, &self.routes[answer.route]);
            if self.case.method == Method::FixedCounts {
                let is_slow = answer.took.as_secs_f64() > 0.1 * (1 + answer.route) as f64;
                for count in [answer.route, self.case.routes] {
                    self.counts[count].take(answer.side, answer.fails || is_slow);
                }
                if self.counts.iter().any(AnswerCounts::is_bad) {
                    node.roll_back();
                }
                let took = Duration::from_millis(40 * (1 + answer.route) as u64);
                node.evidence.record_good(service, route, answer.side, took);
            } else if let Some(calls) = self.case.calls {
                answer.count_into(calls.count, &mut node.evidence, service, route);
            } else if answer.fails {
                node.evidence.record_bad(service, route, answer.side);
            } else {
                node.evidence.record_good(service, route, answer.side, answer.took);
            }
            if answer.side == Side::Trial && answer.bad && node.evidence.proves_bad("s").is_some() {
                node.roll_back();
            }
        }
    }
}
