//! One target over HTTP: runs and cancels calls, reports its load and applies orders.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use kameo::actor::{ActorRef, Spawn};
use model::Name;
use model::attempt::{Call, Cancel, Frame};
use model::hash::Digest;
use model::load::TargetReport;
use model::object::Role;
use model::order::{Order, Reply, Task};
use serde::Deserialize;
use tokio::sync::{Semaphore, mpsc};
use util::http::{Body, Handler, json, read_json, stream, text};

use crate::engine::{CancelCall, Engine, EngineSpec, GetState, Submit};
use crate::faults::TargetFaults;
use crate::journal::{Journal, RunRecord};

/// Largest request body.
const MAX_CALL_BYTES: usize = 8 << 20;
/// Frames buffered for one reader.
const FRAME_BUFFER: usize = 4096;

/// Settings of one target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Target name.
    pub name: Name,
    /// Listen address; port 0 selects a free port.
    pub address: String,
    /// Kind of work.
    pub role: Role,
    /// Concurrent calls; not for engines.
    #[serde(default = "width")]
    pub width: usize,
    /// Duration of one call in milliseconds; not for engines.
    #[serde(default = "service")]
    pub service: f64,
    /// Rates and capacities of an engine.
    #[serde(default)]
    pub engine: EngineSpec,
    /// Model versions loaded at the start.
    #[serde(default)]
    pub models: Vec<Name>,
    /// Whether orders with an epoch below the highest one seen are refused.
    #[serde(default)]
    pub fenced: bool,
    /// Faults that are active at the start.
    #[serde(default)]
    pub faults: TargetFaults,
}

fn width() -> usize {
    8
}

fn service() -> f64 {
    4.0
}

#[derive(Debug)]
struct TargetState {
    models: Vec<Name>,
    epoch: u64,
    leaving: bool,
    orders: Vec<Order>,
}

/// A running target with its HTTP handler.
#[derive(Debug)]
pub struct TargetServer {
    spec: TargetSpec,
    engine: Option<ActorRef<Engine>>,
    slots: Arc<Semaphore>,
    waiting: std::sync::atomic::AtomicU32,
    received: std::sync::atomic::AtomicUsize,
    faults: Mutex<TargetFaults>,
    journal: Mutex<Journal>,
    state: Mutex<TargetState>,
}

impl TargetServer {
    /// Creates a target that is ready to serve.
    pub fn new(spec: TargetSpec) -> Arc<Self> {
        let engine = (spec.role == Role::Engine).then(|| Engine::spawn(spec.engine));
        let state = TargetState {
            models: spec.models.clone(),
            epoch: 0,
            leaving: false,
            orders: Vec::new(),
        };
        Arc::new(TargetServer {
            engine,
            slots: Arc::new(Semaphore::new(spec.width)),
            waiting: 0.into(),
            received: 0.into(),
            faults: Mutex::new(spec.faults.clone()),
            journal: Mutex::new(Journal::default()),
            state: Mutex::new(state),
            spec,
        })
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        *self.faults.lock().expect("no panic while held") = faults;
    }

    /// Marks the target as draining, as its host would.
    pub fn set_leaving(&self) {
        self.state.lock().expect("no panic while held").leaving = true;
    }

