//! Failure handling of the request machine: resume, continue, retry with backoff, hedge or abort.
//! All retry decisions are made here.

use model::Time;
use model::attempt::Attempt;
use model::outcome::{Outcome, Reason};

use super::run::{InFlight, MAX_ATTEMPTS, MAX_CONCURRENT, RequestMachine, State};
use super::types::{Action, RetryPolicy};
use crate::retry::backoff;

impl RequestMachine {
    /// Handles an attempt that ended without a complete answer; `sent` if it may have run.
    pub(super) fn attempt_failed(
        &mut self,
        now: Time,
        attempt: &Attempt,
        reason: Reason,
        sent: bool,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        let Some(i) = self.in_flight.iter().position(|f| f.answer.attempt() == attempt) else {
            return;
        };
        let flight = self.in_flight.remove(i);
        if sent {
            self.sent = true;
            self.add_cost(now, &flight);
        }
        let error = self.error(Some(flight.target.clone()), reason);
        self.last_error = Some(error.clone());
        let step = &self.plan.steps[self.step];
        let (repeatable, continues) = (step.repeatable, step.continuable);
        let was_resuming = self.resume.take_if(|(_, a)| a == attempt).is_some();
        // Resuming reads the rest of the same stream without running the step again, so it is safe
        // for any step.
        if sent && continues && !was_resuming && self.pieces > 0 && self.attempts < MAX_ATTEMPTS {
            let target = flight.target.clone();
            let next = Attempt { number: self.attempts, ..attempt.clone() };
            self.resume = Some((target.clone(), next));
            self.tried.push(target.clone());
            return self.send(now, target, Some(attempt.clone()), out);
        }
        self.tried.push(flight.target);
        if !self.in_flight.is_empty() {
            return;
        }
        if !repeatable && (sent || was_resuming) {
            return self.finish(now, Outcome::Unknown, Some(error), None, out);
        }
        let already_emitted = self.pieces > 0 && !continues && self.plan.streamed && self.is_last();
        if already_emitted {
            return self.finish(now, Outcome::Failed, Some(error), None, out);
        }
        if !continues {
            self.text.clear();
            self.pieces = 0;
        }
        self.schedule_retry(now, retry_policy, out);
    }

    pub(super) fn schedule_retry(
        &mut self,
        now: Time,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        if self.attempts >= MAX_ATTEMPTS || !retry_policy.allow_retry(self.step) {
            let error = self.last_error.clone();
            let outcome = if self.sent { Outcome::Failed } else { Outcome::NotRun };
            return self.finish(now, outcome, error, None, out);
        }
        let until = now + backoff(self.attempts, &mut self.rng);
        self.state = State::BackingOff { until };
        out.push(Action::WakeAt(until));
    }

    /// Handles a corrupt answer: restarts the step if the caller has received none of it, else ends
    /// the request.
    pub(super) fn attempt_corrupt(
        &mut self,
        now: Time,
        attempt: &Attempt,
        reason: Reason,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        let already_emitted = self.plan.streamed && self.is_last() && self.pieces > 0;
        if let Some(f) = self.in_flight.iter().find(|f| f.answer.attempt() == attempt) {
            out.push(Action::Cancel { attempt: attempt.clone(), target: f.target.clone() });
        }
        if already_emitted {
            let peer = self.in_flight.first().map(|f| f.target.clone());
            let error = self.error(peer, reason);
            let outcome = self.outcome_in_flight(Outcome::Failed);
            return self.finish(now, outcome, Some(error), None, out);
        }
        self.text.clear();
        self.pieces = 0;
        self.attempt_failed(now, attempt, reason, true, retry_policy, out);
    }

    pub(super) fn handle_tick(
        &mut self,
        now: Time,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        if now >= self.plan.expires {
            return self.abort(now, Reason::Deadline, out);
        }
        if let State::BackingOff { until } = self.state {
            if now >= until {
                self.request_target(false, out);
            }
            return;
        }
        if self.state != State::Running {
            return;
        }
        self.check_timeouts(now, retry_policy, out);
        if self.state == State::Running
            && self.in_flight.len() < MAX_CONCURRENT
            && self.hedge_at().is_some_and(|at| now >= at)
        {
            self.hedged = true;
            if retry_policy.allow_retry(self.step) {
                self.tried = self.in_flight.iter().map(|f| f.target.clone()).collect();
                self.request_target(true, out);
            }
        }
    }

    fn check_timeouts(
        &mut self,
        now: Time,
        retry_policy: &mut dyn RetryPolicy,
        out: &mut Vec<Action>,
    ) {
        let step = &self.plan.steps[self.step];
        if !step.repeatable {
            return;
        }
        let timeout = step.timeout;
        let silent = |f: &&InFlight| now >= f.last_frame + timeout;
        let Some(f) = self.in_flight.iter().find(silent) else {
            if let Some(at) = self.in_flight.iter().map(|f| f.last_frame + timeout).min() {
                out.push(Action::WakeAt(at));
            }
            return;
        };
        let attempt = f.answer.attempt().clone();
        out.push(Action::Cancel { attempt: attempt.clone(), target: f.target.clone() });
        let reason = Reason::Broken("silent".into());
        // Marks the attempt as already resumed, so that a silent target is not asked to resume.
        self.resume = Some((f.target.clone(), attempt.clone()));
        self.attempt_failed(now, &attempt, reason, true, retry_policy, out);
    }

    pub(super) fn abort(&mut self, now: Time, reason: Reason, out: &mut Vec<Action>) {
        let peer = self.in_flight.first().map(|f| f.target.clone());
        let error = self.error(peer, reason);
        let outcome = match (self.in_flight.is_empty(), self.sent) {
            // A claim may still be in flight, but no step was sent.
            (true, false) => Outcome::NotRun,
            (true, true) => Outcome::Failed,
            (false, _) => self.outcome_in_flight(Outcome::Failed),
        };
        self.finish(now, outcome, Some(error), None, out);
    }

    /// Outcome when an attempt is in flight: unknown if the step is not repeatable.
    fn outcome_in_flight(&self, otherwise: Outcome) -> Outcome {
        if self.plan.steps[self.step].repeatable { otherwise } else { Outcome::Unknown }
    }
}
