//! One attempt: sends a request to one target and reads the outcome.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use decide::fleet::Observation;
use decide::resend::Execution;
use futures_util::future::LocalBoxFuture;
use hyper::{HeaderMap, Response, StatusCode};
use model::Time;
use model::forward::Target;

use super::choice::Choice;
use super::exchange::{ErrorResponse, Exchange};
use super::replace::RunEnd;
use super::stream::{EventReader, StartedStream, StreamError};
use crate::border::ForwardContext;
use crate::crossed::{self, MessageKind, RegionTraffic};
use crate::ejections;
use crate::events::Event;
use crate::heard;
use crate::memory::{self, HeldBody};
use crate::node::Node;
use crate::prefill::PromptGuard;
use crate::received::SentBody;
use crate::rollout::{self, TrackedSend};
use crate::slots::SlotGuard;
use crate::stages::RequestResults;
use crate::upstream::{self, Answer};

/// Outcome of an attempt.
pub enum Outcome {
    /// A complete response to forward.
    Complete { status: StatusCode, headers: HeaderMap, body: HeldBody },
    /// A stream whose first event has arrived.
    Stream(Box<StartedStream>),
    /// The target did not run the request, since an input is no longer stored.
    InputLost,
    /// No response to forward; the exchange's progress holds the reason.
    NoResponse,
}

impl Outcome {
    /// Whether there is a response to forward.
    fn is_answer(&self) -> bool {
        matches!(self, Outcome::Complete { .. } | Outcome::Stream(_))
    }
}

/// Counts a request as in flight at a target until dropped.
pub struct InFlightGuard {
    node: Rc<Node>,
    pub(super) target: Target,
    unread_tokens: u64,
    prompt_guard: Option<PromptGuard>,
    sent: Option<TrackedSend>,
    slot: Option<SlotGuard>,
}

impl InFlightGuard {
    fn new(
        node: &Rc<Node>,
        target: &Target,
        tokens: u64,
        prompt_guard: Option<PromptGuard>,
    ) -> Self {
        node.fleet(|f| f.request_sent(&target.id, tokens));
        let (node, target) = (node.clone(), target.clone());
        InFlightGuard { node, target, unread_tokens: tokens, prompt_guard, sent: None, slot: None }
    }

    /// Reports a good response, after this time, as evidence of the target's version.
    fn report_success(&self, took: Duration) {
        if let Some(sent) = &self.sent {
            sent.record_success(took);
        }
    }

    /// Reports a failed or late response as evidence against the target's version.
    pub(super) fn report_failure(&self) {
        if let Some(sent) = &self.sent {
            sent.record_failure();
        }
    }

    /// Reports a silent target, which another one has replaced, as evidence on its version.
    pub(super) fn report_silence(&self) {
        if let Some(sent) = &self.sent {
            sent.record_silence();
        }
    }

    /// Records that the target rejected the request.
    fn record_rejection(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.record_rejection();
        }
    }

    /// Records that the target has read the prompt.
    fn record_prompt_read(&mut self) {
        if let Some(prompt_guard) = self.prompt_guard.take() {
            prompt_guard.mark_read();
        }
        self.clear_unread();
    }

    fn clear_unread(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.node.fleet(|f| f.prompt_read(&self.target.id, tokens));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.clear_unread();
        self.node.fleet(|f| f.request_done(&self.target.id));
    }
}

/// Sends the request, and to another target as well once this one has been silent for too long;
/// `resume_after` is the last event that the caller received.
pub fn send_or_replace<'a>(
    exchange: &'a Rc<Exchange>,
    choice: Choice,
    results: Option<&'a RequestResults>,
    resume_after: Option<u64>,
) -> LocalBoxFuture<'a, Outcome> {
    Box::pin(async move {
        let target = choice.target.clone();
        let (started_at, sent) = (exchange.node.now(), OnceCell::new());
        let attempt = Attempt { exchange, target: &target, started_at, sent };
        let run = send(&attempt, choice, results, resume_after);
        let replace = async || send_elsewhere(exchange, results, resume_after).await;
        match exchange.run_or_replace(&target.id, run, Outcome::is_answer, replace).await {
            RunEnd::Outcome(outcome) => outcome,
            RunEnd::Replaced(outcome, failed) => {
                if failed.is_none() {
                    attempt.superseded();
                }
                outcome
            }
        }
    })
}

/// Sends the request to one further target after another until one answers; `None` if none does.
async fn send_elsewhere(
    exchange: &Rc<Exchange>,
    results: Option<&RequestResults>,
    resume_after: Option<u64>,
) -> Option<Outcome> {
    while results.is_none_or(|r| exchange.is_result_allowed(r)) {
        let choice = exchange.next_target(None).await?;
        match send_or_replace(exchange, choice, results, resume_after).await {
            Outcome::NoResponse => {}
            Outcome::InputLost => return None,
            outcome => return Some(outcome),
        }
    }
    None
}

