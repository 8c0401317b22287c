//! Answers the other nodes: orders of pieces, frees, rules and targets, pings.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use model::forward::{BatchOrder, FollowAsk, Handle, PoolId, Rollout, RolloutState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use util::http::{Body, RMP, full, read_rmp, rmp, rmp_named, text};

use super::{EPOCH, epoch_of};
use crate::ingress::small;
use crate::limits;
use crate::node::Node;
use crate::rollout::{self, WriteOutcome};
use crate::stages::{self, OrderError};
use crate::watch;

/// Path of batch orders.
pub const BATCH: &str = "/v1/batch";
/// Path of the waits of a coordinator's orders.
pub const WAITS: &str = "/v1/waits";
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
/// Path of what a node saw of a version on trial.
pub const ROLLOUT: &str = "/v1/rollout";
/// Path of an order's state that is to be written.
pub const ROLLOUT_STATE: &str = "/v1/rollout-state";
/// Path of requests under which targets ended.
pub const QUARANTINE: &str = "/v1/quarantine";
/// Path of permits to send requests to targets that name limits.
pub const PERMIT: &str = "/v1/permit";
/// Path of news of such limits.
pub const LIMITS: &str = "/v1/limits";
/// Path of the rules.
pub const RULES: &str = "/v1/rules";
/// Largest message of a peer.
const MESSAGE_MAX: usize = 8 << 20;

/// Results that a peer's coordinator made and that are no longer wanted.
#[derive(Debug, Serialize, Deserialize)]
pub struct RemoteFree {
    /// Makers that made them.
    pub pool: PoolId,
    /// Results.
    pub handles: Vec<Handle>,
}

/// A state of an order that a peer whom the store turns away has written by this node. The
/// answer is whether it stands; `None` if the store turned this node away too.
#[derive(Debug, Serialize, Deserialize)]
pub struct RemoteState {
    /// The order as it is to be unchanged.
    pub order: Rollout,
    /// State to be written.
    pub state: RolloutState,
}

/// Serves until the process ends.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    small::serve(listener, move |request| answer(node.clone(), request)).await;
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let answered = match request.uri().path() {
        RULES => Ok(full(StatusCode::OK, RMP, node.table().encoded())),
        PING => Ok(rmp(&())),
        FOLLOW => follow(&node, request).await,
        BATCH => batch(&node, request).await,
        WAITS => waits(&node, request).await,
        PREFILL => prefill(&node, request).await,
        PREFILL_END => prefill_end(&node, request).await,
        FREE => free(&node, request).await,
        ROLLOUT => rollout(&node, request).await,
        ROLLOUT_STATE => rollout_state(&node, request).await,
        QUARANTINE => quarantine(&node, request).await,
        PERMIT => permit(&node, request).await,
        LIMITS => limit_news(&node, request).await,
        _ => Err(text(StatusCode::NOT_FOUND, "no such path")),
    };
    answered.unwrap_or_else(|refusal| refusal)
}

/// An answer, or the refusal of what was asked.
type Answered = Result<Response<Body>, Response<Body>>;

/// Reads a peer's message; `otherwise` says what is wrong with anything else.
async fn message<T: DeserializeOwned>(
    request: Request<Incoming>,
    otherwise: &str,
) -> Result<T, Response<Body>> {
    let message = read_rmp(request, MESSAGE_MAX).await;
    message.ok_or_else(|| text(StatusCode::BAD_REQUEST, otherwise))
}

async fn follow(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let epoch = epoch_of(request.headers());
    let ask: FollowAsk = message(request, "not a question for news").await?;
    let answer = watch::answer(node, ask, epoch).await;
    let (epoch, answer) =
        answer.ok_or_else(|| text(StatusCode::SERVICE_UNAVAILABLE, "stopping"))?;
    let mut answer = full(StatusCode::OK, RMP, answer);
    answer.headers_mut().insert(EPOCH, epoch.into());
    Ok(answer)
}

async fn prefill(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let ask = message(request, "not a prompt to be placed").await?;
    Ok(rmp(&node.schedulers.place(node, &ask)))
}

async fn rollout(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let report = message(request, "not a report").await?;
    let answer = rollout::handle_report(node, report);
    let answer = answer.ok_or_else(|| text(StatusCode::NOT_FOUND, "no such order"))?;
    Ok(rmp(&answer))
}

async fn rollout_state(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let RemoteState { order, state } = message(request, "not an order's state").await?;
    let stands = match rollout::write_to_store(node, &order, state).await {
        WriteOutcome::Applied => Some(true),
        WriteOutcome::Conflict => Some(false),
        WriteOutcome::Unknown => None,
    };
    Ok(rmp(&stands))
}

async fn prefill_end(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let end = message(request, "not the end of a prompt").await?;
    node.schedulers.end(end, node.now());
    Ok(rmp(&()))
}

async fn quarantine(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let news = message(request, "not news of requests").await?;
    Ok(rmp_named(&node.quarantine.hear(node, &news)))
}

async fn permit(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let ask = message(request, "not an ask for a permit").await?;
    let answer = limits::answer(node, &ask);
    let answer = answer.ok_or_else(|| text(StatusCode::CONFLICT, "another node comes first"))?;
    Ok(rmp_named(&answer))
}

async fn limit_news(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let news = message(request, "not news of limits").await?;
    limits::take(node, news);
    Ok(rmp_named(&()))
}

async fn free(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let RemoteFree { pool, handles } = message(request, "not results to free").await?;
    node.pools.free(node, &pool, handles);
    Ok(rmp(&()))
}

async fn waits(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let pool: PoolId = message(request, "not a pool of makers").await?;
    if node.is_stopping() || !node.peers.roster(|r| r.coordinates(&pool, node.now())) {
        return Err(text(StatusCode::CONFLICT, "another node comes first"));
    }
    let waits = node.pools.waits(node, &pool);
    let waits = waits.ok_or_else(|| text(StatusCode::NOT_FOUND, "no such stage service"))?;
    Ok(rmp(&waits))
}

async fn batch(node: &Rc<Node>, request: Request<Incoming>) -> Answered {
    let order: BatchOrder = message(request, "not a batch order").await?;
    let stopping = || text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    if node.is_stopping() {
        return Err(stopping());
    }
    match stages::handle_order(node, order).await {
        Ok(answer) => Ok(rmp(&answer)),
        Err(OrderError::HandedOver) if node.is_stopping() => Err(stopping()),
        Err(OrderError::HandedOver) => Err(text(StatusCode::CONFLICT, "another node comes first")),
        Err(OrderError::UnknownService) => {
            Err(text(StatusCode::NOT_FOUND, "no such stage service"))
        }
    }
}
