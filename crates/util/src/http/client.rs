//! HTTP client. Its errors state whether the call was certainly not sent, which the retry rules
//! depend on.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioTimer;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Semaphore;

use super::parts::BodyParts;
use super::turns::BoundedExecutor;

/// Maximum size of a body that is read completely, in bytes: far above that of all messages between
/// nodes, and of a list of the store.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Size above which a body counts as large, in bytes.
const LARGE_BODY_BYTES: usize = 256 << 10;
/// Maximum number of large bodies that the process reads at a time; others wait. Together they stay
/// under a quarter of the memory of a host with 160 MB.
const MAX_LARGE_BODIES: usize = 2;
/// Idle time after which a connection is probed, and time between probes: the minimum that the
/// operating system accepts.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that close a connection where [`TCP_USER_TIMEOUT`] cannot be set.
pub const KEEPALIVE_RETRIES: u32 = 1;
/// Time after which unacknowledged bytes or probes close a connection. Nodes must have caught up
/// with changes 3 s after a disturbance of their connections; this leaves 1 s for the next request.
/// The kernel checks it at a keep-alive probe, so it ends just before the last one.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1900);
/// Idle time after which a connection is not reused. One that went dead while idle may never be
/// closed, and the next call would wait on it for its whole timeout. With this limit no connection
/// from before an outage is used once nodes must have noticed the outage. More frequent calls keep
/// their connection.
const POOL_IDLE_TIMEOUT: Duration = TCP_USER_TIMEOUT;
/// Size of the buffer of a connection, and maximum size of an answer's head, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Maximum size of a line of a streamed body, in bytes.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Kind of a failed call.
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

/// Failed call.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("{peer}: {kind}")]
pub struct CallError {
    /// Address of the peer.
    pub peer: String,
    /// Kind of the failure.
    pub kind: CallKind,
}

impl CallError {
    /// Whether the call certainly never reached the peer.
    pub fn not_sent(&self) -> bool {
        matches!(self.kind, CallKind::NotSent(_))
    }

    /// Status of the peer's answer, if it was an error status.
    pub fn status(&self) -> Option<u16> {
        match self.kind {
            CallKind::Status(s, _) => Some(s),
            _ => None,
        }
    }
}

/// Timeouts of a large answer.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time until the head is received.
    pub head: Duration,
    /// Time between two parts of the body.
    pub idle: Duration,
    /// Total time.
    pub total: Duration,
}

/// HTTP client with a connection pool that its clones share.
///
/// The operating system probes the connections, so dead ones that were never closed are removed
/// from the pool after [`TCP_USER_TIMEOUT`], and the calls waiting on them fail. Probes do not
/// detect a hung process on a host that still answers, so calls have their own timeouts.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client with a connect timeout.
    pub fn new(connect: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let inner = legacy::Client::builder(BoundedExecutor)
            .http1_read_buf_exact_size(READ_BYTES)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Client { inner }
    }

    /// Sends a request and returns the response once its head is received, regardless of its
    /// status.
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

    /// Sends a POST request; a response outside 2xx is an error.
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

    /// Sends an optional JSON body and parses a JSON response.
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

    /// Sends a POST request with a MessagePack body and parses a MessagePack response, as used
    /// between the project's processes.
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

    /// Sends a POST request with an encoded MessagePack body and returns the encoded response.
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

    /// Sends a request for a response that may be large and waits for it as long as parts of it
    /// keep arriving.
    pub async fn send_streamed(
        &self,
        peer: &str,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Response<Bytes>, CallError> {
        let call = async {
            let head = async { require_success(peer, self.send(peer, request).await?).await };
            let (head, body) = with_timeout(peer, timeouts.head, head).await?.into_parts();
            let collected = collect(peer, body, Some(timeouts.idle)).await?;
            Ok(Response::from_parts(head, collected))
        };
        with_timeout(peer, timeouts.total, call).await
    }

    /// Sends a PUT request; a response outside 2xx is an error.
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

    /// Sends a DELETE request; a response outside 2xx is an error.
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

    /// Fetches a body as text; invalid UTF-8 is replaced.
    pub async fn text(
        &self,
        peer: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<String, CallError> {
        let bytes = self.bytes(peer, path, timeout).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Fetches a body as bytes.
    pub async fn bytes(
        &self,
        peer: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        Ok(self.get(peer, path, timeout).await?.into_body())
    }

    /// Sends a GET request and reads the complete response.
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

/// Parses a MessagePack response of `peer`.
pub fn read_rmp_answer<A: DeserializeOwned>(peer: &str, answer: &[u8]) -> Result<A, CallError> {
    rmp_serde::from_slice(answer).map_err(|e| call_error(peer, CallKind::Decode(e.to_string())))
}

/// Reader of the lines of a streamed body.
#[derive(Debug)]
pub struct Lines {
    peer: String,
    body: Incoming,
    buffer: Vec<u8>,
    start: usize,
}

impl Lines {
    /// Creates a reader of the body of `response`.
    pub fn new(peer: &str, response: Response<Incoming>) -> Self {
        Lines { peer: peer.into(), body: response.into_body(), buffer: Vec::new(), start: 0 }
    }

    /// Reads the next line without its line break; `None` at the end of the body.
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

/// Formats an error and its causes on one line.
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

/// Permits to read large bodies.
static LARGE_BODIES: Semaphore = Semaphore::const_new(MAX_LARGE_BODIES);

/// Reads a complete body.
async fn collect_body(peer: &str, body: Incoming) -> Result<Bytes, CallError> {
    collect(peer, body, None).await
}

/// Reads a complete body whose parts arrive at most `idle` apart. Time in which this node waits for
/// other large bodies does not count.
async fn collect(peer: &str, body: Incoming, idle: Option<Duration>) -> Result<Bytes, CallError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut collected = BodyParts::default();
    let mut permit = None;
    loop {
        let frame = match idle {
            Some(idle) => with_timeout(peer, idle, async { Ok(body.frame().await) }).await?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(collected.into_bytes());
        };
        let frame = frame.map_err(|e| call_error(peer, CallKind::Lost(e.to_string())))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > LARGE_BODY_BYTES && permit.is_none() {
            permit = Some(LARGE_BODIES.acquire().await.expect("it is never closed"));
        }
        collected.push(&data);
    }
}
