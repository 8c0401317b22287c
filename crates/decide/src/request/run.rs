//! The machine of one request.

use std::time::Duration;

use model::answer::Piece;
use model::attempt::{Attempt, Frame};
use model::claim::ClaimEnd;
use model::outcome::{Final, Outcome, Reason, StepError, StepReport};
use model::{Name, Time};

use super::assembly::{Assembly, Taken};
use super::types::{Action, Event, Permit, Plan};
use crate::rng::Rng;

/// Most attempts at one step, resumed streams included.
pub(super) const ATTEMPTS_MAX: u16 = 4;
/// Attempts at one step that run at the same time: one and its hedge.
pub(super) const FLIGHTS_MAX: usize = 2;

#[derive(Debug)]
pub(super) struct Flight {
    pub(super) target: Name,
    pub(super) answer: Assembly,
    pub(super) heard: Time,
}

#[derive(Debug, PartialEq)]
pub(super) enum State {
    New,
    Claiming,
    Picking { hedge: bool },
    Waiting { until: Time },
    Flying,
    Ended,
}

/// One request.
#[derive(Debug)]
pub struct Run {
    pub(super) plan: Plan,
    pub(super) state: State,
    pub(super) step: usize,
    pub(super) number: u16,
    pub(super) flights: Vec<Flight>,
    pub(super) tried: Vec<Name>,
    pub(super) hedged: bool,
    pub(super) resume: Option<(Name, Attempt)>,
    pub(super) started: Time,
    pub(super) begun: Time,
    pub(super) text: String,
    pub(super) pieces: u64,
    pub(super) results: Vec<String>,
    pub(super) steps: Vec<StepReport>,
    pub(super) spent: f64,
    pub(super) sent: bool,
    pub(super) last: Option<StepError>,
    pub(super) strays: u64,
    pub(super) rng: Rng,
}

impl Run {
    /// A request that arrived at `now`.
    pub fn new(plan: Plan, now: Time) -> Self {
        let rng = Rng::new(plan.seed);
        Run {
            plan,
            state: State::New,
            step: 0,
            number: 0,
            flights: Vec::new(),
            tried: Vec::new(),
            hedged: false,
            resume: None,
            started: now,
            begun: now,
            text: String::new(),
            pieces: 0,
            results: Vec::new(),
            steps: Vec::new(),
            spent: 0.0,
            sent: false,
            last: None,
            strays: 0,
            rng,
        }
    }

    /// Texts of the steps that are whole.
    pub fn results(&self) -> &[String] {
        &self.results
    }

    /// Text of the current step that later attempts go on from.
    pub fn prior(&self) -> &str {
        &self.text
    }

    /// Frames dropped because they belong to no live attempt.
    pub fn strays(&self) -> u64 {
        self.strays
    }

    /// Whether the request has ended.
    pub fn ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Takes one event; returns what is to be done, in order.
    pub fn on(&mut self, now: Time, event: Event, permit: &mut dyn Permit) -> Vec<Action> {
        let mut out = Vec::new();
        if self.ended() {
            if matches!(event, Event::Frame(_)) {
                self.strays += 1;
            }
            return out;
        }
        match event {
            Event::Start => self.start(&mut out),
            Event::Claim(end) => self.claimed(now, end, &mut out),
            Event::Picked(target) => self.picked(now, target, &mut out),
            Event::NoTarget(wait) => self.no_target(now, wait, permit, &mut out),
            Event::NotSent { attempt, reason } => {
                self.broken(now, &attempt, reason, false, permit, &mut out);
            }
            Event::Closed { attempt, reason } => {
                self.broken(now, &attempt, reason, true, permit, &mut out);
            }
            Event::Frame(frame) => self.frame(now, frame, permit, &mut out),
            Event::Tick => self.tick(now, permit, &mut out),
            Event::Gone => self.give_up(now, Reason::Gone, &mut out),
        }
        out
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        if self.state != State::New {
            return;
        }
        out.push(Action::Wake(self.plan.until));
        let once = self.plan.steps.iter().any(|s| !s.repeatable);
        match self.plan.key {
            Some(key) if once => {
                self.state = State::Claiming;
                out.push(Action::Claim(key));
            }
            _ => self.pick(false, out),
        }
    }

    fn claimed(&mut self, now: Time, end: ClaimEnd, out: &mut Vec<Action>) {
        if self.state != State::Claiming {
            return;
        }
        let (outcome, peer, reason) = match end {
            ClaimEnd::Won => return self.pick(false, out),
            ClaimEnd::Lost(by) => (Outcome::Unknown, Some(by), Reason::Claimed),
            ClaimEnd::Old => (Outcome::NotRun, None, Reason::OldKey),
            ClaimEnd::Future => (Outcome::NotRun, None, Reason::FutureKey),
            ClaimEnd::Failed => (Outcome::NotRun, None, Reason::NoClaim),
            // Nothing was sent, so "not run" is true; only the key is used up.
            ClaimEnd::Doubt => (Outcome::NotRun, None, Reason::ClaimDoubt),
        };
        let error = StepError { step: "claim".into(), peer, reason };
        self.finish(now, outcome, Some(error), None, out);
    }

    pub(super) fn pick(&mut self, hedge: bool, out: &mut Vec<Action>) {
        self.state = State::Picking { hedge };
        out.push(Action::Pick { step: self.step, tried: self.tried.clone() });
    }