async fn send(
    attempt: &Attempt<'_>,
    choice: Choice,
    results: Option<&RequestResults>,
    resume_after: Option<u64>,
) -> Outcome {
    let Choice { target, prompt_guard, permit, repeat, slot } = choice;
    let (target, exchange) = (&target, attempt.exchange);
    if let Some(repeat) = repeat {
        repeat.spend();
    }
    exchange.progress(|p| p.record_target(&target.id));
    let mut in_flight =
        InFlightGuard::new(&exchange.node, target, exchange.head.tokens_in, prompt_guard);
    in_flight.slot = slot;
    let socket = match upstream::connect_target(&exchange.node, target).await {
        Ok(socket) => socket,
        Err(e) => {
            if e.is_refused() {
                exchange.node.quarantine.refusal_observed(&exchange.node, target);
            }
            return attempt.no_response(Observation::Unreachable, e.to_string());
        }
    };
    if let Some(reason) = exchange.exclusion_reason(&target.id) {
        // No byte of the request has been sent yet.
        exchange.progress(|p| p.reason = format!("its target is barred by now: {reason}"));
        return Outcome::NoResponse;
    }
    if permit.is_expired(exchange.node.now()) {
        exchange.progress(|p| p.reason = "its permit ran out on the way".into());
        return Outcome::NoResponse;
    }
    let quarantine = &exchange.node.quarantine;
    if let Err(held) = quarantine.try_send(&exchange.node, &exchange.head.id, &exchange.keys) {
        exchange.progress(|p| p.reason = held.reason.into());
        return Outcome::NoResponse;
    }
    exchange.progress(|p| p.attempts.connected());
    heard::record_send(&exchange.node, target);
    let sent =
        rollout::track_send(&exchange.node, target, &exchange.route.name, 1, exchange.deadline);
    in_flight.sent.clone_from(&sent);
    if let Some(sent) = sent {
        let _ = attempt.sent.set(sent);
    }
    let resume_after = resume_after.or(exchange.head.last_event);
    if let Some(after) = resume_after {
        log_resumption(exchange, target, after);
    }
    let request = build_request(exchange, target, results, resume_after);
    let crossing = RegionTraffic::to_target(&exchange.node, MessageKind::Request, &target.id);
    if let Some(results) = results {
        crossed::count_inputs(&exchange.node, &target.id, results.input_sources());
    }
    match upstream::send_over(socket, target.address, request, crossing).await {
        Ok(answer) => attempt.handle_response(answer, in_flight).await,
        Err(e) => attempt.interrupted(e.to_string()),
    }
}

fn log_resumption(exchange: &Exchange, target: &Target, after: u64) {
    let begun_at = exchange.progress(|p| p.begun_at.clone());
    let head = &exchange.head;
    Event::StreamResumed {
        id: &head.id,
        first: head.resumes.as_deref().unwrap_or(&head.id),
        begun_at: begun_at.as_deref().unwrap_or_default(),
        after,
        target: &target.id.name,
        version: &target.version,
    }
    .emit();
}

fn build_request(
    exchange: &Exchange,
    target: &Target,
    results: Option<&RequestResults>,
    resume_after: Option<u64>,
) -> hyper::Request<SentBody> {
    let onward = ForwardContext {
        left_ms: exchange.time_left().as_millis() as u64,
        target: &target.id,
        workspace: exchange.workspace.as_ref(),
        rank: (!exchange.head.prompt.is_empty()).then_some(exchange.rank.level()),
        inputs: results.map_or(&[], RequestResults::inputs),
        resume_after,
    };
    let received = &exchange.request;
    let mut request = hyper::Request::new(received.body.send());
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = received.uri.clone();
    *request.headers_mut() = exchange.node.dialect.forward_headers(&received.headers, &onward);
    request
}

/// An attempt in progress.
struct Attempt<'a> {
    exchange: &'a Rc<Exchange>,
    target: &'a Target,
    started_at: Time,
    /// Evidence on the target's version, once the request is sent.
    sent: OnceCell<TrackedSend>,
}

