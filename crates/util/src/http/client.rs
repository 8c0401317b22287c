//! The client. An error tells whether the call was certainly not sent, which
//! is what the retry rules turn on.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};

/// Largest body that a client takes in whole.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Rest after which a connection is probed, and time between probes: the least that the
/// operating system takes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection where [`TCP_USER_TIMEOUT`] cannot be set.
pub const KEEPALIVE_RETRIES: u32 = 1;
/// Time after which unanswered bytes or probes end a connection. Nodes are held to what changed
/// from 3 s after a disturbance of their connections on; this leaves one for the next question.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Rest after which a connection is not used again. One that fell silent while it rested may never
/// end, and the next call would wait on it for its whole time; none from before a silence is
/// used once nodes are held to have noticed it. Calls that come more often keep theirs.
const POOL_IDLE_TIMEOUT: Duration = TCP_USER_TIMEOUT;
/// Longest line of a streamed answer.
const MAX_LINE_BYTES: usize = 4 << 20;

/// What went wrong in a call.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum CallKind {
    /// not sent: {0}
    NotSent(String),
    /// sent, answer lost: {0}
    Lost(String),
    /// status {0}: {1}
    Status(u16, String),
    /// no answer in time
    Timeout,
    /// answer not understood: {0}
    Decode(String),
}

/// A failed call and its peer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("{peer}: {kind}")]
pub struct CallError {
    /// Address called.
    pub peer: String,
    /// What went wrong.
    pub kind: CallKind,
}

impl CallError {
    /// Whether the peer certainly never saw the call.
    pub fn not_sent(&self) -> bool {
        matches!(self.kind, CallKind::NotSent(_))
    }

    /// The status that the peer answered with.
    pub fn status(&self) -> Option<u16> {
        match self.kind {
            CallKind::Status(s, _) => Some(s),
            _ => None,
        }
    }
}

/// How long a large answer may take.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Until its head is there.
    pub head: Duration,
    /// Between two of its parts.
    pub idle: Duration,
    /// In all.
    pub total: Duration,
}

