//! HTTP server: one task per connection, limits on headers and slow senders, and a graceful
//! shutdown that completes open responses.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, channel::Channel};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::stop::Stop;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// Sender of a streamed body; dropping it ends the body.
pub type Sender = http_body_util::channel::Sender<Bytes, Infallible>;

/// Handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request.
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Limits on requests.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Time for a sender to complete the head.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_headers: 64, max_head_bytes: 16 << 10, head_timeout: Duration::from_secs(5) }
    }
}

/// Server that is bound to its address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: Limits,
}

impl Server {
    /// Listens on `address`; port 0 selects a free port.
    pub async fn bind(address: &str) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("could not listen on {address}"))?;
        Ok(Server { listener, limits: Limits::default() })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound listener has an address")
    }

    /// Serves requests until `stop`, then completes the open responses.
    pub async fn run<H: Handler>(self, handler: Arc<H>, mut stop: Stop) {
        let mut tasks = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                a = self.listener.accept() => a,
                () = stop.wait() => break,
            };
            while tasks.try_join_next().is_some() {}
            let Ok((socket, _)) = accepted else {
                // Most likely out of file descriptors: wait until some are closed.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = socket.set_nodelay(true);
            tasks.spawn(connection(socket, handler.clone(), self.limits, stop.clone()));
        }
        drop(self.listener);
        while tasks.join_next().await.is_some() {}
    }
}

async fn connection<H: Handler>(
    socket: tokio::net::TcpStream,
    handler: Arc<H>,
    limits: Limits,
    mut stop: Stop,
) {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.call(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let stopped = tokio::select! {
        _ = connection.as_mut() => false,
        () = stop.wait() => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Reads a complete body of at most `max_bytes` bytes.
async fn read(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, String> {
    let collected = Limited::new(request.into_body(), max_bytes).collect().await;
    Ok(collected.map_err(|e| e.to_string())?.to_bytes())
}

/// Parses a JSON body; the error is the parser's or the reader's message.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<T, String> {
    serde_json::from_slice(&read(request, max_bytes).await?).map_err(|e| e.to_string())
}

/// Parses a MessagePack body; `None` if it is invalid or too large.
pub async fn read_rmp<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Option<T> {
    rmp_serde::from_slice(&read(request, max_bytes).await.ok()?).ok()
}

/// Response with a complete body.
pub fn full(status: StatusCode, media: &str, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, media)
        .body(Full::new(body.into()).boxed_unsync())
        .expect("status and media type are valid")
}

/// Plain text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    full(status, "text/plain; charset=utf-8", body.into())
}

/// JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).expect("messages have string keys");
    full(status, "application/json", bytes)
}

/// MessagePack response encoded by position.
pub fn rmp<T: Serialize>(body: &T) -> Response<Body> {
    let bytes = rmp_serde::to_vec(body).expect("messages encode");
    full(StatusCode::OK, super::RMP, bytes)
}

/// MessagePack response with field names, for messages between different builds.
pub fn rmp_named<T: Serialize>(body: &T) -> Response<Body> {
    let bytes = rmp_serde::to_vec_named(body).expect("messages encode");
    full(StatusCode::OK, super::RMP, bytes)
}

/// Streamed response that buffers at most `depth` unsent chunks.
pub fn stream(media: &str, depth: usize) -> (Sender, Response<Body>) {
    let (sender, channel) = Channel::new(depth);
    let response = Response::builder()
        .header(header::CONTENT_TYPE, media)
        .body(channel.boxed_unsync())
        .expect("media type is valid");
    (sender, response)
}
