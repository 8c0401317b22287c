//! Answers the balancer, 200 while the node wants callers, and tells figures.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use util::http::{Body, full, text};

use super::small;
use crate::node::Node;

/// Path of the figures.
const METRICS: &str = "/metrics";
/// Media type of the figures.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| std::future::ready(answer(&node, &request));
    small::serve(listener, handler).await;
}

fn answer(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if path == METRICS {
        return full(StatusCode::OK, OPEN_METRICS, node.metrics_text());
    }
    if path != node.dialect.ready_path() {
        return text(StatusCode::NOT_FOUND, "no such path");
    }
    if node.is_ready() {
        return text(StatusCode::OK, "ready");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