impl Attempt<'_> {
    /// Handles a response, unless it is not the target's own to this request.
    async fn handle_response(&self, answer: Answer, mut in_flight: InFlightGuard) -> Outcome {
        let Answer { response, connection } = answer;
        let (head, body) = response.into_parts();
        let answer_head = self.exchange.node.dialect.read_answer(&head);
        let is_matching = answer_head.id.as_deref() == Some(self.exchange.head.id.as_str());
        if !is_matching && !answer_head.not_run && !answer_head.misdirected {
            return self.may_have_run("answer to another request".into());
        }
        if answer_head.misdirected {
            self.exchange.node.quarantine.crash_observed(self.target, "replaced");
            return self.not_run(Observation::Replaced, "another target has the address".into());
        }
        heard::record_answer(&self.exchange.node, self.target, &answer_head, self.started_at);
        if answer_head.not_run && answer_head.input_gone {
            self.exchange.progress(|p| p.attempts.record(Execution::Excluded));
            return Outcome::InputLost;
        }
        if answer_head.not_run {
            in_flight.record_rejection();
            let reason = format!("turned away with {}", head.status);
            return self.not_run(Observation::Rejected, reason);
        }
        if head.status.is_success() && !answer_head.is_signed {
            in_flight.report_failure();
            return self.may_have_run("answer without signature".into());
        }
        let answer = Answer { response: Response::from_parts(head, body), connection };
        if answer.response.status().is_success() && answer_head.is_event_stream {
            return self.handle_stream(answer, in_flight).await;
        }
        self.handle_complete(answer, in_flight).await
    }

    /// Reads the first event of a stream.
    async fn handle_stream(&self, answer: Answer, mut in_flight: InFlightGuard) -> Outcome {
        let Answer { response, connection } = answer;
        let (head, body) = response.into_parts();
        let memory = &self.exchange.node.answer_memory;
        let mut reader = EventReader::new(memory, body, connection);
        let first = match reader.next().await {
            Ok(Some(first)) => first,
            Ok(None) => {
                in_flight.report_failure();
                return self.interrupted(StreamError::Empty.to_string());
            }
            Err(e) => {
                if e.is_target_fault() {
                    in_flight.report_failure();
                }
                return self.interrupted(e.to_string());
            }
        };
        self.record_success(&in_flight);
        in_flight.record_prompt_read();
        let headers = self.exchange.node.dialect.return_headers(&head.headers);
        Outcome::Stream(Box::new(StartedStream {
            status: head.status,
            headers,
            reader,
            first_event: first,
            in_flight,
        }))
    }

    /// Reads a response that is not a stream, including an error response.
    async fn handle_complete(&self, answer: Answer, in_flight: InFlightGuard) -> Outcome {
        let Answer { response, connection } = answer;
        let (head, body) = response.into_parts();
        let memory = &self.exchange.node.answer_memory;
        let body = match memory::read_body(memory, body, memory::MAX_RESPONSE_BYTES).await {
            Ok(body) => body,
            Err(e) => return self.interrupted(format!("answer broke off: {e}")),
        };
        if head.status.is_success() && !connection.wait_sent().await {
            return self.interrupted("the target closed before it had read the request".into());
        }
        connection.finish(&self.exchange.node, self.exchange.work(), self.exchange.deadline);
        let headers = self.exchange.node.dialect.return_headers(&head.headers);
        let status = head.status;
        if status.is_server_error() {
            in_flight.report_failure();
            self.exchange
                .progress(|p| p.error_response = Some(ErrorResponse { status, headers, body }));
            return self.may_have_run(format!("status {status}"));
        }
        self.record_success(&in_flight);
        self.exchange.record_completion();
        Outcome::Complete { status, headers, body }
    }

    /// Records that another target answered while this one was silent.
    fn superseded(&self) {
        if let Some(sent) = self.sent.get() {
            sent.record_silence();
        }
        self.interrupted("silent for too long".into());
    }

    /// Records a successful response.
    fn record_success(&self, in_flight: &InFlightGuard) {
        let node = &self.exchange.node;
        self.exchange.progress(|p| p.attempts.record(Execution::Possible));
        let took = node.now().since(self.started_at);
        ejections::observe(node, self.target, Observation::Answered(took), "");
        in_flight.report_success(took);
    }

    /// Records a failure of the target, which may have run the request.
    fn may_have_run(&self, reason: String) -> Outcome {
        self.exchange.progress(|p| p.attempts.record(Execution::Possible));
        self.no_response(Observation::Failed, reason)
    }

    /// Records that the connection ended or was closed before a complete response.
    fn interrupted(&self, reason: String) -> Outcome {
        self.exchange.record_interruption(self.target);
        self.exchange.progress(|p| p.attempts.record(Execution::Possible));
        self.no_response(Observation::Interrupted, reason)
    }

    /// Records that the request certainly did not run at the target.
    fn not_run(&self, observed: Observation, reason: String) -> Outcome {
        self.exchange.progress(|p| p.attempts.record(Execution::Excluded));
        self.no_response(observed, reason)
    }

    /// Logs and observes an attempt without a response to forward.
    fn no_response(&self, observed: Observation, reason: String) -> Outcome {
        let Attempt { exchange, target, started_at, .. } = self;
        let node = &exchange.node;
        let after_ms = node.now().since(*started_at).as_millis() as u64;
        let ran = match exchange.progress(|p| p.attempts.execution) {
            Execution::Excluded => "no",
            Execution::Possible => "maybe",
        };
        Event::Attempt {
            id: &exchange.head.id,
            same: &exchange.keys.request.to_string(),
            target: &target.id.name,
            ran,
            why: &reason,
            after_ms,
        }
        .emit();
        ejections::observe(node, target, observed, &reason);
        exchange.progress(|p| p.reason = reason);
        Outcome::NoResponse
    }
}