    fn picked(&mut self, now: Time, target: Name, out: &mut Vec<Action>) {
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
            number: self.number,
        };
        if self.number == 0 {
            self.begun = now;
        }
        self.number += 1;
        self.state = State::Flying;
        let step = &self.plan.steps[self.step];
        let from = self.pieces;
        let answer = Assembly::new(attempt.clone(), from);
        self.flights.push(Flight { target: target.clone(), answer, heard: now });
        let budget = self.plan.until.since(now);
        out.push(Action::Send { attempt, target, from, resume, budget });
        if step.repeatable {
            out.push(Action::Wake(now + step.timeout));
        }
        if let Some(hedge) = self.hedge_at() {
            out.push(Action::Wake(hedge));
        }
    }

    /// When the flying attempt gets a second one beside it.
    pub(super) fn hedge_at(&self) -> Option<Time> {
        let step = &self.plan.steps[self.step];
        let hedge = step.hedge?;
        let may = step.repeatable && !self.hedged && self.pieces == 0 && self.flights.len() == 1;
        may.then(|| self.begun + hedge)
    }

    fn no_target(
        &mut self,
        now: Time,
        wait: Duration,
        permit: &mut dyn Permit,
        out: &mut Vec<Action>,
    ) {
        let State::Picking { hedge } = self.state else {
            return;
        };
        if hedge || !self.flights.is_empty() {
            self.state = State::Flying;
            return;
        }
        let error = self.error(None, Reason::NoTarget);
        if !self.sent {
            return self.finish(now, Outcome::NotRun, Some(error), Some(wait), out);
        }
        self.last = Some(error);
        self.retry(now, permit, out);
    }

    fn frame(&mut self, now: Time, frame: Frame, permit: &mut dyn Permit, out: &mut Vec<Action>) {
        let attempt = frame.attempt().clone();
        let Some(i) = self.flights.iter().position(|f| *f.answer.attempt() == attempt) else {
            self.strays += 1;
            return;
        };
        self.flights[i].heard = now;
        self.sent = true;
        match self.flights[i].answer.take(frame) {
            Taken::Stray => self.strays += 1,
            Taken::Text(texts) => {
                if !texts.is_empty() {
                    self.keep_only(i, out);
                }
                self.push(texts, out);
            }
            Taken::Whole(texts) => {
                self.keep_only(i, out);
                self.push(texts, out);
                self.step_done(now, out);
            }
            Taken::Corrupt(reason) => self.corrupt(now, &attempt, reason, permit, out),
        }
    }

    /// The first attempt with text wins; its hedge is stopped.
    fn keep_only(&mut self, i: usize, out: &mut Vec<Action>) {
        if self.flights.len() < 2 {
            return;
        }
        let winner = self.flights.swap_remove(i);
        for f in self.flights.drain(..) {
            out.push(Action::Cancel { attempt: f.answer.attempt().clone(), target: f.target });
        }
        self.flights.push(winner);
    }

    fn push(&mut self, texts: Vec<String>, out: &mut Vec<Action>) {
        for text in texts {
            self.text.push_str(&text);
            let seq = self.pieces;
            self.pieces += 1;
            if self.plan.streamed && self.is_last() {
                out.push(Action::Emit(Piece { seq, text }));
            }
        }
    }

    fn step_done(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.pop() else {
            return;
        };
        self.spend(now, &flight);
        self.steps.push(StepReport {
            step: self.plan.steps[self.step].name.clone(),
            target: flight.target,
            attempts: self.number,
            millis: now.since(self.begun).as_secs_f64() * 1e3,
            cost: self.spent,
        });
        self.results.push(std::mem::take(&mut self.text));
        if self.is_last() {
            return self.finish(now, Outcome::Complete, None, None, out);
        }
        self.step += 1;
        self.number = 0;
        self.pieces = 0;
        self.spent = 0.0;
        self.hedged = false;
        self.resume = None;
        self.last = None;
        self.tried.clear();
        self.pick(false, out);
    }

    pub(super) fn finish(
        &mut self,
        now: Time,
        outcome: Outcome,
        error: Option<StepError>,
        wait: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let flights: Vec<_> = self.flights.drain(..).collect();
        // A step that may not be repeated is left to run: half of it helps nobody.
        let cancels = self.plan.steps[self.step].repeatable;
        for f in flights.iter().filter(|_| cancels) {
            self.spend(now, f);
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
        out.push(Action::Finish(Final {
            request: self.plan.request.clone(),
            outcome,
            error,
            steps: std::mem::take(&mut self.steps),
            retry_after,
            timely,
        }));
    }

    pub(super) fn spend(&mut self, now: Time, flight: &Flight) {
        let seconds = match flight.answer.busy() {
            Some(us) => us as f64 / 1e6,
            None => now.since(self.begun).as_secs_f64(),
        };
        self.spent += seconds * self.plan.steps[self.step].cost;
    }

    pub(super) fn is_last(&self) -> bool {
        self.step + 1 == self.plan.steps.len()
    }

    pub(super) fn error(&self, peer: Option<Name>, reason: Reason) -> StepError {
        StepError { step: self.plan.steps[self.step].name.clone(), peer, reason }
    }

    /// When the request arrived.
    pub fn started(&self) -> Time {
        self.started
    }
}
