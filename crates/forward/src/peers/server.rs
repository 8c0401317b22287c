//! HTTP server for the other nodes: batch orders, results to free, rules, targets, permits,
//! reports, pings, and requests of callers at nodes that reach no target.

use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use model::forward::{BatchOrder, FollowAsk, Handle, PoolId, Rollout, RolloutState, StreamRecords};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use util::http::{Body, RMP, full, read_rmp, rmp, rmp_named, text};

use super::{EPOCH, read_epoch};
use crate::ejections;
use crate::ingress::small;
use crate::limits;
use crate::links;
use crate::node::Node;
use crate::rollout::{self, WriteOutcome};
use crate::serve;
use crate::slots;
use crate::stages::{self, OrderError};
use crate::watch;
use crate::work::{OpenWork, WorkStage};

/// Path for batch orders.
pub const BATCH: &str = "/v1/batch";
/// Path for the expected waits of a coordinator's orders.
pub const WAITS: &str = "/v1/waits";
/// Path for results to free.
pub const FREE: &str = "/v1/free";
/// Path for pings.
pub const PING: &str = "/v1/ping";
/// Path for following the state of the targets.
pub const FOLLOW: &str = "/v1/follow";
/// Path for choosing the engine that prefills a prompt.
pub const PREFILL: &str = "/v1/prefill";
/// Path for the ends of prefills.
pub const PREFILL_END: &str = "/v1/prefill-end";
/// Path for a node's evidence on a trial version.
pub const ROLLOUT: &str = "/v1/rollout";
/// Path for rollout states to write to the store.
pub const ROLLOUT_STATE: &str = "/v1/rollout-state";
/// Path for reports of requests under which targets crashed.
pub const QUARANTINE: &str = "/v1/quarantine";
/// Path for permits to send requests to targets with limits.
pub const PERMIT: &str = "/v1/permit";
/// Path for reports of such limits.
pub const LIMITS: &str = "/v1/limits";
/// Path for leases of slots of brittle targets.
pub const SLOT: &str = "/v1/slot";
/// Path for notices of services whose targets are brittle.
pub const BRITTLE: &str = "/v1/brittle";
/// Path for the release of such slots.
pub const SLOT_RELEASE: &str = "/v1/slot-release";
/// Path for reports, queries and announcements of ejected targets.
pub const EJECTIONS: &str = "/v1/ejections";
/// Path for the state of a node's links to the targets.
pub const LINKS: &str = "/v1/links";
/// Path for callers' requests of nodes that reach no target.
pub const PROXY: &str = "/v1/proxy";
/// Path for records of the origins of streams.
pub const STREAM_RECORDS: &str = "/v1/stream-records";
/// Path for questions about the origin of a stream.
pub const STREAM_ORIGIN: &str = "/v1/stream-origin";
/// Path for the rules.
pub const RULES: &str = "/v1/rules";
/// Maximum size of a peer's message in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Results, made on a peer coordinator's order, that are no longer needed.
#[derive(Debug, Serialize, Deserialize)]
pub struct FreeRequest {
    /// Pool of the workers that hold them.
    pub pool: PoolId,
    /// Handles of the results.
    pub handles: Vec<Handle>,
}

/// Rollout state that this node writes for a peer whose calls the store rejects. The answer is
/// whether the state is in force; `None` if the store rejected this node too.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateWrite {
    /// The rollout in the form that the store must still hold.
    pub order: Rollout,
    /// State to write.
    pub state: RolloutState,
}

/// Serves peers until the process ends.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    let handler = {
        let node = node.clone();
        move |request, work| answer(node.clone(), request, work)
    };
    small::serve(node, listener, handler).await;
}

async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
    work: Rc<OpenWork>,
) -> Response<serve::Body> {
    if request.uri().path() == PROXY {
        work.enter(WorkStage::Receiving);
        return serve::handle_proxied(node, request, work).await;
    }
    answer_message(node, request).await.map(|body| {
        let body: serve::Body = Box::pin(body.map_err(|never| match never {}));
        body
    })
}

async fn answer_message(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let result = match request.uri().path() {
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
        LIMITS => limit_report(&node, request).await,
        SLOT => slot(&node, request).await,
        BRITTLE => brittle(&node, request).await,
        SLOT_RELEASE => slot_release(&node, request).await,
        EJECTIONS => ejections(&node, request).await,
        LINKS => links(&node, request).await,
        STREAM_RECORDS => stream_records(&node, request).await,
        STREAM_ORIGIN => stream_origin(&node, request).await,
        _ => Err(text(StatusCode::NOT_FOUND, "no such path")),
    };
    result.unwrap_or_else(|refusal| refusal)
}

/// Answer to a peer, or the error response.
type HandlerResult = Result<Response<Body>, Response<Body>>;

