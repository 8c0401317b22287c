//! Drives one request: feeds [`decide::request::RequestMachine`] with what happens and
//! carries out what it wants.

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

use crate::attempt::{self, Told};
use crate::fleet::{Config, Pool};
use crate::node::Core;

/// Longest wait for the answer to a claim.
const CLAIM_WAIT: Duration = Duration::from_millis(1500);

/// One admitted request.
#[derive(Debug)]
pub struct Job {
    /// Request id.
    pub request: Name,
    /// Pipeline's name.
    pub pipeline: Name,
    /// Workspace's name.
    pub workspace: Name,
    /// Priority.
    pub priority: Priority,
    /// Input.
    pub input: Value,
    /// Session, if the caller names one: its steps share a home.
    pub session: Option<String>,
    /// Key.
    pub key: Option<Key>,
    /// When it arrived.
    pub arrived: Time,
    /// When the answer is due.
    pub deadline: Time,
    /// When nobody waits any longer.
    pub until: Time,
    /// Whether pieces go out as they come.
    pub streamed: bool,
}

/// What the caller's side hears.
#[derive(Debug)]
pub enum Out {
    /// A piece of the last step's text.
    Piece(ChunkEvent),
    /// The end, with the whole text where it is complete.
    End(Box<RequestReport>, String),
}

struct Flight {
    pool: Arc<Pool>,
    target: Name,
    sent: Time,
    expected: f64,
    first: bool,
    task: AbortHandle,
}

struct Driver {
    core: Arc<Core>,
    config: Arc<Config>,
    job: Job,
    pipeline: Pipeline,
    run: RequestMachine,
    flights: HashMap<Attempt, Flight>,
    picked: Option<(Name, f64)>,
    told: mpsc::UnboundedSender<Told>,
    out: mpsc::Sender<Out>,
    wakes: Vec<Time>,
    step_begun: Time,
    prefix: u64,
}

struct Budgets<'a> {
    core: &'a Core,
    pipeline: &'a Pipeline,
}

impl RetryPolicy for Budgets<'_> {
    fn allow_retry(&mut self, step: usize) -> bool {
        let stage = &self.pipeline.stages[step];
        let taken = self.core.fleet.pool(&stage.pool).is_some_and(|p| p.lock().budget.withdraw());
        self.core.metrics.retry(&stage.name, taken);
        taken
    }
}

/// Runs a request to its end.
pub async fn run(core: Arc<Core>, config: Arc<Config>, job: Job, out: mpsc::Sender<Out>) {
    let Some(pipeline) = config.set.pipelines.get(&job.pipeline).cloned() else {
        return;
    };
    let plan = Plan {
        request: job.request.clone(),
        steps: core.fleet.step_plans(&job.pipeline, &pipeline, core.settings.hedging),
        deadline: job.deadline,
        expires: job.until,
        key: job.key,
        streamed: job.streamed,
        seed: model::hash::hash64(job.request.as_bytes()),
    };
    let now = core.clock.now();
    let (told, mut hear) = mpsc::unbounded_channel();
    let head = match &job.session {
        Some(s) => s.clone(),
        None => prompt_head(&job.input),
    };
    let mut d = Driver {
        run: RequestMachine::new(plan, job.arrived),
        flights: HashMap::new(),
        picked: None,
        told,
        out,
        wakes: Vec::new(),
        step_begun: now,
        prefix: prefix(&head),
        core,
        config,
        job,
        pipeline,
    };
    d.feed(Event::Start).await;
    while !d.run.is_finished() {
        let wake = d.wakes.iter().min().copied().unwrap_or(Time::NEVER);
        let clock = d.core.clock;
        tokio::select! {
            biased;
            Some(told) = hear.recv() => d.hear(told).await,
            () = d.out.closed() => d.feed(Event::CallerGone).await,
            () = clock.sleep_until(wake) => {
                let now = d.core.clock.now();
                d.wakes.retain(|w| *w > now);
                d.feed(Event::Tick).await;
            }
        }
    }
    d.core.metrics.strays(d.run.strays());
}

fn prompt_head(input: &Value) -> String {
    let text = |f: &str| input[f].as_str().unwrap_or_default();
    let own = text("prompt");
    if own.is_empty() { format!("{}\n{}", text("instruction"), text("text")) } else { own.into() }
}

impl Driver {
    async fn hear(&mut self, told: Told) {
        match told {
            Told::Leaving(attempt) => {
                if let Some(f) = self.flights.get(&attempt) {
                    f.pool.lock().table.mark_draining(&f.target);
                    self.core.report_refusal(f.target.clone());
                }
            }
            Told::Event(event) => {
                self.note(&event);
                self.feed(event).await;
            }
        }
    }

