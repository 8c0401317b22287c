//! The machine of one request.

use std::time::Duration;

use model::answer::Piece;
use model::attempt::{Attempt, Frame};
use model::claim::ClaimEnd;
use model::key::Key;
use model::outcome::{Final, Outcome, Reason, StepError, StepReport};
use model::{Name, Time};

use super::assembly::{Assembly, Taken};
use crate::retry::backoff;
use crate::rng::Rng;

/// Most attempts at one step, resumed streams included.
const ATTEMPTS_MAX: u16 = 4;
/// Attempts at one step that run at the same time: one and its hedge.
const FLIGHTS_MAX: usize = 2;

/// One step as the machine needs it.
#[derive(Debug, Clone)]
pub struct StepPlan {
    /// Name of the step.
    pub name: Name,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether another target can go on from text already delivered.
    pub continues: bool,
    /// Longest silence of an attempt before it is given up.
    pub timeout: Duration,
    /// When to send a second attempt beside the first, if ever.
    pub hedge: Option<Duration>,
    /// Cost of a second of a target.
    pub cost: f64,
}

/// One request as the machine needs it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Request id.
    pub request: Name,
    /// Steps in order; at least one.
    pub steps: Vec<StepPlan>,
    /// When the answer is due.
    pub deadline: Time,
    /// When nobody waits any longer; not before the deadline.
    pub until: Time,
    /// The caller's key, needed if a step is not repeatable.
    pub key: Option<Key>,
    /// Whether pieces go to the caller as they come.
    pub streamed: bool,
    /// Seed for jitter.
    pub seed: u64,
}

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The request was admitted.
    Start,
    /// The claim ended.
    Claim(ClaimEnd),
    /// The router chose a target.
    Picked(Name),
    /// The router has none; asking again makes sense after this time.
    NoTarget(Duration),
    /// This attempt certainly did not reach its target, or was refused unrun.
    NotSent {
        /// Attempt.
        attempt: Attempt,
        /// Why.
        reason: Reason,
    },
    /// A frame arrived.
    Frame(Frame),
    /// The stream of this attempt ended or broke.
    Closed {
        /// Attempt.
        attempt: Attempt,
        /// Why.
        reason: Reason,
    },
    /// Time passed.
    Tick,
    /// The caller went away.
    Gone,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Claim the key.
    Claim(Key),
    /// Choose a target for a step, none of `tried` if it can be helped.
    Pick {
        /// Step.
        step: usize,
        /// Targets that failed this step.
        tried: Vec<Name>,
    },
    /// Send an attempt.
    Send {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: Name,
        /// First frame wanted.
        from: u64,
        /// Attempt at the same target to resume.
        resume: Option<Attempt>,
        /// Time left.
        budget: Duration,
    },
    /// Stop an attempt that nobody waits for.
    Cancel {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: Name,
    },
    /// Give the caller a piece.
    Emit(Piece),
    /// Send [`Event::Tick`] at this time.
    Wake(Time),
    /// The request has ended.
    Finish(Final),
}

/// Says whether a step's budget has a retry left, and takes it.
pub trait Permit {
    /// Takes one retry of `step`.
    fn retry(&mut self, step: usize) -> bool;
}

#[derive(Debug)]
struct Flight {
    target: Name,
    answer: Assembly,
    heard: Time,
}

#[derive(Debug, PartialEq)]
enum State {
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
    plan: Plan,
    state: State,
    step: usize,
    number: u16,
    flights: Vec<Flight>,
    tried: Vec<Name>,
    hedged: bool,
    resume: Option<(Name, Attempt)>,
    started: Time,
    begun: Time,
    text: String,
    pieces: u64,
    results: Vec<String>,
    steps: Vec<StepReport>,
    spent: f64,
    sent: bool,
    last: Option<StepError>,
    strays: u64,
    rng: Rng,
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

    fn pick(&mut self, hedge: bool, out: &mut Vec<Action>) {
        self.state = State::Picking { hedge };
        out.push(Action::Pick { step: self.step, tried: self.tried.clone() });
    }

    fn picked(&mut self, now: Time, target: Name, out: &mut Vec<Action>) {
        if !matches!(self.state, State::Picking { .. }) {
            return;
        }
        self.send(now, target, None, out);
    }

