//! State machine of one request.

use std::time::Duration;

use model::answer::ChunkEvent;
use model::attempt::{Attempt, Frame};
use model::claim::ClaimOutcome;
use model::outcome::{Outcome, Reason, RequestReport, StepError, StepReport};
use model::{Name, Time};

use super::assembly::{FrameResult, Reassembler};
use super::types::{Action, Event, Plan, RetryPolicy};
use crate::rng::Rng;

/// Limit on attempts per step, including resumed streams.
pub(super) const MAX_ATTEMPTS: u16 = 4;
/// Limit on concurrent attempts per step: the first and one hedge.
pub(super) const MAX_CONCURRENT: usize = 2;

#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) target: Name,
    pub(super) answer: Reassembler,
    pub(super) last_frame: Time,
}

#[derive(Debug, PartialEq)]
pub(super) enum State {
    New,
    Claiming,
    Picking { hedge: bool },
    BackingOff { until: Time },
    Running,
    Ended,
}

/// State of one request.
#[derive(Debug)]
pub struct RequestMachine {
    pub(super) plan: Plan,
    pub(super) state: State,
    pub(super) step: usize,
    pub(super) attempts: u16,
    pub(super) in_flight: Vec<InFlight>,
    pub(super) tried: Vec<Name>,
    pub(super) hedged: bool,
    pub(super) resume: Option<(Name, Attempt)>,
    pub(super) arrived: Time,
    pub(super) step_started: Time,
    pub(super) text: String,
    pub(super) pieces: u64,
    pub(super) results: Vec<String>,
    pub(super) steps: Vec<StepReport>,
    pub(super) step_cost: f64,
    pub(super) sent: bool,
    pub(super) last_error: Option<StepError>,
    pub(super) strays: u64,
    pub(super) rng: Rng,
}

impl RequestMachine {
    /// Creates the machine of a request that arrived at `now`.
    pub fn new(plan: Plan, now: Time) -> Self {
        let rng = Rng::new(plan.seed);
        RequestMachine {
            plan,
            state: State::New,
            step: 0,
            attempts: 0,
            in_flight: Vec::new(),
            tried: Vec::new(),
            hedged: false,
            resume: None,
            arrived: now,
            step_started: now,
            text: String::new(),
            pieces: 0,
            results: Vec::new(),
            steps: Vec::new(),
            step_cost: 0.0,
            sent: false,
            last_error: None,
            strays: 0,
            rng,
        }
    }

    /// Output texts of the completed steps, in order.
    pub fn results(&self) -> &[String] {
        &self.results
    }

    /// Text of the current step received so far, from which later attempts continue.
    pub fn partial_text(&self) -> &str {
        &self.text
    }

    /// Number of frames dropped as duplicates or because they belong to no attempt in flight.
    pub fn strays(&self) -> u64 {
        self.strays
    }

    /// Whether [`Action::Finish`] was returned.
    pub fn is_finished(&self) -> bool {
        self.state == State::Ended
    }

    /// Handles one event and returns the resulting actions, in order.
    pub fn handle_event(
        &mut self,
        now: Time,
        event: Event,
        retry_policy: &mut dyn RetryPolicy,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_finished() {
            if matches!(event, Event::Frame(_)) {
                self.strays += 1;
            }
            return out;
        }
        match event {
            Event::Start => self.start(&mut out),
            Event::Claim(end) => self.handle_claim(now, end, &mut out),
            Event::TargetPicked(target) => self.handle_target(now, target, &mut out),
            Event::NoTarget(wait) => self.handle_no_target(now, wait, retry_policy, &mut out),
            Event::NotSent { attempt, reason } => {
                self.attempt_failed(now, &attempt, reason, false, retry_policy, &mut out);
            }
            Event::Closed { attempt, reason } => {
                self.attempt_failed(now, &attempt, reason, true, retry_policy, &mut out);
            }
            Event::Frame(frame) => self.handle_frame(now, frame, retry_policy, &mut out),
            Event::Tick => self.handle_tick(now, retry_policy, &mut out),
            Event::CallerGone => self.abort(now, Reason::Gone, &mut out),
        }
        out
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        if self.state != State::New {
            return;
        }
        out.push(Action::WakeAt(self.plan.expires));
        let claim_needed = self.plan.steps.iter().any(|s| !s.repeatable);
        match self.plan.key {
            Some(key) if claim_needed => {
                self.state = State::Claiming;
                out.push(Action::Claim(key));
            }
            _ => self.request_target(false, out),
        }
    }