/// A pooled client; clones share the pool. The operating system probes its connections, so that
/// those that fall silent without an end are gone from the pool, and with them the calls that
/// wait there, after [`TCP_USER_TIMEOUT`]. It does not show a peer whose host answers and whose process
/// does not: calls have time-outs of their own.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client that gives up connecting after `connect`.
    pub fn new(connect: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Client { inner }
    }

    /// Sends a request and returns the answer's head, whatever its status.
    pub async fn send(
        &self,
        peer: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.inner.request(request).await.map_err(|e| {
            let why = error_chain(&e);
            let kind = if e.is_connect() { CallKind::NotSent(why) } else { CallKind::Lost(why) };
            call_error(peer, kind)
        })
    }

    /// Posts a body; an answer outside 2xx is an error.
    pub async fn post(
        &self,
        peer: &str,
        path: &str,
        media: &str,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, CallError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{peer}{path}"))
            .header(header::CONTENT_TYPE, media)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| call_error(peer, CallKind::NotSent(e.to_string())))?;
        require_success(peer, self.send(peer, request).await?).await
    }

    /// Sends JSON, if any, and reads JSON.
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: &str,
        method: Method,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let bytes = match body {
            Some(b) => serde_json::to_vec(b).expect("messages have string keys"),
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|e| call_error(peer, CallKind::NotSent(e.to_string())))?;
        let call = async {
            let response = require_success(peer, self.send(peer, request).await?).await?;
            let bytes = collect_body(peer, response.into_body()).await?;
            serde_json::from_slice(&bytes)
                .map_err(|e| call_error(peer, CallKind::Decode(e.to_string())))
        };
        with_timeout(peer, timeout, call).await
    }

    /// Posts rmp-serde and reads rmp-serde, as our own processes do.
    pub async fn rmp<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: &str,
        path: &str,
        body: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let bytes = rmp_serde::to_vec(body).expect("messages encode");
        read_rmp_answer(peer, &self.rmp_bytes(peer, path, bytes, timeout).await?)
    }

    /// Posts what is rmp-serde already, and returns such an answer as it is.
    pub async fn rmp_bytes(
        &self,
        peer: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let call = async {
            let response = self.post(peer, path, super::RMP, body).await?;
            collect_body(peer, response.into_body()).await
        };
        with_timeout(peer, timeout, call).await
    }

    /// Sends a request and returns an answer that may be large: as long as it comes it is waited
    /// for.
    pub async fn send_streamed(
        &self,
        peer: &str,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Response<Bytes>, CallError> {
        let call = async {
            let head = async { require_success(peer, self.send(peer, request).await?).await };
            let (head, body) = with_timeout(peer, timeouts.head, head).await?.into_parts();
            let whole = collect_streamed(peer, body, timeouts.idle).await?;
            Ok(Response::from_parts(head, whole))
        };
        with_timeout(peer, timeouts.total, call).await
    }

    /// Puts a body; an answer outside 2xx is an error.
    pub async fn put(
        &self,
        peer: &str,
        path: &str,
        media: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let request = Request::put(format!("http://{peer}{path}"))
            .header(header::CONTENT_TYPE, media)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| call_error(peer, CallKind::NotSent(e.to_string())))?;
        let call = async {
            let response = require_success(peer, self.send(peer, request).await?).await?;
            collect_body(peer, response.into_body()).await.map(drop)
        };
        with_timeout(peer, timeout, call).await
    }

    /// Deletes; an answer outside 2xx is an error.
    pub async fn delete(&self, peer: &str, path: &str, timeout: Duration) -> Result<(), CallError> {
        let request = Request::delete(format!("http://{peer}{path}"))
            .body(Full::default())
            .map_err(|e| call_error(peer, CallKind::NotSent(e.to_string())))?;
        let call = async {
            let response = require_success(peer, self.send(peer, request).await?).await?;
            collect_body(peer, response.into_body()).await.map(drop)
        };
        with_timeout(peer, timeout, call).await
    }

    /// Reads a text body; what is not UTF-8 in it is replaced.
    pub async fn text(
        &self,
        peer: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<String, CallError> {
        let bytes = self.bytes(peer, path, timeout).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Reads a body as it is.
    pub async fn bytes(
        &self,
        peer: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        Ok(self.get(peer, path, timeout).await?.into_body())
    }

    /// Reads an answer, head and body.
    pub async fn get(
        &self,
        peer: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let request = Request::get(format!("http://{peer}{path}"))
            .body(Full::default())
            .map_err(|e| call_error(peer, CallKind::NotSent(e.to_string())))?;
        let call = async {
            let response = require_success(peer, self.send(peer, request).await?).await?;
            let (head, body) = response.into_parts();
            Ok(Response::from_parts(head, collect_body(peer, body).await?))
        };
        with_timeout(peer, timeout, call).await
    }
}

/// Reads a peer's rmp-serde answer.
pub fn read_rmp_answer<A: DeserializeOwned>(peer: &str, answer: &[u8]) -> Result<A, CallError> {
    rmp_serde::from_slice(answer).map_err(|e| call_error(peer, CallKind::Decode(e.to_string())))
}

/// Lines of a streamed body.
#[derive(Debug)]
pub struct Lines {
    peer: String,
    body: Incoming,
    buffer: Vec<u8>,
    start: usize,
}

impl Lines {
    /// Reads `response` line by line.
    pub fn new(peer: &str, response: Response<Incoming>) -> Self {
        Lines { peer: peer.into(), body: response.into_body(), buffer: Vec::new(), start: 0 }
    }

    /// The next line without its end; `None` once the body has ended.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        loop {
            if let Some(n) = self.buffer[self.start..].iter().position(|b| *b == b'\n') {
                let line = self.buffer[self.start..self.start + n].to_vec();
                self.start += n + 1;
                return Ok(Some(line));
            }
            self.buffer.drain(..self.start);
            self.start = 0;
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(call_error(&self.peer, CallKind::Decode("line too long".into())));
            }
            match self.body.frame().await {
                None if self.buffer.is_empty() => return Ok(None),
                None => return Ok(Some(std::mem::take(&mut self.buffer))),
                Some(Err(e)) => {
                    return Err(call_error(&self.peer, CallKind::Lost(error_chain(&e))));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn call_error(peer: &str, kind: CallKind) -> CallError {
    CallError { peer: peer.into(), kind }
}

/// The causes of an error on one line.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut next = e.source();
    while let Some(cause) = next {
        text = format!("{text}: {cause}");
        next = cause.source();
    }
    text
}

async fn with_timeout<T>(
    peer: &str,
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(call_error(peer, CallKind::Timeout)),
    }
}

async fn require_success(
    peer: &str,
    response: Response<Incoming>,
) -> Result<Response<Incoming>, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = collect_body(peer, response.into_body()).await.unwrap_or_default();
    let why = String::from_utf8_lossy(&body).into_owned();
    if status == StatusCode::GATEWAY_TIMEOUT {
        return Err(call_error(peer, CallKind::Lost(why)));
    }
    Err(call_error(peer, CallKind::Status(status.as_u16(), why)))
}

async fn collect_body(peer: &str, body: Incoming) -> Result<Bytes, CallError> {
    let body = Limited::new(body, MAX_BODY_BYTES);
    let whole =
        body.collect().await.map_err(|e| call_error(peer, CallKind::Lost(e.to_string())))?;
    Ok(whole.to_bytes())
}

/// Reads a body whose parts are at most `idle` apart.
async fn collect_streamed(peer: &str, body: Incoming, idle: Duration) -> Result<Bytes, CallError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut whole = BytesMut::new();
    loop {
        let next = async { Ok(body.frame().await) };
        let Some(frame) = with_timeout(peer, idle, next).await? else {
            return Ok(whole.freeze());
        };
        let frame = frame.map_err(|e| call_error(peer, CallKind::Lost(e.to_string())))?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
    }
}
