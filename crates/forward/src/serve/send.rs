//! One send of a request to one target, and what came of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::fleet::Observation;
use decide::resend::Ran;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Response, StatusCode};
use model::Time;
use model::forward::{Target, TargetId};

use super::choice::Choice;
use super::exchange::{Exchange, Failure};
use super::stream::{Begun, EventReader, StreamError};
use crate::border::Onward;
use crate::events::Event;
use crate::node::Node;
use crate::prefill::Ticket;
use crate::rollout::{self, Sent};
use crate::stages::Made;
use crate::upstream::{self, Answer};

/// Largest answer that is taken in whole.
const ANSWER_MAX: usize = 16 << 20;

/// What came of a send.
pub enum Outcome {
    /// A whole answer to pass on.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// A stream whose first event is there.
    Stream(Box<Begun>),
    /// The target did not run it, since an input is gone.
    InputGone,
    /// Nothing to pass on; the exchange's progress says what is known.
    Nothing,
}

/// Counts a request at a target until it goes.
pub struct AtTarget {
    node: Rc<Node>,
    id: TargetId,
    unread: u64,
    ticket: Option<Ticket>,
    sent: Option<Sent>,
}

impl AtTarget {
    fn new(node: &Rc<Node>, id: &TargetId, tokens: u64, ticket: Option<Ticket>) -> Self {
        node.fleet(|f| f.sent(id, tokens));
        AtTarget { node: node.clone(), id: id.clone(), unread: tokens, ticket, sent: None }
    }

    /// The target answered well after this time.
    fn good(&self, took: Duration) {
        if let Some(sent) = &self.sent {
            sent.good(took);
        }
    }

    /// What it answered was a failure of its version, or late.
    pub(super) fn bad(&self) {
        if let Some(sent) = &self.sent {
            sent.bad();
        }
    }

    /// The prompt has been read.
    fn read(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            ticket.read();
        }
        self.forget_prompt();
    }

    fn forget_prompt(&mut self) {
        let tokens = std::mem::take(&mut self.unread);
        self.node.fleet(|f| f.read(&self.id, tokens));
    }
}

impl Drop for AtTarget {
    fn drop(&mut self) {
        self.forget_prompt();
        self.node.fleet(|f| f.done(&self.id));
    }
}

/// Sends the request; `resume_after` is the last event that the caller has.
pub async fn send(
    exchange: &Rc<Exchange>,
    choice: Choice,
    made: Option<&Made>,
    resume_after: Option<u64>,
) -> Outcome {
    let begun = exchange.node.now();
    let Choice { target, ticket } = choice;
    let target = &target;
    exchange.progress(|p| p.goes_to(&target.id));
    let mut at_target = AtTarget::new(&exchange.node, &target.id, exchange.head.tokens_in, ticket);
    let socket = match upstream::connect(target.address).await {
        Ok(socket) => socket,
        Err(e) => {
            return nothing(exchange, target, Observation::Unreachable, begun, e.to_string());
        }
    };
    if let Some(why) = exchange.barred(&target.id) {
        // Nothing of the request has gone there yet.
        exchange.progress(|p| p.why = format!("its target is barred by now: {why}"));
        return Outcome::Nothing;
    }
    exchange.progress(|p| p.tries.connected());
    let sent = rollout::sent(&exchange.node, target, &exchange.route.name, 1, exchange.deadline);
    at_target.sent.clone_from(&sent);
    let request = request_for(exchange, target, made, resume_after);
    let work = async {
        match upstream::send_over(socket, target.address, request).await {
            Ok(answer) => take(exchange, target, answer, at_target, begun).await,
            Err(e) => {
                exchange.progress(|p| p.tries.note(Ran::Maybe));
                nothing(exchange, target, Observation::Failed, begun, e.to_string())
            }
        }
    };
    if let Some(outcome) = exchange.patiently(work).await {
        return outcome;
    }
    exchange.progress(|p| p.tries.note(Ran::Maybe));
    if let Some(sent) = sent {
        sent.bad();
    }
    nothing(exchange, target, Observation::Failed, begun, "silent for too long".into())
}

fn request_for(
    exchange: &Exchange,
    target: &Target,
    made: Option<&Made>,
    resume_after: Option<u64>,
) -> hyper::Request<Full<Bytes>> {
    let onward = Onward {
        left_ms: exchange.left().as_millis() as u64,
        target: &target.id,
        workspace: exchange.workspace.as_ref(),
        rank: (!exchange.head.prompt.is_empty()).then_some(exchange.rank.level()),
        inputs: made.map_or(&[], Made::inputs),
        resume_after: resume_after.or(exchange.head.last_event),
    };
    let taken = &exchange.request;
    let mut request = hyper::Request::new(Full::new(taken.body.clone()));
    *request.method_mut() = taken.method.clone();
    *request.uri_mut() = taken.uri.clone();
    *request.headers_mut() = exchange.node.dialect.onward(&taken.headers, &onward);
    request
}