    /// Keeps the target tables up with what came back.
    fn note(&mut self, event: &Event) {
        let now = self.core.clock.now();
        match event {
            Event::Frame(frame) => {
                let Some(f) = self.flights.get_mut(frame.attempt()) else {
                    return;
                };
                if !f.first {
                    f.first = true;
                    let took = now.since(f.sent);
                    f.pool.lock().table.record_first_frame(now, &f.target, f.expected, took);
                }
                if let Frame::End { wait, .. } = frame {
                    f.pool.lock().table.record_wait(now, &f.target, *wait);
                }
            }
            Event::NotSent { attempt, .. } | Event::Closed { attempt, .. } => {
                if let Some(f) = self.flights.remove(attempt)
                    && f.pool.lock().table.record_failure(now, &f.target)
                {
                    log::warn!("route: {} failed again and again, ejected.", f.target);
                }
            }
            _ => {}
        }
    }

    async fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.core.clock.now();
            let done = self.run.results().len();
            let mut permit = Budgets { core: &self.core, pipeline: &self.pipeline };
            let actions = self.run.handle_event(now, event, &mut permit);
            if self.run.results().len() > done {
                self.step_done(now, done);
            }
            for action in actions {
                if let Some(next) = self.act(now, action).await {
                    events.push(next);
                }
            }
        }
    }

    /// Every attempt still in the air at a step's end has answered or lost.
    fn step_done(&mut self, now: Time, step: usize) {
        self.core.fleet.step_took(&self.job.pipeline, step, now.since(self.step_begun));
        for (_, f) in self.flights.drain() {
            let mut pool = f.pool.lock();
            pool.table.record_success(now, &f.target);
            pool.budget.deposit();
        }
        self.step_begun = now;
    }

    async fn act(&mut self, now: Time, action: Action) -> Option<Event> {
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
            Action::Emit(piece) => {
                // A caller that reads slowly holds its own request back, nobody else's.
                let _ = self.out.send(Out::Piece(piece)).await;
                None
            }
            Action::WakeAt(at) => {
                self.wakes.push(at);
                None
            }
            Action::Finish(end) => {
                self.finish(end).await;
                None
            }
        }
    }

    async fn claim(&mut self, key: Key) -> ClaimOutcome {
        let now = self.core.clock.now();
        let until = self.job.until.min(now + CLAIM_WAIT);
        let ask = ClaimRequest { key, request: self.job.request.clone() };
        self.core.claims.claim(&self.core, ask, until).await
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
        let ask = RouteQuery { now, prefix: self.prefix, model, budget, tried };
        let again = RouteQuery { tried: &[], ..ask };
        let fleet = &self.core.fleet;
        // A target that failed this step before is better than none.
        match fleet.pick(&pool, &ask).or_else(|| fleet.pick(&pool, &again)) {
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
            return self.unsendable(attempt);
        };
        let Some(address) = pool.addresses.get(&target).cloned() else {
            return self.unsendable(attempt);
        };
        let expected = match self.picked.take() {
            Some((picked, wait)) if picked == target => wait,
            // A resume goes to a target that the router did not count.
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
            prior: self.run.partial_text().to_string(),
            from,
            resume,
        };
        let client = self.core.client.clone();
        let peer = address.to_string();
        let task = tokio::spawn(attempt::run(client, peer, call, self.told.clone()));
        let task = task.abort_handle();
        let flight = Flight { pool, target, sent: now, expected, first: false, task };
        self.flights.insert(attempt, flight);
    }

    /// The configuration moved on between the choice and the send.
    fn unsendable(&self, attempt: Attempt) {
        let reason = model::outcome::Reason::NoTarget;
        let _ = self.told.send(Told::Event(Event::NotSent { attempt, reason }));
    }

    fn step_input(&self, step: usize) -> Value {
        let results: Map<String, Value> = self
            .pipeline
            .stages
            .iter()
            .zip(self.run.results())
            .take(step)
            .map(|(s, r)| (s.name.to_string(), Value::from(r.as_str())))
            .collect();
        json!({ "request": self.job.input, "results": results })
    }

    fn cancel(&mut self, attempt: Attempt, target: &Name) {
        let Some(f) = self.flights.remove(&attempt) else {
            return;
        };
        f.task.abort();
        f.pool.lock().table.record_cancel(target);
        if let Some(address) = f.pool.addresses.get(target) {
            attempt::cancel(self.core.client.clone(), address.to_string(), attempt);
        }
    }

    async fn finish(&mut self, end: RequestReport) {
        for (_, f) in self.flights.drain() {
            f.pool.lock().table.record_cancel(&f.target);
        }
        self.core.metrics.ended(&self.job.pipeline, &self.job.workspace, &end);
        if let Some(e) = &end.error {
            log::info!("request: {} {}: {e}", self.job.request, end.outcome.as_str());
        } else {
            log::debug!("request: {} {}.", self.job.request, end.outcome.as_str());
        }
        let text = match end.outcome {
            model::outcome::Outcome::Complete => self.run.results().last().cloned(),
            _ => None,
        };
        let _ = self.out.send(Out::End(Box::new(end), text.unwrap_or_default())).await;
    }
}