    /// Journal of the runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.journal.lock().expect("no panic while held").runs().to_vec()
    }

    /// Number of calls received so far, refused and failed ones included.
    pub fn call_count(&self) -> usize {
        self.received.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Orders applied so far.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().expect("no panic while held").orders.clone()
    }

    /// Prompt tokens submitted and found in the cache; 0 unless the target is an engine.
    pub async fn cache_tokens(&self) -> (u64, u64) {
        match &self.engine {
            Some(e) => e.ask(GetState).await.map_or((0, 0), |s| (s.prompt_tokens, s.cached_tokens)),
            None => (0, 0),
        }
    }

    /// Number of running and queued calls.
    pub async fn open_calls(&self) -> u32 {
        let report = self.report().await;
        report.running + report.queued
    }

    fn faults(&self) -> TargetFaults {
        self.faults.lock().expect("no panic while held").clone()
    }

    /// Current load report.
    pub async fn report(&self) -> TargetReport {
        let (running, queued, wait) = match &self.engine {
            Some(e) => {
                e.ask(GetState).await.map_or((0, 0, 0), |s| (s.running, s.queued, s.wait_ms))
            }
            None => {
                let running = (self.spec.width - self.slots.available_permits()) as u32;
                let queued = self.waiting.load(std::sync::atomic::Ordering::Relaxed);
                let turns = f64::from(queued) / self.spec.width as f64;
                let wait = (turns * self.spec.service * self.faults().slowdown_factor()) as u32;
                (running, queued, wait)
            }
        };
        let state = self.state.lock().expect("no panic while held");
        TargetReport {
            target: self.spec.name.clone(),
            running,
            queued,
            wait,
            leaving: state.leaving || self.faults().refuse,
            models: state.models.clone(),
            epoch: state.epoch,
            seq: util::clock::unix_ms() / 100,
        }
    }

    fn refusal(&self, call: &Call) -> Option<&'static str> {
        let state = self.state.lock().expect("no panic while held");
        if call.resume.is_some() {
            return None;
        }
        if state.leaving || self.faults().refuse {
            return Some("leaving");
        }
        let version = call.version.as_ref()?;
        let required = format!("{}@{version}", call.model.as_deref().unwrap_or_default());
        let is_loaded = state.models.iter().any(|m| **m == *required);
        (!is_loaded).then_some("model version not held")
    }

    async fn run(self: Arc<Self>, call: Call) -> Response<Body> {
        self.received.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let faults = self.faults();
        if faults.fail {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        }
        if let Some(why) = self.refusal(&call) {
            return text(StatusCode::SERVICE_UNAVAILABLE, why);
        }
        if faults.stall {
            std::future::pending::<()>().await;
        }
        let index = self.journal.lock().expect("no panic while held").begin(RunRecord {
            target: self.spec.name.clone(),
            attempt: call.attempt.clone(),
            step: call.step.clone(),
            workspace: call.workspace.clone(),
            resumed: call.resume.is_some(),
            done: false,
        });
        let (tx, rx) = mpsc::channel(FRAME_BUFFER);
        let accepted = match &self.engine {
            Some(engine) => {
                let tag = faults.tag.then(|| self.spec.name.to_string());
                let slowdown = faults.slowdown_factor();
                let submit = Submit { call, tag, slowdown, frames: tx };
                engine.ask(submit).await.unwrap_or(false)
            }
            None if call.resume.is_some() => false,
            None => {
                tokio::spawn(self.clone().serve(call, faults.clone(), tx));
                true
            }
        };
        if !accepted {
            return text(StatusCode::NOT_FOUND, "nothing to resume");
        }
        let (sender, response) = stream("application/x-ndjson", 64);
        let server = self.clone();
        tokio::spawn(async move { server.deliver(index, rx, faults, sender).await });
        response
    }

    /// Runs a call of a stage pool or plain service in a free slot and answers in a few chunks.
    async fn serve(self: Arc<Self>, call: Call, faults: TargetFaults, tx: mpsc::Sender<Frame>) {
        use std::sync::atomic::Ordering::Relaxed;
        self.waiting.fetch_add(1, Relaxed);
        let slot = self.slots.clone().acquire_owned().await;
        self.waiting.fetch_sub(1, Relaxed);
        let ms = self.spec.service * faults.slowdown_factor();
        if ms > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(ms / 1e3)).await;
        }
        drop(slot);
        let answer = match self.spec.role {
            Role::Encoder => crate::text::encode(&call.input),
            Role::Retriever => crate::text::retrieve(&call.input),
            Role::Reranker => crate::text::rerank(&call.input),
            Role::Engine | Role::Plain => crate::text::plain(&call.step, &call.input),
        };
        let mut digest = Digest::default();
        digest.push(&answer);
        let mut count = 0;
        for part in split_answer(&answer) {
            let frame =
                Frame::Chunk { attempt: call.attempt.clone(), seq: count, text: part.into() };
            count += 1;
            let _ = tx.send(frame).await;
        }
        let attempt = call.attempt;
        let busy = (ms * 1e3) as u64;
        let wait = self.report().await.wait;
        let _ = tx.send(Frame::End { attempt, count, digest: digest.value(), busy, wait }).await;
    }

    /// Sends frames as lines, with the active faults applied.
    async fn deliver(
        self: Arc<Self>,
        index: usize,
        mut rx: mpsc::Receiver<Frame>,
        faults: TargetFaults,
        mut sender: util::http::Sender,
    ) {
        let mut buffered = Vec::new();
        let mut sent = 0;
        while let Some(frame) = rx.recv().await {
            let end = matches!(frame, Frame::End { .. });
            if end {
                self.journal.lock().expect("no panic while held").complete(index);
            }
            if faults.drop {
                return;
            }
            buffered.push(frame);
            if faults.needs_whole_answer() && !end {
                continue;
            }
            let ready = std::mem::take(&mut buffered);
            let ready = if faults.needs_whole_answer() { faults.corrupt(ready) } else { ready };
            for f in ready {
                if faults.cut.is_some_and(|n| sent >= n) {
                    return;
                }
                sent += 1;
                let mut line = serde_json::to_vec(&f).expect("frames encode");
                line.push(b'\n');
                if sender.send_data(Bytes::from(line)).await.is_err() {
                    // The reader disconnected; the work continues, so that a resume can fetch it.
                    while let Some(f) = rx.recv().await {
                        if matches!(f, Frame::End { .. }) {
                            self.journal.lock().expect("no panic while held").complete(index);
                        }
                    }
                    return;
                }
            }
            if end {
                return;
            }
        }
    }

    fn apply_order(&self, order: Order) -> Reply {
        let mut state = self.state.lock().expect("no panic while held");
        if self.spec.fenced && order.epoch < state.epoch {
            return Reply::Fenced { epoch: state.epoch };
        }
        state.epoch = state.epoch.max(order.epoch);
        match &order.task {
            Task::Load(v) if !state.models.contains(v) => state.models.push(v.clone()),
            Task::Load(_) => {}
            Task::Unload(v) => state.models.retain(|m| m != v),
            Task::Drain => state.leaving = true,
        }
        state.orders.push(order);
        Reply::Done
    }
}