/// Reads a peer's message; `error` is the text of the response if it cannot be decoded.
async fn read_message<T: DeserializeOwned>(
    request: Request<Incoming>,
    error: &str,
) -> Result<T, Response<Body>> {
    let message = read_rmp(request, MAX_MESSAGE_BYTES).await;
    message.ok_or_else(|| text(StatusCode::BAD_REQUEST, error))
}

async fn follow(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let epoch = read_epoch(request.headers());
    let ask: FollowAsk = read_message(request, "not a question for news").await?;
    let answer = watch::answer_follower(node, ask, epoch).await;
    let (epoch, answer) =
        answer.ok_or_else(|| text(StatusCode::SERVICE_UNAVAILABLE, "stopping"))?;
    let mut answer = full(StatusCode::OK, RMP, answer);
    answer.headers_mut().insert(EPOCH, epoch.into());
    Ok(answer)
}

async fn prefill(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let ask = read_message(request, "not a prompt to be placed").await?;
    Ok(rmp(&node.schedulers.place(node, &ask)))
}

async fn rollout(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let report = read_message(request, "not a report").await?;
    let answer = rollout::handle_report(node, report);
    let answer = answer.ok_or_else(|| text(StatusCode::NOT_FOUND, "no such order"))?;
    Ok(rmp(&answer))
}

async fn rollout_state(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let StateWrite { order, state } = read_message(request, "not an order's state").await?;
    let in_force = match rollout::write_to_store(node, &order, state).await {
        WriteOutcome::Applied => Some(true),
        WriteOutcome::Conflict => Some(false),
        WriteOutcome::Unknown => None,
    };
    Ok(rmp(&in_force))
}

async fn prefill_end(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let end = read_message(request, "not the end of a prompt").await?;
    node.schedulers.record_end(end, node.now());
    Ok(rmp(&()))
}

async fn quarantine(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let news = read_message(request, "not news of requests").await?;
    Ok(rmp_named(&node.quarantine.merge_report(node, &news)))
}

async fn permit(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let ask = read_message(request, "not an ask for a permit").await?;
    let answer = limits::handle_permit_request(node, &ask);
    let answer = answer.ok_or_else(|| text(StatusCode::CONFLICT, "another node comes first"))?;
    Ok(rmp_named(&answer))
}

async fn limit_report(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let news = read_message(request, "not news of limits").await?;
    limits::handle_update(node, news);
    Ok(rmp_named(&()))
}

async fn slot(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let ask = read_message(request, "not a request for a slot").await?;
    let answer = slots::handle_request(node, &ask).await;
    let answer = answer.ok_or_else(|| text(StatusCode::CONFLICT, "another node comes first"))?;
    Ok(rmp_named(&answer))
}

async fn brittle(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let notice = read_message(request, "not a notice of brittle targets").await?;
    slots::handle_notice(node, notice);
    Ok(rmp_named(&()))
}

async fn slot_release(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let release = read_message(request, "not the release of a slot").await?;
    slots::handle_release(node, &release);
    Ok(rmp_named(&()))
}

async fn ejections(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let message = read_message(request, "not a message about ejections").await?;
    Ok(rmp_named(&ejections::handle_message(node, message)))
}

async fn links(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let query = read_message(request, "not a question about links").await?;
    Ok(rmp_named(&links::answer_query(node, &query).await))
}

async fn stream_records(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let records: Vec<StreamRecords> = read_message(request, "not records of streams").await?;
    node.streams.handle_records(node, &records);
    Ok(rmp_named(&()))
}

async fn stream_origin(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let query = read_message(request, "not a question about a stream").await?;
    Ok(rmp_named(&node.streams.answer_query(node, &query)))
}

async fn free(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let FreeRequest { pool, handles } = read_message(request, "not results to free").await?;
    node.pools.free(node, &pool, handles);
    Ok(rmp(&()))
}

async fn waits(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let pool: PoolId = read_message(request, "not a pool of makers").await?;
    if node.is_stopping() || !node.peers.roster(|r| r.coordinates(&pool, node.now())) {
        return Err(text(StatusCode::CONFLICT, "another node comes first"));
    }
    let waits = node.pools.waits(node, &pool);
    let waits = waits.ok_or_else(|| text(StatusCode::NOT_FOUND, "no such stage service"))?;
    Ok(rmp(&waits))
}

async fn batch(node: &Rc<Node>, request: Request<Incoming>) -> HandlerResult {
    let order: BatchOrder = read_message(request, "not a batch order").await?;
    let stopping = || text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    if node.is_stopping() {
        return Err(stopping());
    }
    if node.links.is_lost() {
        return Err(text(StatusCode::CONFLICT, "targets are out of reach"));
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