    fn send(&mut self, now: Time, target: Name, resume: Option<Attempt>, out: &mut Vec<Action>) {
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
    fn hedge_at(&self) -> Option<Time> {
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

    /// An attempt ended without its whole answer.
    fn broken(
        &mut self,
        now: Time,
        attempt: &Attempt,
        reason: Reason,
        sent: bool,
        permit: &mut dyn Permit,
        out: &mut Vec<Action>,
    ) {
        let Some(i) = self.flights.iter().position(|f| f.answer.attempt() == attempt) else {
            return;
        };
        let flight = self.flights.remove(i);
        if sent {
            self.sent = true;
            self.spend(now, &flight);
        }
        let error = self.error(Some(flight.target.clone()), reason);
        self.last = Some(error.clone());
        let step = &self.plan.steps[self.step];
        let (repeatable, continues) = (step.repeatable, step.continues);
        let started = self.resume.take_if(|(_, a)| a == attempt).is_some();
        // Reading the rest of a stream is no second run, so it is safe for any step.
        if sent && continues && !started && self.pieces > 0 && self.number < ATTEMPTS_MAX {
            let target = flight.target.clone();
            let next = Attempt { number: self.number, ..attempt.clone() };
            self.resume = Some((target.clone(), next));
            self.tried.push(target.clone());
            return self.send(now, target, Some(attempt.clone()), out);
        }
        self.tried.push(flight.target);
        if !self.flights.is_empty() {
            return;
        }
        if !repeatable && (sent || started) {
            return self.finish(now, Outcome::Unknown, Some(error), None, out);
        }
        let stuck = self.pieces > 0 && !continues && self.plan.streamed && self.is_last();
        if stuck {
            return self.finish(now, Outcome::Failed, Some(error), None, out);
        }
        if !continues {
            self.text.clear();
            self.pieces = 0;
        }
        self.retry(now, permit, out);
    }

    fn retry(&mut self, now: Time, permit: &mut dyn Permit, out: &mut Vec<Action>) {
        if self.number >= ATTEMPTS_MAX || !permit.retry(self.step) {
            let error = self.last.clone();
            let outcome = if self.sent { Outcome::Failed } else { Outcome::NotRun };
            return self.finish(now, outcome, error, None, out);
        }
        let until = now + backoff(self.number, &mut self.rng);
        self.state = State::Waiting { until };
        out.push(Action::Wake(until));
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

    /// What arrived cannot be trusted: start again if nothing was given out, else end.
    fn corrupt(
        &mut self,
        now: Time,
        attempt: &Attempt,
        reason: Reason,
        permit: &mut dyn Permit,
        out: &mut Vec<Action>,
    ) {
        let given = self.plan.streamed && self.is_last() && self.pieces > 0;
        if let Some(f) = self.flights.iter().find(|f| f.answer.attempt() == attempt) {
            out.push(Action::Cancel { attempt: attempt.clone(), target: f.target.clone() });
        }
        if given {
            let peer = self.flights.first().map(|f| f.target.clone());
            let error = self.error(peer, reason);
            let outcome = self.doubt(Outcome::Failed);
            return self.finish(now, outcome, Some(error), None, out);
        }
        self.text.clear();
        self.pieces = 0;
        self.broken(now, attempt, reason, true, permit, out);
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

    fn tick(&mut self, now: Time, permit: &mut dyn Permit, out: &mut Vec<Action>) {
        if now >= self.plan.until {
            return self.give_up(now, Reason::Deadline, out);
        }
        if let State::Waiting { until } = self.state {
            if now >= until {
                self.pick(false, out);
            }
            return;
        }
        if self.state != State::Flying {
            return;
        }
        self.time_out(now, permit, out);
        if self.state == State::Flying
            && self.flights.len() < FLIGHTS_MAX
            && self.hedge_at().is_some_and(|at| now >= at)
        {
            self.hedged = true;
            if permit.retry(self.step) {
                self.tried = self.flights.iter().map(|f| f.target.clone()).collect();
                self.pick(true, out);
            }
        }
    }

    fn time_out(&mut self, now: Time, permit: &mut dyn Permit, out: &mut Vec<Action>) {
        let step = &self.plan.steps[self.step];
        if !step.repeatable {
            return;
        }
        let timeout = step.timeout;
        let silent = |f: &&Flight| now >= f.heard + timeout;
        let Some(f) = self.flights.iter().find(silent) else {
            if let Some(at) = self.flights.iter().map(|f| f.heard + timeout).min() {
                out.push(Action::Wake(at));
            }
            return;
        };
        let attempt = f.answer.attempt().clone();
        out.push(Action::Cancel { attempt: attempt.clone(), target: f.target.clone() });
        let reason = Reason::Broken("silent".into());
        // A silent target is not asked to resume.
        self.resume = Some((f.target.clone(), attempt.clone()));
        self.broken(now, &attempt, reason, true, permit, out);
    }

    fn give_up(&mut self, now: Time, reason: Reason, out: &mut Vec<Action>) {
        let peer = self.flights.first().map(|f| f.target.clone());
        let error = self.error(peer, reason);
        let outcome = match (self.flights.is_empty(), self.sent) {
            // A claim may still be on its way, but no step was sent.
            (true, false) => Outcome::NotRun,
            (true, true) => Outcome::Failed,
            (false, _) => self.doubt(Outcome::Failed),
        };
        self.finish(now, outcome, Some(error), None, out);
    }

    /// The outcome with an attempt in flight: unknown if it may not be repeated.
    fn doubt(&self, otherwise: Outcome) -> Outcome {
        if self.plan.steps[self.step].repeatable { otherwise } else { Outcome::Unknown }
    }

    fn finish(
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
            _ => Some(wait.unwrap_or(crate::retry::COME_BACK).as_millis() as u64),
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

    fn spend(&mut self, now: Time, flight: &Flight) {
        let seconds = match flight.answer.busy() {
            Some(us) => us as f64 / 1e6,
            None => now.since(self.begun).as_secs_f64(),
        };
        self.spent += seconds * self.plan.steps[self.step].cost;
    }

    fn is_last(&self) -> bool {
        self.step + 1 == self.plan.steps.len()
    }

    fn error(&self, peer: Option<Name>, reason: Reason) -> StepError {
        StepError { step: self.plan.steps[self.step].name.clone(), peer, reason }
    }

    /// When the request arrived.
    pub fn started(&self) -> Time {
        self.started
    }
}
