//! Answers the balancer, 200 while the node wants callers, and tells figures.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use util::http::{Body, full, text};

use crate::node::Node;

/// Rest after which a connection is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Path of the figures.
const METRICS: &str = "/metrics";
/// Media type of the figures.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let node = node.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = answer(&node, &request);
            async move { Ok::<_, Infallible>(answer) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(socket), service);
            // The balancer asks again.
            let _ = connection.await;
        });
    }
}

fn answer(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if path == METRICS {
        return full(StatusCode::OK, OPEN_METRICS, node.figures());
    }
    if path != node.dialect.ready_path() {
        return text(StatusCode::NOT_FOUND, "no such path");
    }
    if node.is_ready() {
        return text(StatusCode::OK, "ready");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
