//! Runs one request: passes events to [`decide::request::RequestMachine`] and performs its
//! actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use decide::request::{Action, Event, Plan, RequestMachine, RetryPolicy};
use decide::route::{RouteQuery, prefix};
use model::answer::ChunkEvent;
use model::attempt::{Attempt, Call, Frame};
use model::claim::{ClaimOutcome, ClaimRequest};
use model::key::Key;
use model::object::{Pipeline, Priority};
use model::outcome::RequestReport;
use model::{Name, Time};
use serde_json::{Map, Value, json};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::attempt::{self, AttemptEvent};
use crate::fleet::{Config, Pool};
use crate::node::Core;

/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

/// One admitted request.
#[derive(Debug)]
pub struct RequestJob {
    /// Id of the request.
    pub request: Name,
    pub pipeline: Name,
    pub workspace: Name,
    pub priority: Priority,
    pub input: Value,
    /// Session named by the caller; requests of a session share a home.
    pub session: Option<String>,
    /// Idempotency key.
    pub key: Option<Key>,
    pub arrived: Time,
    /// When the response is due.
    pub deadline: Time,
    /// When the request is aborted: its deadline plus the workspace's grace.
    pub expires: Time,
    /// Whether chunks are sent to the caller as they arrive.
    pub streamed: bool,
}

/// What a request sends to its caller.
#[derive(Debug)]
pub enum ResponseEvent {
    /// A chunk of the last step's text.
    Chunk(ChunkEvent),
    /// The final report, with the whole text if the request completed.
    End(Box<RequestReport>, String),
}

struct ActiveAttempt {
    pool: Arc<Pool>,
    target: Name,
    sent: Time,
    expected_wait: f64,
    responded: bool,
    task: AbortHandle,
}

struct Driver {
    core: Arc<Core>,
    config: Arc<Config>,
    job: RequestJob,
    pipeline: Pipeline,
    machine: RequestMachine,
    in_flight: HashMap<Attempt, ActiveAttempt>,
    picked: Option<(Name, f64)>,
    attempt_tx: mpsc::UnboundedSender<AttemptEvent>,
    out: mpsc::Sender<ResponseEvent>,
    wakeups: Vec<Time>,
    step_started: Time,
    prefix: u64,
}

struct RetryBudgets<'a> {
    core: &'a Core,
    pipeline: &'a Pipeline,
}

impl RetryPolicy for RetryBudgets<'_> {
    fn allow_retry(&mut self, step: usize) -> bool {
        let stage = &self.pipeline.stages[step];
        let granted = self.core.fleet.pool(&stage.pool).is_some_and(|p| p.lock().budget.withdraw());
        self.core.metrics.record_retry(&stage.name, granted);
        granted
    }
}

/// Runs a request until it finishes.
pub async fn run(
    core: Arc<Core>,
    config: Arc<Config>,
    job: RequestJob,
    out: mpsc::Sender<ResponseEvent>,
) {
    let Some(pipeline) = config.set.pipelines.get(&job.pipeline).cloned() else {
        return;
    };
    let plan = Plan {
        request: job.request.clone(),
        steps: core.fleet.step_plans(&job.pipeline, &pipeline, core.settings.hedging),
        deadline: job.deadline,
        expires: job.expires,
        key: job.key,
        streamed: job.streamed,
        seed: model::hash::hash64(job.request.as_bytes()),
    };
    let now = core.clock.now();
    let (attempt_tx, mut attempt_events) = mpsc::unbounded_channel();
    let prefix_text = match &job.session {
        Some(s) => s.clone(),
        None => prompt_prefix(&job.input),
    };
    let mut d = Driver {
        machine: RequestMachine::new(plan, job.arrived),
        in_flight: HashMap::new(),
        picked: None,
        attempt_tx,
        out,
        wakeups: Vec::new(),
        step_started: now,
        prefix: prefix(&prefix_text),
        core,
        config,
        job,
        pipeline,
    };
    d.handle_event(Event::Start).await;
    while !d.machine.is_finished() {
        let wake = d.wakeups.iter().min().copied().unwrap_or(Time::NEVER);
        let clock = d.core.clock;
        tokio::select! {
            biased;
            Some(event) = attempt_events.recv() => d.handle_attempt(event).await,
            () = d.out.closed() => d.handle_event(Event::CallerGone).await,
            () = clock.sleep_until(wake) => {
                let now = d.core.clock.now();
                d.wakeups.retain(|w| *w > now);
                d.handle_event(Event::Tick).await;
            }
        }
    }
    d.core.metrics.record_strays(d.machine.strays());
}