    fn handle_claim(&mut self, now: Time, end: ClaimOutcome, out: &mut Vec<Action>) {
        if self.state != State::Claiming {
            return;
        }
        let (outcome, peer, reason) = match end {
            ClaimOutcome::Won => return self.request_target(false, out),
            ClaimOutcome::Lost(by) => (Outcome::Unknown, Some(by), Reason::Claimed),
            ClaimOutcome::Old => (Outcome::NotRun, None, Reason::OldKey),
            ClaimOutcome::Future => (Outcome::NotRun, None, Reason::FutureKey),
            ClaimOutcome::Failed => (Outcome::NotRun, None, Reason::NoClaim),
            // No step was sent, so the outcome is "not run"; only the key may be used up.
            ClaimOutcome::Doubt => (Outcome::NotRun, None, Reason::ClaimDoubt),
        };
        let error = StepError { step: "claim".into(), peer, reason };
        self.finish(now, outcome, Some(error), None, out);
    }

    pub(super) fn request_target(&mut self, hedge: bool, out: &mut Vec<Action>) {
        self.state = State::Picking { hedge };
        out.push(Action::PickTarget { step: self.step, exclude: self.tried.clone() });
    }

    fn handle_target(&mut self, now: Time, target: Name, out: &mut Vec<Action>) {
        if !matches!(self.state, State::Picking { .. }) {
            return;
        }
        self.send(now, target, None, out);
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        target: Name,
        resume: Option<Attempt>,
        out: &mut Vec<Action>,
    ) {
        let attempt = Attempt {
            request: self.plan.request.clone(),
            step: self.step as u16,
            number: self.attempts,
        };
        if self.attempts == 0 {
            self.step_started = now;
        }
        self.attempts += 1;
        self.state = State::Running;
        let step = &self.plan.steps[self.step];
        let from = self.pieces;
        let answer = Reassembler::new(attempt.clone(), from);
        self.in_flight.push(InFlight { target: target.clone(), answer, last_frame: now });
        let budget = self.plan.expires.since(now);
        out.push(Action::Send { attempt, target, from, resume, budget });
        if step.repeatable {
            out.push(Action::WakeAt(now + step.timeout));
        }
        if let Some(hedge) = self.hedge_at() {
            out.push(Action::WakeAt(hedge));
        }
    }

    /// Time at which a hedge is sent beside the attempt in flight.
    pub(super) fn hedge_at(&self) -> Option<Time> {
        let step = &self.plan.steps[self.step];
        let hedge = step.hedge?;
        let allowed =
            step.repeatable && !self.hedged && self.pieces == 0 && self.in_flight.len() == 1;
        allowed.then(|| self.step_started + hedge)
    }

    fn handle_no_target(
        &mut self,
        now: Time,
        wait: Duration,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        let State::Picking { hedge } = self.state else {
            return;
        };
        if hedge || !self.in_flight.is_empty() {
            self.state = State::Running;
            return;
        }
        let error = self.error(None, Reason::NoTarget);
        if !self.sent {
            return self.finish(now, Outcome::NotRun, Some(error), Some(wait), out);
        }
        self.last_error = Some(error);
        self.schedule_retry(now, retry_policy, out);
    }

