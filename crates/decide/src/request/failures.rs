//! What the request machine does when an attempt fails: resume, continue, retry
//! after a wait, hedge, or give up. The one place where a retry is decided.

use model::Time;
use model::attempt::Attempt;
use model::outcome::{Outcome, Reason};

use super::run::{ATTEMPTS_MAX, FLIGHTS_MAX, Flight, Run, State};
use super::types::{Action, Permit};
use crate::retry::backoff;

impl Run {
    /// An attempt ended without its whole answer.
    pub(super) fn broken(
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

    pub(super) fn retry(&mut self, now: Time, permit: &mut dyn Permit, out: &mut Vec<Action>) {
        if self.number >= ATTEMPTS_MAX || !permit.retry(self.step) {
            let error = self.last.clone();
            let outcome = if self.sent { Outcome::Failed } else { Outcome::NotRun };
            return self.finish(now, outcome, error, None, out);
        }
        let until = now + backoff(self.number, &mut self.rng);
        self.state = State::Waiting { until };
        out.push(Action::Wake(until));
    }

    /// What arrived cannot be trusted: start again if nothing was given out, else end.
    pub(super) fn corrupt(
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

    pub(super) fn tick(&mut self, now: Time, permit: &mut dyn Permit, out: &mut Vec<Action>) {
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

    pub(super) fn give_up(&mut self, now: Time, reason: Reason, out: &mut Vec<Action>) {
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
}