/// Splits a text into about three pieces at character boundaries.
fn split_answer(text: &str) -> Vec<&str> {
    let size = text.len().div_ceil(3).max(1);
    let mut out = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut at = size.min(rest.len());
        while !rest.is_char_boundary(at) {
            at += 1;
        }
        let (head, tail) = rest.split_at(at);
        out.push(head);
        rest = tail;
    }
    out
}

impl Handler for TargetServer {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_string();
        let bad = |e: String| text(StatusCode::BAD_REQUEST, e);
        match (request.method(), path.as_str()) {
            (&Method::POST, "/run") => match read_json(request, MAX_CALL_BYTES).await {
                Ok(call) => self.run(call).await,
                Err(e) => bad(e),
            },
            (&Method::POST, "/cancel") => {
                match read_json::<Cancel>(request, MAX_CALL_BYTES).await {
                    Ok(c) => {
                        if let Some(e) = &self.engine {
                            let _ = e.tell(CancelCall(c.attempt)).await;
                        }
                        json(StatusCode::OK, &())
                    }
                    Err(e) => bad(e),
                }
            }
            (&Method::GET, "/load") => json(StatusCode::OK, &self.report().await),
            (&Method::POST, "/order") => match read_json(request, MAX_CALL_BYTES).await {
                Ok(order) => json(StatusCode::OK, &self.apply_order(order)),
                Err(e) => bad(e),
            },
            (&Method::POST, "/faults") => match read_json(request, MAX_CALL_BYTES).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json(StatusCode::OK, &())
                }
                Err(e) => bad(e),
            },
            (&Method::GET, "/journal") => json(StatusCode::OK, &self.runs()),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