fn prompt_prefix(input: &Value) -> String {
    let text = |f: &str| input[f].as_str().unwrap_or_default();
    let prompt = text("prompt");
    if prompt.is_empty() {
        format!("{}\n{}", text("instruction"), text("text"))
    } else {
        prompt.into()
    }
}

impl Driver {
    async fn handle_attempt(&mut self, event: AttemptEvent) {
        match event {
            AttemptEvent::TargetLeaving(attempt) => {
                if let Some(f) = self.in_flight.get(&attempt) {
                    f.pool.lock().table.mark_draining(&f.target);
                    self.core.report_refusal(f.target.clone());
                }
            }
            AttemptEvent::Event(event) => {
                self.record_event(&event);
                self.handle_event(event).await;
            }
        }
    }

    /// Updates the target tables from an event.
    fn record_event(&mut self, event: &Event) {
        let now = self.core.clock.now();
        match event {
            Event::Frame(frame) => {
                let Some(f) = self.in_flight.get_mut(frame.attempt()) else {
                    return;
                };
                if !f.responded {
                    f.responded = true;
                    let took = now.since(f.sent);
                    f.pool.lock().table.record_first_frame(now, &f.target, f.expected_wait, took);
                }
                if let Frame::End { wait, .. } = frame {
                    f.pool.lock().table.record_wait(now, &f.target, *wait);
                }
            }
            Event::NotSent { attempt, .. } | Event::Closed { attempt, .. } => {
                if let Some(f) = self.in_flight.remove(attempt)
                    && f.pool.lock().table.record_failure(now, &f.target)
                {
                    log::warn!("route: ejected {} after repeated failures.", f.target);
                }
            }
            _ => {}
        }
    }

