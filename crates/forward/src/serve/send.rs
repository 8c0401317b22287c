//! One send of a request to one target, and what came of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::fleet::Observation;
use decide::resend::Execution;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Response, StatusCode};
use model::Time;
use model::forward::Target;

use super::choice::Choice;
use super::exchange::{Exchange, Failure};
use super::stream::{Begun, EventReader, StreamError};
use crate::border::Onward;
use crate::crossed::{self, Crossing, Kind};
use crate::events::Event;
use crate::heard;
use crate::node::Node;
use crate::prefill::Ticket;
use crate::quarantine::HELD;
use crate::rollout::{self, TrackedSend};
use crate::stages::RequestResults;
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
    /// The target.
    pub(super) target: Target,
    unread: u64,
    ticket: Option<Ticket>,
    sent: Option<TrackedSend>,
}

impl AtTarget {
    fn new(node: &Rc<Node>, target: &Target, tokens: u64, ticket: Option<Ticket>) -> Self {
        node.fleet(|f| f.request_sent(&target.id, tokens));
        let (node, target) = (node.clone(), target.clone());
        AtTarget { node, target, unread: tokens, ticket, sent: None }
    }

    /// The target answered well after this time.
    fn good(&self, took: Duration) {
        if let Some(sent) = &self.sent {
            sent.record_success(took);
        }
    }

    /// What it answered was a failure of its version, or late.
    pub(super) fn bad(&self) {
        if let Some(sent) = &self.sent {
            sent.record_failure();
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
        self.node.fleet(|f| f.prompt_read(&self.target.id, tokens));
    }
}

impl Drop for AtTarget {
    fn drop(&mut self) {
        self.forget_prompt();
        self.node.fleet(|f| f.request_done(&self.target.id));
    }
}

/// Sends the request; `resume_after` is the last event that the caller has.
pub async fn send(
    exchange: &Rc<Exchange>,
    choice: Choice,
    made: Option<&RequestResults>,
    resume_after: Option<u64>,
) -> Outcome {
    let Choice { target, ticket, permit } = choice;
    let target = &target;
    let attempt = Attempt { exchange, target, begun: exchange.node.now() };
    exchange.progress(|p| p.goes_to(&target.id));
    let mut at_target = AtTarget::new(&exchange.node, target, exchange.head.tokens_in, ticket);
    let socket = match upstream::connect(target.address).await {
        Ok(socket) => socket,
        Err(e) => {
            if e.is_refused() {
                exchange.node.quarantine.seen_ended(target, "refused");
            }
            return attempt.nothing(Observation::Unreachable, e.to_string());
        }
    };
    if let Some(why) = exchange.barred(&target.id) {
        // Nothing of the request has gone there yet.
        exchange.progress(|p| p.why = format!("its target is barred by now: {why}"));
        return Outcome::Nothing;
    }
    if permit.is_over(exchange.node.now()) {
        exchange.progress(|p| p.why = "its permit ran out on the way".into());
        return Outcome::Nothing;
    }
    if !exchange.node.quarantine.sends(&exchange.node, &exchange.head.id, exchange.fingerprint) {
        exchange.progress(|p| p.why = HELD.into());
        return Outcome::Nothing;
    }
    exchange.progress(|p| p.tries.connected());
    heard::sent(&exchange.node, target);
    let sent =
        rollout::track_send(&exchange.node, target, &exchange.route.name, 1, exchange.deadline);
    at_target.sent.clone_from(&sent);
    let request = request_for(exchange, target, made, resume_after);
    let crossing = Crossing::to_target(&exchange.node, Kind::Request, &target.id);
    if let Some(made) = made {
        crossed::fetched(&exchange.node, &target.id, made.input_sources());
    }
    let work = async {
        match upstream::send_over(socket, target.address, request, crossing).await {
            Ok(answer) => attempt.take(answer, at_target).await,
            Err(e) => attempt.broke_off(e.to_string()),
        }
    };
    if let Some(outcome) = exchange.patiently(work).await {
        return outcome;
    }
    if let Some(sent) = sent {
        sent.record_failure();
    }
    attempt.broke_off("silent for too long".into())
}

fn request_for(
    exchange: &Exchange,
    target: &Target,
    made: Option<&RequestResults>,
    resume_after: Option<u64>,
) -> hyper::Request<Full<Bytes>> {
    let onward = Onward {
        left_ms: exchange.left().as_millis() as u64,
        target: &target.id,
        workspace: exchange.workspace.as_ref(),
        rank: (!exchange.head.prompt.is_empty()).then_some(exchange.rank.level()),
        inputs: made.map_or(&[], RequestResults::inputs),
        resume_after: resume_after.or(exchange.head.last_event),
    };
    let taken = &exchange.request;
    let mut request = hyper::Request::new(Full::new(taken.body.clone()));
    *request.method_mut() = taken.method.clone();
    *request.uri_mut() = taken.uri.clone();
    *request.headers_mut() = exchange.node.dialect.onward(&taken.headers, &onward);
    request
}

/// A send that has begun.
struct Attempt<'a> {
    exchange: &'a Rc<Exchange>,
    target: &'a Target,
    begun: Time,
}

