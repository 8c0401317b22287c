//! Answers the other nodes: orders of pieces, frees, rules and targets, pings.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use model::Name;
use model::forward::{BatchOrder, FollowAsk, Handle};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use util::http::{Body, RMP, full, read_rmp, rmp, text};

use crate::ingress::small;
use crate::node::Node;
use crate::stages::{self, NotMade};
use crate::watch;

/// Path of batch orders.
pub const BATCH: &str = "/v1/batch";
/// Path of results to be freed.
pub const FREE: &str = "/v1/free";
/// Path of a ping.
pub const PING: &str = "/v1/ping";
/// Path of news of the targets.
pub const FOLLOW: &str = "/v1/follow";
/// Path of the question which engine reads a prompt.
pub const PREFILL: &str = "/v1/prefill";
/// Path of prompts that have been read.
pub const PREFILL_END: &str = "/v1/prefill-end";
/// Path of the rules.
pub const RULES: &str = "/v1/rules";
/// Largest message of a peer.
const MESSAGE_MAX: usize = 8 << 20;

/// Results that a peer's coordinator made and that are no longer wanted.
#[derive(Debug, Serialize, Deserialize)]
pub struct RemoteFree {
    /// Service.
    pub service: Name,
    /// Results.
    pub handles: Vec<Handle>,
}

/// Serves until the process ends.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    small::serve(listener, move |request| answer(node.clone(), request)).await;
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        RULES => full(StatusCode::OK, RMP, node.table().encoded()),
        PING => rmp(&()),
        FOLLOW => follow(&node, request).await,
        BATCH => batch(&node, request).await,
        PREFILL => {
            let Some(ask) = read_rmp(request, MESSAGE_MAX).await else {
                return text(StatusCode::BAD_REQUEST, "not a prompt to be placed");
            };
            rmp(&node.schedulers.place(&node, &ask))
        }
        PREFILL_END => {
            let Some(end) = read_rmp(request, MESSAGE_MAX).await else {
                return text(StatusCode::BAD_REQUEST, "not the end of a prompt");
            };
            node.schedulers.end(end, node.now());
            rmp(&())
        }
        FREE => {
            let Some(RemoteFree { service, handles }) = read_rmp(request, MESSAGE_MAX).await else {
                return text(StatusCode::BAD_REQUEST, "not results to free");
            };
            node.pools.free(&node, &service, handles);
            rmp(&())
        }
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn follow(node: &Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let Some(ask) = read_rmp::<FollowAsk>(request, MESSAGE_MAX).await else {
        return text(StatusCode::BAD_REQUEST, "not a question for news");
    };
    match watch::answer(node, ask).await {
        Some(answer) => rmp(&answer),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

async fn batch(node: &Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let Some(order) = read_rmp::<BatchOrder>(request, MESSAGE_MAX).await else {
        return text(StatusCode::BAD_REQUEST, "not a batch order");
    };
    let stopping = || text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    if node.is_stopping() {
        return stopping();
    }
    match stages::take(node, order).await {
        Ok(answer) => rmp(&answer),
        Err(NotMade::Moved) if node.is_stopping() => stopping(),
        Err(NotMade::Moved) => text(StatusCode::CONFLICT, "another node comes first"),
        Err(NotMade::NoService) => text(StatusCode::NOT_FOUND, "no such stage service"),
    }
}
