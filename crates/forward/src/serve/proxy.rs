//! Requests that go through a peer while this node reaches no target.
//!
//! The peer serves the request like one of its own: its rules, limits, permits, quarantine and
//! repeat budget apply. It never sends the request on through a third node. Its response is
//! forwarded as it arrives, and a caller that leaves ends the request at both nodes. Once the
//! request was sent to a peer, it goes through another one only if the first refused it unserved:
//! when the connection between the nodes breaks, it may have run.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use decide::links::LinkPeer;
use decide::resend::{Ending, Execution};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::InvalidUri;
use hyper::{Method, Request, Response, StatusCode, Uri};
use model::Time;

use super::exchange::Exchange;
use super::reply::{self, Body};
use crate::crossed::{MessageKind, RegionTraffic};
use crate::events::Event;
use crate::node::Node;
use crate::peers::PROXY;
use crate::received::SentBody;
use crate::upstream::{self, Answer, AnswerBody, Connection};
use crate::work::OpenWork;

/// Peers that a request is sent to before it is refused.
const MAX_PEERS: usize = 3;
/// Header with the method of the caller's request.
const METHOD: HeaderName = HeaderName::from_static("pumicevale-method");
/// Header with the target URI of the caller's request.
const URI: HeaderName = HeaderName::from_static("pumicevale-uri");
/// Header with the milliseconds since the request reached the first node.
const ELAPSED: HeaderName = HeaderName::from_static("pumicevale-elapsed-ms");
/// Header with the version of the rules that the first node admitted the request by.
const RULES: HeaderName = HeaderName::from_static("pumicevale-rules");
/// Header of a response whose sender did not serve the request and never will, for a reason that
/// another peer may not have.
const UNSERVED: HeaderName = HeaderName::from_static("pumicevale-unserved");
/// Prefix of the headers that only nodes may set.
const RESERVED_PREFIX: &str = "pumicevale-";

/// Outcome of sending a request to one peer.
enum Outcome {
    /// The peer's response to forward.
    Response(Response<Body>),
    /// The peer has not run the request and never will.
    NotRun(String),
    /// The peer may have run it.
    Unknown(String),
}

impl Outcome {
    /// Name in log lines and metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Outcome::Response(_) => "answered",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}

impl Exchange {
    /// Whether the request may go through a peer: no target may have run it.
    pub(super) fn may_use_peer(&self) -> bool {
        !self.is_proxied && self.progress(|p| p.attempts.ending()) == Ending::NotRun
    }