impl Attempt<'_> {
    /// Takes an answer, unless it is not the target's to this request.
    async fn take(&self, answer: Answer, at_target: AtTarget) -> Outcome {
        let Answer { response, connection } = answer;
        let (head, body) = response.into_parts();
        let said = self.exchange.node.dialect.answer(&head);
        let is_own = said.id.as_deref() == Some(self.exchange.head.id.as_str());
        if !is_own && !said.not_run && !said.misdirected {
            return self.may_have_run("answer to another request".into());
        }
        if said.misdirected {
            self.exchange.node.quarantine.seen_ended(self.target, "replaced");
            return self.not_run(Observation::Replaced, "another target has the address".into());
        }
        heard::take(&self.exchange.node, self.target, &said, self.begun);
        if said.not_run && said.input_gone {
            self.exchange.progress(|p| p.tries.record(Execution::Excluded));
            return Outcome::InputGone;
        }
        if said.not_run {
            let why = format!("turned away with {}", head.status);
            return self.not_run(Observation::Rejected, why);
        }
        if head.status.is_success() && !said.signed {
            at_target.bad();
            return self.may_have_run("answer without signature".into());
        }
        let answer = Answer { response: Response::from_parts(head, body), connection };
        if answer.response.status().is_success() && said.events {
            return self.take_stream(answer, at_target).await;
        }
        self.take_whole(answer, at_target).await
    }

    /// Takes the first event of a stream.
    async fn take_stream(&self, answer: Answer, mut at_target: AtTarget) -> Outcome {
        let Answer { response, connection } = answer;
        let (head, body) = response.into_parts();
        let mut reader = EventReader::new(body, connection);
        let first = match reader.next().await {
            Ok(Some(first)) => first,
            Ok(None) => {
                at_target.bad();
                return self.broke_off(StreamError::Empty.to_string());
            }
            Err(e) => {
                if e.is_of_target() {
                    at_target.bad();
                }
                return self.broke_off(e.to_string());
            }
        };
        self.answered(&at_target);
        at_target.read();
        let headers = self.exchange.node.dialect.back(&head.headers);
        Outcome::Stream(Box::new(Begun { status: head.status, headers, reader, first, at_target }))
    }

    /// Takes an answer that is no stream, a failure of the target's own too.
    async fn take_whole(&self, answer: Answer, at_target: AtTarget) -> Outcome {
        let Answer { response, connection } = answer;
        let (head, body) = response.into_parts();
        let body = match Limited::new(body, ANSWER_MAX).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return self.broke_off(format!("answer broke off: {e}")),
        };
        drop(connection);
        let headers = self.exchange.node.dialect.back(&head.headers);
        let status = head.status;
        if status.is_server_error() {
            at_target.bad();
            self.exchange.progress(|p| p.failure = Some(Failure { status, headers, body }));
            return self.may_have_run(format!("status {status}"));
        }
        self.answered(&at_target);
        self.exchange.answered_whole();
        Outcome::Whole { status, headers, body }
    }

    /// The target answered the request well.
    fn answered(&self, at_target: &AtTarget) {
        let node = &self.exchange.node;
        self.exchange.progress(|p| p.tries.record(Execution::Possible));
        let took = node.now().since(self.begun);
        node.observe(&self.target.id, Observation::Answered(took), "");
        at_target.good(took);
    }

    /// The target failed the request, which may have run there.
    fn may_have_run(&self, why: String) -> Outcome {
        self.exchange.progress(|p| p.tries.record(Execution::Possible));
        self.nothing(Observation::Failed, why)
    }

    /// The connection ended, or was given up, before a whole answer.
    fn broke_off(&self, why: String) -> Outcome {
        self.exchange.broke_off_at(self.target);
        self.exchange.progress(|p| p.tries.record(Execution::Possible));
        self.nothing(Observation::Interrupted, why)
    }

    /// The request surely did not run there.
    fn not_run(&self, observed: Observation, why: String) -> Outcome {
        self.exchange.progress(|p| p.tries.record(Execution::Excluded));
        self.nothing(observed, why)
    }

    /// The send brought nothing to pass on.
    fn nothing(&self, observed: Observation, why: String) -> Outcome {
        let Attempt { exchange, target, begun } = self;
        let node = &exchange.node;
        let after_ms = node.now().since(*begun).as_millis() as u64;
        let ran = match exchange.progress(|p| p.tries.execution) {
            Execution::Excluded => "no",
            Execution::Possible => "maybe",
        };
        Event::Attempt {
            id: &exchange.head.id,
            same: &exchange.fingerprint.to_string(),
            target: &target.id.name,
            ran,
            why: &why,
            after_ms,
        }
        .emit();
        node.observe(&target.id, observed, &why);
        exchange.progress(|p| p.why = why);
        Outcome::Nothing
    }
}