    fn handle_frame(
        &mut self,
        now: Time,
        frame: Frame,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        let attempt = frame.attempt().clone();
        let Some(i) = self.in_flight.iter().position(|f| *f.answer.attempt() == attempt) else {
            self.strays += 1;
            return;
        };
        self.in_flight[i].last_frame = now;
        self.sent = true;
        match self.in_flight[i].answer.receive(frame) {
            FrameResult::Stray => self.strays += 1,
            FrameResult::Text(texts) => {
                if !texts.is_empty() {
                    self.cancel_others(i, out);
                }
                self.append(texts, out);
            }
            FrameResult::Complete(texts) => {
                self.cancel_others(i, out);
                self.append(texts, out);
                self.finish_step(now, out);
            }
            FrameResult::Corrupt(reason) => {
                self.attempt_corrupt(now, &attempt, reason, retry_policy, out)
            }
        }
    }

    /// Cancels all attempts but the first one that delivered text.
    fn cancel_others(&mut self, i: usize, out: &mut Vec<Action>) {
        if self.in_flight.len() < 2 {
            return;
        }
        let winner = self.in_flight.swap_remove(i);
        for f in self.in_flight.drain(..) {
            out.push(Action::Cancel { attempt: f.answer.attempt().clone(), target: f.target });
        }
        self.in_flight.push(winner);
    }

    fn append(&mut self, texts: Vec<String>, out: &mut Vec<Action>) {
        for text in texts {
            self.text.push_str(&text);
            let seq = self.pieces;
            self.pieces += 1;
            if self.plan.streamed && self.is_last() {
                out.push(Action::Emit(ChunkEvent { seq, text }));
            }
        }
    }

    fn finish_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(flight) = self.in_flight.pop() else {
            return;
        };
        self.add_cost(now, &flight);
        self.steps.push(StepReport {
            step: self.plan.steps[self.step].name.clone(),
            target: flight.target,
            attempts: self.attempts,
            millis: now.since(self.step_started).as_secs_f64() * 1e3,
            cost: self.step_cost,
        });
        self.results.push(std::mem::take(&mut self.text));
        if self.is_last() {
            return self.finish(now, Outcome::Complete, None, None, out);
        }
        self.step += 1;
        self.attempts = 0;
        self.pieces = 0;
        self.step_cost = 0.0;
        self.hedged = false;
        self.resume = None;
        self.last_error = None;
        self.tried.clear();
        self.request_target(false, out);
    }

    pub(super) fn finish(
        &mut self,
        now: Time,
        outcome: Outcome,
        error: Option<StepError>,
        wait: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let in_flight: Vec<_> = self.in_flight.drain(..).collect();
        // An attempt at a non-repeatable step is left to finish: a partial run has no use.
        let cancels = self.plan.steps[self.step].repeatable;
        for f in in_flight.iter().filter(|_| cancels) {
            self.add_cost(now, f);
            let attempt = f.answer.attempt().clone();
            let cancel = Action::Cancel { attempt, target: f.target.clone() };
            if !out.contains(&cancel) {
                out.push(cancel);
            }
        }
        self.state = State::Ended;
        let timely = outcome == Outcome::Complete && now <= self.plan.deadline;
        let retry_after = match outcome {
            Outcome::Complete | Outcome::Unknown => None,
            _ => Some(wait.unwrap_or(crate::retry::DEFAULT_RETRY_AFTER).as_millis() as u64),
        };
        out.push(Action::Finish(RequestReport {
            request: self.plan.request.clone(),
            outcome,
            error,
            steps: std::mem::take(&mut self.steps),
            retry_after,
            timely,
        }));
    }

    pub(super) fn add_cost(&mut self, now: Time, flight: &InFlight) {
        let seconds = match flight.answer.busy_us() {
            Some(us) => us as f64 / 1e6,
            None => now.since(self.step_started).as_secs_f64(),
        };
        self.step_cost += seconds * self.plan.steps[self.step].cost;
    }

    pub(super) fn is_last(&self) -> bool {
        self.step + 1 == self.plan.steps.len()
    }

    pub(super) fn error(&self, peer: Option<Name>, reason: Reason) -> StepError {
        StepError { step: self.plan.steps[self.step].name.clone(), peer, reason }
    }

    /// Arrival time of the request.
    pub fn arrived(&self) -> Time {
        self.arrived
    }
}