    /// Whether the request is to go through a peer from the start. Links that have just returned
    /// get a growing share of the requests.
    pub(super) fn avoids_links(&self) -> bool {
        let share = self.node.links.share(self.node.now());
        share < 1.0 && self.may_use_peer() && self.node.rng(|r| r.next_f64()) >= share
    }
}

/// Sends a request through a peer that reaches the targets; `None` if there is no such peer.
pub(super) async fn send(exchange: &Rc<Exchange>) -> Option<Response<Body>> {
    let node = &exchange.node;
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS {
        let allowed = exchange.allowed_regions();
        let Some(peer) = node.links.choose_peer(node, &allowed, &tried).await else {
            break;
        };
        let started = node.now();
        let outcome = send_to_peer(exchange, &peer).await;
        log_outcome(exchange, &peer, &outcome, started);
        match outcome {
            Outcome::Response(response) => return Some(response),
            Outcome::NotRun(reason) => {
                exchange.progress(|p| {
                    p.attempts.record(Execution::Excluded);
                    p.reason = reason;
                });
                node.links.record_peer_failure(&peer.node.id, node.now());
                tried.push(peer.node.id);
            }
            Outcome::Unknown(reason) => {
                exchange.progress(|p| {
                    p.attempts.record(Execution::Possible);
                    p.reason = reason;
                });
                return Some(exchange.end_unanswered());
            }
        }
    }
    exchange
        .progress(|p| p.reason = format!("no target and no peer in reach; before: {}", p.reason));
    None
}

fn log_outcome(exchange: &Exchange, peer: &LinkPeer, outcome: &Outcome, started: Time) {
    let (status, why) = match outcome {
        Outcome::Response(response) => (response.status().as_u16(), ""),
        Outcome::NotRun(why) | Outcome::Unknown(why) => (0, why.as_str()),
    };
    exchange.node.metrics.count_proxied(outcome.as_str());
    Event::Proxied {
        id: &exchange.head.id,
        peer: &peer.node.id.name,
        outcome: outcome.as_str(),
        status,
        why,
        open: peer.open,
        age_ms: peer.age.as_millis() as u64,
        took_ms: exchange.node.now().since(started).as_millis() as u64,
    }
    .emit();
}

async fn send_to_peer(exchange: &Rc<Exchange>, peer: &LinkPeer) -> Outcome {
    let node = &exchange.node;
    let address = peer.node.entry;
    let socket = match upstream::connect_peer(node, &peer.node).await {
        Ok(socket) => socket,
        Err(e) => return Outcome::NotRun(e.to_string()),
    };
    exchange.progress(|p| p.attempts.connected());
    let traffic = RegionTraffic::to_peer(node, MessageKind::Request, address);
    let request = build_request(exchange);
    match upstream::send_over(socket, address, request, traffic).await {
        Ok(answer) if answer.response.headers().contains_key(UNSERVED) => {
            Outcome::NotRun("the peer does not serve it".into())
        }
        Ok(answer) => {
            exchange.progress(|p| p.attempts.record(Execution::Possible));
            Outcome::Response(forward_response(exchange, answer))
        }
        Err(e) => Outcome::Unknown(e.to_string()),
    }
}

fn build_request(exchange: &Exchange) -> Request<SentBody> {
    let received = &exchange.request;
    let mut headers = exchange.node.dialect.return_headers(&received.headers);
    remove_reserved(&mut headers);
    let elapsed = exchange.node.now().since(exchange.arrived).as_millis() as u64;
    headers.insert(METHOD, value(received.method.as_str()));
    headers.insert(URI, value(&received.uri.to_string()));
    headers.insert(ELAPSED, elapsed.into());
    headers.insert(RULES, exchange.rules_version.into());
    let mut request = Request::new(received.body.send());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(PROXY);
    *request.headers_mut() = headers;
    request
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_bytes(text.as_bytes()).expect("methods and URIs have no control characters")
}

/// Removes headers that only nodes may set.
fn remove_reserved(headers: &mut HeaderMap) {
    let is_reserved = |name: &&HeaderName| name.as_str().starts_with(RESERVED_PREFIX);
    let reserved: Vec<HeaderName> = headers.keys().filter(is_reserved).cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
}

fn forward_response(exchange: &Rc<Exchange>, answer: Answer) -> Response<Body> {
    let Answer { response, connection } = answer;
    let (head, body) = response.into_parts();
    let mut headers = exchange.node.dialect.return_headers(&head.headers);
    remove_reserved(&mut headers);
    let timer = exchange.clone();
    let body = ProxiedBody {
        body,
        deadline: Box::pin(async move { timer.node.clock.sleep_until(timer.deadline).await }),
        exchange: exchange.clone(),
        status: head.status,
        _connection: connection,
    };
    let body: Body = Box::pin(body);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}

/// Body of a peer's response, forwarded as it arrives. Ends with an error at the deadline, since the
/// connection to the peer may have fallen silent.
struct ProxiedBody {
    body: AnswerBody,
    deadline: Pin<Box<dyn Future<Output = ()>>>,
    exchange: Rc<Exchange>,
    status: StatusCode,
    _connection: Connection,
}

impl hyper::body::Body for ProxiedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                std::task::ready!(self.deadline.as_mut().poll(cx));
                self.exchange.log_end(self.status.as_u16(), "broken_off");
                return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
            }
        };
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.exchange.log_end(self.status.as_u16(), "broken_off"),
            None => self.exchange.log_end(self.status.as_u16(), "proxied"),
        }
        Poll::Ready(frame.map(|f| f.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        let is_ended = self.body.is_end_stream();
        if is_ended {
            self.exchange.log_end(self.status.as_u16(), "proxied");
        }
        is_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Marks a response to a peer's request as a refusal that another peer may not give.
pub(super) fn mark_unserved(response: &mut Response<Body>) {
    response.headers_mut().insert(UNSERVED, HeaderValue::from_static("1"));
}

/// Serves a request that a caller sent to a peer.
pub async fn handle_proxied(
    node: Rc<Node>,
    request: Request<Incoming>,
    work: Rc<OpenWork>,
) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let Some(head) = ProxiedHead::read(&parts.headers) else {
        let body = Bytes::from_static(b"not a request of a peer\n");
        return reply::build(StatusCode::BAD_REQUEST, HeaderMap::new(), body);
    };
    if let Some(reason) = refusal(&node, &head) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut response = reply::local(&node, status, None, None, reason);
        mark_unserved(&mut response);
        return response;
    }
    remove_reserved(&mut parts.headers);
    (parts.method, parts.uri) = (head.method, head.uri);
    let request = Request::from_parts(parts, body);
    super::answer(&node, request, work, Some(head.elapsed)).await
}

/// Why this node does not serve requests of peers; `None` if it does.
fn refusal(node: &Node, head: &ProxiedHead) -> Option<&'static str> {
    if node.links.is_lost() {
        return Some("no target is in reach");
    }
    if node.is_stopping() {
        return Some("stopping");
    }
    (node.table().rules.version < head.rules).then_some("its rules are not known here yet")
}

/// Head of a request that a peer received.
struct ProxiedHead {
    method: Method,
    uri: Uri,
    elapsed: Duration,
    rules: u64,
}

impl ProxiedHead {
    fn read(headers: &HeaderMap) -> Option<ProxiedHead> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let uri: Result<Uri, InvalidUri> = headers.get(URI)?.as_bytes().try_into();
        Some(ProxiedHead {
            method: Method::from_bytes(headers.get(METHOD)?.as_bytes()).ok()?,
            uri: uri.ok()?,
            elapsed: Duration::from_millis(number(ELAPSED)?),
            rules: number(RULES)?,
        })
    }
}
