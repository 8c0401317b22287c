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
pub fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer of this node's own; `why` is its body.
pub fn own(
    node: &Node,
    status: StatusCode,
    id: Option<&str>,
    come_back: Option<Duration>,
    why: &str,
) -> Response<Body> {
    let come_back_ms = come_back.map(|d| d.as_millis() as u64);
    let headers = node.dialect.local_headers(id, come_back_ms);
    whole(status, headers, Bytes::from(format!("{why}\n")))
}

/// Ends the connection after this answer.
pub fn close_after(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
