//! Answers to callers: a target's, byte for byte, or this node's own.

use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};

use crate::node::Node;

/// Body of an answer; an error breaks the connection off.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>;

/// A body in one piece.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A target's answer, whole.
pub fn build(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer of this node's own; `why` is its body.
pub fn local(
    node: &Node,
    status: StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
    why: &str,
) -> Response<Body> {
    let retry_after_ms = retry_after.map(|d| d.as_millis() as u64);
    let headers = node.dialect.own(id, retry_after_ms);
    build(status, headers, Bytes::from(format!("{why}\n")))
}

/// Ends the connection after this answer.
pub fn set_connection_close(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