    async fn handle_event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.core.clock.now();
            let done = self.machine.results().len();
            let mut retry_budgets = RetryBudgets { core: &self.core, pipeline: &self.pipeline };
            let actions = self.machine.handle_event(now, event, &mut retry_budgets);
            if self.machine.results().len() > done {
                self.step_done(now, done);
            }
            for action in actions {
                if let Some(next) = self.perform(now, action).await {
                    events.push(next);
                }
            }
        }
    }

    /// Attempts still in flight when a step completes have either responded or lost the race.
    fn step_done(&mut self, now: Time, step: usize) {
        self.core.fleet.record_step(&self.job.pipeline, step, now.since(self.step_started));
        for (_, f) in self.in_flight.drain() {
            let mut pool = f.pool.lock();
            pool.table.record_success(now, &f.target);
            pool.budget.deposit();
        }
        self.step_started = now;
    }

    async fn perform(&mut self, now: Time, action: Action) -> Option<Event> {
        match action {
            Action::Claim(key) => Some(Event::Claim(self.claim(key).await)),
            Action::PickTarget { step, exclude } => Some(self.pick(now, step, &exclude)),
            Action::Send { attempt, target, from, resume, .. } => {
                self.send(now, attempt, target, from, resume);
                None
            }
            Action::Cancel { attempt, target } => {
                self.cancel(attempt, &target);
                None
            }
            Action::Emit(chunk) => {
                // A slow caller delays only its own request.
                let _ = self.out.send(ResponseEvent::Chunk(chunk)).await;
                None
            }
            Action::WakeAt(at) => {
                self.wakeups.push(at);
                None
            }
            Action::Finish(report) => {
                self.finish(report).await;
                None
            }
        }
    }

    async fn claim(&mut self, key: Key) -> ClaimOutcome {
        let now = self.core.clock.now();
        let expires = self.job.expires.min(now + CLAIM_TIMEOUT);
        let claim = ClaimRequest { key, request: self.job.request.clone() };
        self.core.claims.claim(&self.core, claim, expires).await
    }

    fn pick(&mut self, now: Time, step: usize, tried: &[Name]) -> Event {
        let stage = &self.pipeline.stages[step];
        let none = Event::NoTarget(decide::retry::DEFAULT_RETRY_AFTER);
        let Some(pool) = self.core.fleet.pool(&stage.pool) else {
            return none;
        };
        let model = stage.model.as_ref().and_then(|m| self.config.set.wanted_version(m));
        let left = self.core.fleet.step_budget(&self.job.pipeline, step, now, self.job.deadline);
        let budget = left.as_secs_f64() * 1e3;
        let model = model.as_deref();
        let query = RouteQuery { now, prefix: self.prefix, model, budget, tried };
        let any_target = RouteQuery { tried: &[], ..query };
        let fleet = &self.core.fleet;
        // Fall back to targets that already failed this step.
        match fleet.pick(&pool, &query).or_else(|| fleet.pick(&pool, &any_target)) {
            Some((target, wait)) => {
                self.picked = Some((target.clone(), wait));
                Event::TargetPicked(target)
            }
            None => none,
        }
    }

    fn send(
        &mut self,
        now: Time,
        attempt: Attempt,
        target: Name,
        from: u64,
        resume: Option<Attempt>,
    ) {
        let step = usize::from(attempt.step);
        let stage = &self.pipeline.stages[step];
        let Some(pool) = self.core.fleet.pool(&stage.pool) else {
            return self.report_unsendable(attempt);
        };
        let Some(address) = pool.addresses.get(&target).cloned() else {
            return self.report_unsendable(attempt);
        };
        let expected_wait = match self.picked.take() {
            Some((picked, wait)) if picked == target => wait,
            // The router did not pick the target of a resume, so it is counted as sent here.
            _ => pool.lock().table.record_sent(now, &target),
        };
        let version = stage.model.as_ref().and_then(|m| self.config.set.models.get(m));
        let budget = self.core.fleet.step_budget(&self.job.pipeline, step, now, self.job.deadline);
        let call = Call {
            attempt: attempt.clone(),
            step: stage.name.clone(),
            workspace: self.job.workspace.clone(),
            model: stage.model.clone(),
            version: version.map(|m| m.version.clone()),
            priority: self.job.priority as u8,
            budget: budget.as_millis() as u64,
            input: self.step_input(step),
            prior: self.machine.partial_text().to_string(),
            from,
            resume,
        };
        let client = self.core.client.clone();
        let peer = address.to_string();
        let task = tokio::spawn(attempt::run(client, peer, call, self.attempt_tx.clone()));
        let task = task.abort_handle();
        let active =
            ActiveAttempt { pool, target, sent: now, expected_wait, responded: false, task };
        self.in_flight.insert(attempt, active);
    }

    /// Reports that the configuration changed between picking a target and sending.
    fn report_unsendable(&self, attempt: Attempt) {
        let reason = model::outcome::Reason::NoTarget;
        let _ = self.attempt_tx.send(AttemptEvent::Event(Event::NotSent { attempt, reason }));
    }

    fn step_input(&self, step: usize) -> Value {
        let results: Map<String, Value> = self
            .pipeline
            .stages
            .iter()
            .zip(self.machine.results())
            .take(step)
            .map(|(s, r)| (s.name.to_string(), Value::from(r.as_str())))
            .collect();
        json!({ "request": self.job.input, "results": results })
    }

    fn cancel(&mut self, attempt: Attempt, target: &Name) {
        let Some(f) = self.in_flight.remove(&attempt) else {
            return;
        };
        f.task.abort();
        f.pool.lock().table.record_cancel(target);
        if let Some(address) = f.pool.addresses.get(target) {
            attempt::cancel(self.core.client.clone(), address.to_string(), attempt);
        }
    }

    async fn finish(&mut self, report: RequestReport) {
        for (_, f) in self.in_flight.drain() {
            f.pool.lock().table.record_cancel(&f.target);
        }
        self.core.metrics.record_request(&self.job.pipeline, &self.job.workspace, &report);
        if let Some(e) = &report.error {
            log::info!("request: {} {}: {e}", self.job.request, report.outcome.as_str());
        } else {
            log::debug!("request: {} {}.", self.job.request, report.outcome.as_str());
        }
        let text = match report.outcome {
            model::outcome::Outcome::Complete => self.machine.results().last().cloned(),
            _ => None,
        };
        let _ = self.out.send(ResponseEvent::End(Box::new(report), text.unwrap_or_default())).await;
    }
}
