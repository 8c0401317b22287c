//! The server: one task a connection, limits on headers and slow senders, and
//! a planned stop that lets every answer finish.

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

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// Sending half of a streamed body; dropping it ends the body.
pub type Sender = http_body_util::channel::Sender<Bytes, Infallible>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// What a server accepts.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Headers in one request.
    pub max_headers: usize,
    /// Bytes of one request's head.
    pub max_head_bytes: usize,
    /// Time for a sender to finish the head.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_headers: 64, max_head_bytes: 16 << 10, head_timeout: Duration::from_secs(5) }
    }
}

/// A listening server.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: Limits,
}

impl Server {
    /// Listens at `address`; port 0 picks a free one.
    pub async fn bind(address: &str) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("could not listen at {address}"))?;
        Ok(Server { listener, limits: Limits::default() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound listener has an address")
    }

    /// Serves until `stop`, then lets open answers finish.
    pub async fn run<H: Handler>(self, handler: Arc<H>, mut stop: Stop) {
        let mut tasks = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                a = self.listener.accept() => a,
                () = stop.wait() => break,
            };
            while tasks.try_join_next().is_some() {}
            let Ok((socket, _)) = accepted else {
                // Out of descriptors, most likely; let some close.
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

/// Reads a whole body of at most `max_bytes` bytes.
async fn read(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, String> {
    let whole = Limited::new(request.into_body(), max_bytes).collect().await;
    Ok(whole.map_err(|e| e.to_string())?.to_bytes())
}

/// Reads a JSON body; the error says what is wrong with it.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<T, String> {
    serde_json::from_slice(&read(request, max_bytes).await?).map_err(|e| e.to_string())
}

/// Reads an rmp-serde body, if it is one.
pub async fn read_rmp<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Option<T> {
    rmp_serde::from_slice(&read(request, max_bytes).await.ok()?).ok()
}

/// An answer with a body in one piece.
pub fn full(status: StatusCode, media: &str, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, media)
        .body(Full::new(body.into()).boxed_unsync())
        .expect("status and media type are valid")
}

/// A plain text answer.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    full(status, "text/plain; charset=utf-8", body.into())
}

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).expect("messages have string keys");
    full(status, "application/json", bytes)
}

/// An rmp-serde answer.
pub fn rmp<T: Serialize>(body: &T) -> Response<Body> {
    let bytes = rmp_serde::to_vec(body).expect("messages encode");
    full(StatusCode::OK, super::RMP, bytes)
}

/// The same with the names of fields, for messages between different builds.
pub fn rmp_named<T: Serialize>(body: &T) -> Response<Body> {
    let bytes = rmp_serde::to_vec_named(body).expect("messages encode");
    full(StatusCode::OK, super::RMP, bytes)
}

/// A streamed answer of at most `depth` unsent pieces.
pub fn stream(media: &str, depth: usize) -> (Sender, Response<Body>) {
    let (sender, channel) = Channel::new(depth);
    let response = Response::builder()
        .header(header::CONTENT_TYPE, media)
        .body(channel.boxed_unsync())
        .expect("media type is valid");
    (sender, response)
}
