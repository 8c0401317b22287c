//! Readiness endpoint for the balancer, which gets 200 while the node accepts callers, and metrics
//! endpoint.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use util::http::{Body, full, text};

use super::small;
use crate::node::Node;

const METRICS_PATH: &str = "/metrics";
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let state = node.clone();
    let handler =
        move |request: Request<Incoming>, _| std::future::ready(respond(&state, &request));
    small::serve(node, listener, handler).await;
}

fn respond(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return full(StatusCode::OK, METRICS_MEDIA_TYPE, node.metrics_text());
    }
    if path != node.dialect.ready_path() {
        return text(StatusCode::NOT_FOUND, "no such path");
    }
    if node.is_ready() {
        return text(StatusCode::OK, "ready");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
