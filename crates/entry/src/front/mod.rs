//! HTTP interface for callers: paths, admission, whole and streamed responses.

mod ask;
mod gate;
mod reply;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use model::answer::Answer;
use model::outcome::{Outcome, Reason, RequestReport, StepError};
use tokio::sync::mpsc;
use util::http::{Body, Handler, full, stream, text};

pub use gate::AdmissionController;

use crate::drive::{self, RequestJob, ResponseEvent};
use crate::node::Core;

/// Maximum chunks buffered for one caller.
const CHANNEL_CAPACITY: usize = 64;
/// Path prefix of pipelines.
const PIPELINES_PREFIX: &str = "/v1/pipelines/";
/// Media type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves callers.
pub struct CallerHandler(pub Arc<Core>);

impl Handler for CallerHandler {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let core = self.0.clone();
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => ready(&core),
            (&Method::GET, "/metrics") => full(StatusCode::OK, OPENMETRICS, core.metrics.text()),
            (&Method::POST, p) if p.starts_with(PIPELINES_PREFIX) => {
                let pipeline = p[PIPELINES_PREFIX.len()..].to_string();
                serve_pipeline(core, &pipeline, request).await
            }
            (_, p) if p.starts_with(PIPELINES_PREFIX) => {
                reply::problem(StatusCode::METHOD_NOT_ALLOWED, "send a pipeline's input with POST")
            }
            _ => reply::problem(
                StatusCode::NOT_FOUND,
                "paths are POST /v1/pipelines/{pipeline}, GET /healthz, /readyz and /metrics",
            ),
        }
    }
}

fn ready(core: &Core) -> Response<Body> {
    if core.stopping.load(Ordering::Relaxed) {
        return text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if core.fleet.config().number == 0 {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration in force yet\n");
    }
    text(StatusCode::OK, "ready\n")
}

async fn serve_pipeline(
    core: Arc<Core>,
    pipeline: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let config = core.fleet.config();
    let job = match ask::read(&core, &config, pipeline, request).await {
        Ok(job) => job,
        Err(invalid) => return reply::problem(invalid.status, &invalid.message),
    };
    let (name, workspace) = (job.pipeline.clone(), job.workspace.clone());
    if let Err(report) = admit(&core, &job).await {
        core.metrics.record_request(&name, &workspace, &report);
        return reply::report(&report);
    }
    let streamed = job.streamed;
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let id = job.request.clone();
    let (arrived, deadline) = (job.arrived, job.deadline);
    tokio::spawn(async move {
        let started = core.clock.now();
        drive::run(core.clone(), config, job, tx).await;
        let now = core.clock.now();
        core.admission.complete(now, &id, now.since(started), deadline.since(arrived));
    });
    if streamed { send_stream(rx).await } else { send_whole(rx).await }
}

/// Checks the workspace's rate limit, then waits for admission. The error is the final report.
async fn admit(core: &Core, job: &RequestJob) -> Result<(), RequestReport> {
    let now = core.clock.now();
    let rejection = |reason: Reason, retry_after: Option<u64>| RequestReport {
        request: job.request.clone(),
        outcome: Outcome::NotRun,
        error: Some(StepError { step: "admission".into(), peer: None, reason }),
        steps: Vec::new(),
        retry_after,
        timely: false,
    };
    let config = core.fleet.config();
    let limits = config.set.workspaces.get(&job.workspace).map(|w| &w.limits);
    if let Some(l) = limits.and_then(|l| l.iter().find(|l| l.pipeline == job.pipeline)) {
        let nodes = core.members.load().len();
        let token = core.rates.take(now, &job.workspace, &job.pipeline, l.rate, nodes);
        token.map_err(|wait| rejection(Reason::Limit, Some(wait.as_millis() as u64 + 1)))?;
    }
    let verdict = core.admission.admit(core, job).await;
    verdict.map_err(|r| rejection(r.reason, Some(r.retry_after.as_millis() as u64 + 1)))
}

async fn send_whole(mut rx: mpsc::Receiver<ResponseEvent>) -> Response<Body> {
    while let Some(out) = rx.recv().await {
        if let ResponseEvent::End(report, text) = out {
            return reply::answer(&Answer { text, end: *report });
        }
    }
    reply::problem(StatusCode::INTERNAL_SERVER_ERROR, "the request was dropped")
}

async fn send_stream(mut rx: mpsc::Receiver<ResponseEvent>) -> Response<Body> {
    // Delay the response head until the first chunk, so that a rejection keeps its own status.
    let first = match rx.recv().await {
        Some(ResponseEvent::End(report, _)) if report.outcome != Outcome::Complete => {
            return reply::report(&report);
        }
        Some(out) => out,
        None => {
            return reply::problem(StatusCode::INTERNAL_SERVER_ERROR, "the request was dropped");
        }
    };
    let (mut sender, response) = stream(reply::EVENT_STREAM, CHANNEL_CAPACITY);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(out) = next {
            let event = reply::event(&out);
            if sender.send_data(Bytes::from(event)).await.is_err() {
                return;
            }
            next = rx.recv().await;
        }
    });
    response
}