/// Takes an answer, unless it is not the target's to this request.
async fn take(
    exchange: &Rc<Exchange>,
    target: &Target,
    answer: Answer,
    at_target: AtTarget,
    begun: Time,
) -> Outcome {
    let node = &exchange.node;
    let Answer { response, connection } = answer;
    let (head, body) = response.into_parts();
    let said = node.dialect.answer(&head);
    let failed = |ran, observed, why: String| {
        exchange.progress(|p| p.tries.note(ran));
        nothing(exchange, target, observed, begun, why)
    };
    if said.id.as_deref() != Some(exchange.head.id.as_str()) && !said.not_run && !said.misdirected {
        return failed(Ran::Maybe, Observation::Failed, "answer to another request".into());
    }
    if said.misdirected {
        return failed(Ran::No, Observation::Replaced, "another target has the address".into());
    }
    if said.not_run && said.input_gone {
        exchange.progress(|p| p.tries.note(Ran::No));
        return Outcome::InputGone;
    }
    if said.not_run {
        let why = format!("turned away with {}", head.status);
        return failed(Ran::No, Observation::Rejected, why);
    }
    if head.status.is_success() && !said.signed {
        at_target.bad();
        return failed(Ran::Maybe, Observation::Failed, "answer without signature".into());
    }
    let answer = Answer { response: Response::from_parts(head, body), connection };
    if answer.response.status().is_success() && said.events {
        return take_stream(exchange, target, answer, at_target, begun).await;
    }
    take_whole(exchange, target, answer, at_target, begun).await
}

/// Takes the first event of a stream.
async fn take_stream(
    exchange: &Rc<Exchange>,
    target: &Target,
    answer: Answer,
    mut at_target: AtTarget,
    begun: Time,
) -> Outcome {
    let node = &exchange.node;
    let Answer { response, connection } = answer;
    let (head, body) = response.into_parts();
    let failed = |why: String| {
        exchange.progress(|p| p.tries.note(Ran::Maybe));
        nothing(exchange, target, Observation::Failed, begun, why)
    };
    let mut reader = EventReader::new(body, connection);
    let first = match reader.next().await {
        Ok(Some(first)) => first,
        Ok(None) => {
            at_target.bad();
            return failed(StreamError::Empty.to_string());
        }
        Err(e) => {
            if e.is_of_target() {
                at_target.bad();
            }
            return failed(e.to_string());
        }
    };
    exchange.progress(|p| p.tries.note(Ran::Maybe));
    let took = node.now().since(begun);
    node.observe(&target.id, Observation::Answered(took), "");
    at_target.good(took);
    at_target.read();
    let headers = node.dialect.back(&head.headers);
    Outcome::Stream(Box::new(Begun { status: head.status, headers, reader, first, at_target }))
}

/// Takes an answer that is no stream, a failure of the target's own too.
async fn take_whole(
    exchange: &Rc<Exchange>,
    target: &Target,
    answer: Answer,
    at_target: AtTarget,
    begun: Time,
) -> Outcome {
    let node = &exchange.node;
    let Answer { response, connection } = answer;
    let (head, body) = response.into_parts();
    let body = match Limited::new(body, ANSWER_MAX).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            let why = format!("answer broke off: {e}");
            exchange.progress(|p| p.tries.note(Ran::Maybe));
            return nothing(exchange, target, Observation::Failed, begun, why);
        }
    };
    drop(connection);
    exchange.progress(|p| p.tries.note(Ran::Maybe));
    let took = node.now().since(begun);
    let headers = node.dialect.back(&head.headers);
    let status = head.status;
    if status.is_server_error() {
        let why = format!("status {status}");
        at_target.bad();
        exchange.progress(|p| p.failure = Some(Failure { status, headers, body }));
        return nothing(exchange, target, Observation::Failed, begun, why);
    }
    node.observe(&target.id, Observation::Answered(took), "");
    at_target.good(took);
    Outcome::Whole { status, headers, body }
}

fn nothing(
    exchange: &Exchange,
    target: &Target,
    observed: Observation,
    begun: Time,
    why: String,
) -> Outcome {
    let node = &exchange.node;
    let after_ms = node.now().since(begun).as_millis() as u64;
    let ran = match exchange.progress(|p| p.tries.ran) {
        Ran::No => "no",
        Ran::Maybe => "maybe",
    };
    Event::Attempt { id: &exchange.head.id, target: &target.id.name, ran, why: &why, after_ms }
        .emit();
    node.observe(&target.id, observed, &why);
    exchange.progress(|p| p.why = why);
    Outcome::Nothing
}
