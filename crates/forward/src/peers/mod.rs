//! Peers: membership over UDP, a small HTTP server for the other nodes, and this node's view of
//! their health.

mod membership;
mod resting;
mod server;
mod unsupported;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use decide::fleet::Regions;
use decide::member::Event as MemberEvent;
use decide::relay::waits;
use decide::roster::{Reachability, Roster};
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Request};
use model::forward::{FollowAnswer, FollowAsk, Rules};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use util::http::{CallError, CallKind, Client, RMP, Timeouts, read_rmp_answer};

use crate::crossed::{MessageKind, RegionTraffic};
use crate::events::Event;
use crate::limits;
use crate::links;
use crate::node::Node;
use crate::quarantine;

pub use resting::PeerBackoff;
pub use server::{
    BATCH, BRITTLE, EJECTIONS, FREE, FreeRequest, LIMITS, LINKS, PERMIT, PREFILL, PREFILL_END,
    PROXY, QUARANTINE, ROLLOUT, ROLLOUT_STATE, SLOT, SLOT_RELEASE, STREAM_ORIGIN, STREAM_RECORDS,
    StateWrite, WAITS,
};
pub use unsupported::UnsupportedPeers;

/// Header that carries the epoch of the store from which a node's state was read.
pub const EPOCH: HeaderName = HeaderName::from_static("pumicevale-epoch");
/// Timeout for connecting to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a keeper that did not respond is not asked again.
const KEEPER_BACKOFF: Duration = Duration::from_millis(300);
/// Timeout for fetching a peer's rules: the largest take a second over a small host's link.
const RULES_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout for a ping's answer: a host that has used up its CPU share can be throttled for up to
/// 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before an unanswered ping is also sent over a new connection: most answers between
/// failure domains take a few milliseconds, and connecting takes part of `PING_TIMEOUT`.
const PING_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Retention of the record that a peer's connections fell silent. Orders that wait on them read
/// it within some tens of milliseconds.
const HUNG_RETENTION: Duration = Duration::from_secs(10);

/// Roster of a node's peers, and the state of the connections to them.
pub struct Peers {
    /// Id of this node, which changes at each start.
    pub id: NodeId,
    roster: RefCell<Roster>,
    hung: RefCell<HashMap<NodeId, Time>>,
    requested_rules: Cell<u64>,
    commands: RefCell<Option<mpsc::UnboundedSender<MemberEvent>>>,
}

impl Peers {
    /// Starts with an empty roster.
    pub fn new(me: Name, domain: Name, capacity: u8, regions: Regions) -> Self {
        let id = NodeId { name: me.clone(), start: rand::random::<u64>().max(1) };
        let mut roster = Roster::new(me, domain, capacity);
        roster.set_regions(regions);
        Peers {
            id,
            roster: RefCell::new(roster),
            hung: RefCell::default(),
            requested_rules: Cell::new(0),
            commands: RefCell::new(None),
        }
    }

    /// Runs `f` on the roster.
    pub fn roster<T>(&self, f: impl FnOnce(&mut Roster) -> T) -> T {
        f(&mut self.roster.borrow_mut())
    }

    /// Records that a peer answers over new connections only.
    fn record_hung(&self, id: &NodeId, now: Time) {
        let mut hung = self.hung.borrow_mut();
        hung.retain(|_, at| now.since(*at) < HUNG_RETENTION);
        hung.insert(id.clone(), now);
    }

    /// Whether connections to a peer that were open at `since` have fallen silent.
    pub fn is_hung(&self, id: &NodeId, since: Time) -> bool {
        self.hung.borrow().get(id).is_some_and(|at| *at >= since)
    }

    /// Announces to the peers that this node leaves.
    pub fn leave(&self) {
        self.command(MemberEvent::Leave);
    }

    /// Replaces the addresses through which peers are discovered.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.command(MemberEvent::Seeds(seeds));
    }

    fn command(&self, event: MemberEvent) {
        if let Some(commands) = &*self.commands.borrow() {
            let _ = commands.send(event);
        }
    }
}

/// Maximum number of reports of one kind in flight.
pub const MAX_CONCURRENT_SENDS: usize = 32;
/// Status returned by a peer that does not know a path.
const NOT_FOUND: u16 = 404;

/// Whether a call failed because the peer's build does not support its path.
pub fn is_unsupported(error: &CallError) -> bool {
    error.status() == Some(NOT_FOUND)
}

/// Calls a peer over this node's pooled connections. Fields are encoded by position.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    peer: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    call_with(node, &node.client, peer, path, message, timeout).await
}

/// Calls a peer over the connections of `client`. Fields are encoded by position.
async fn call_with<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    let bytes = rmp_serde::to_vec(message).expect("messages encode");
    send(node, client, peer, path, bytes, timeout).await
}

/// Calls a peer with fields encoded by name, so that it may run another build.
pub async fn call_named<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    let bytes = rmp_serde::to_vec_named(message).expect("messages encode");
    send(node, client, peer, path, bytes, timeout).await
}

/// Calls the keeper of a target; one that does not respond is backed off.
pub async fn call_keeper<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    unresponsive: &PeerBackoff,
    keeper: &PeerNode,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    // A pooled connection may be dead after a timeout.
    let fresh = unresponsive.failed_recently(&keeper.id, node.now()).then(|| Client::new(timeout));
    let client = fresh.as_ref().unwrap_or(&node.client);
    let answer = call_named(node, client, keeper.entry, path, message, timeout).await;
    match &answer {
        Err(e) if e.status().is_none() => {
            unresponsive.record_failure(&keeper.id, KEEPER_BACKOFF, node.now())
        }
        _ => unresponsive.record_answer(&keeper.id),
    }
    answer
}

/// Sends the same message to many peers, with fields encoded by name; `each` receives each result.
pub async fn broadcast<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    to: &[PeerNode],
    path: &str,
    message: &Q,
    timeout: Duration,
    each: impl Fn(&PeerNode, Result<A, CallError>),
) {
    let bytes = rmp_serde::to_vec_named(message).expect("messages encode");
    for chunk in to.chunks(MAX_CONCURRENT_SENDS) {
        let calls = chunk.iter().map(|peer| {
            let (bytes, each) = (bytes.clone(), &each);
            async move {
                each(peer, send(node, &node.client, peer.entry, path, bytes, timeout).await);
            }
        });
        join_all(calls).await;
    }
}

async fn send<A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: SocketAddr,
    path: &str,
    bytes: Vec<u8>,
    timeout: Duration,
) -> Result<A, CallError> {
    let (name, sent) = (peer.to_string(), bytes.len());
    let call = client.rmp_bytes(&name, path, bytes, timeout);
    read_rmp_answer(&name, &metered(node, peer, path, sent, call).await?)
}

/// Counts the bytes of a call and its answer. Everything that nodes send to each other, except
/// datagrams, passes through here.
async fn metered(
    node: &Node,
    peer: SocketAddr,
    path: &str,
    sent: usize,
    call: impl Future<Output = Result<Bytes, CallError>>,
) -> Result<Bytes, CallError> {
    let crossing = RegionTraffic::to_peer(node, traffic_kind(path), peer);
    if let Some(crossing) = &crossing {
        crossing.sent(sent);
    }
    let answer = call.await?;
    if let Some(crossing) = &crossing {
        crossing.received(answer.len());
    }
    Ok(answer)
}

/// Kind of traffic that a path is counted as.
fn traffic_kind(path: &str) -> MessageKind {
    match path {
        BATCH | WAITS => MessageKind::Order,
        FREE => MessageKind::Free,
        PREFILL | PREFILL_END => MessageKind::Prompt,
        ROLLOUT | ROLLOUT_STATE => MessageKind::Rollout,
        PERMIT | LIMITS | SLOT | SLOT_RELEASE | BRITTLE => MessageKind::Limit,
        server::PING => MessageKind::Ping,
        _ => MessageKind::Updates,
    }
}

/// Fetches a peer's rules, and adopts them if they are newer than this node's.
pub async fn fetch_rules(node: &Node, client: &Client, peer: SocketAddr) {
    let from = peer.to_string();
    let rules = call_with::<_, Rules>(node, client, peer, server::RULES, &(), RULES_TIMEOUT);
    match rules.await {
        Ok(rules) => _ = node.adopt_rules(rules, &from),
        Err(e) => log::debug!("rules: {e}"),
    }
}

/// Response of a peer that this node follows.
#[derive(Debug)]
pub struct FollowResponse {
    /// The peer's state, or its changes since the last answer.
    pub answer: FollowAnswer,
    /// Epoch of the store that the answer belongs to; `None` if the peer's build does not send it.
    pub epoch: Option<u64>,
}

/// Follows a peer's state of the targets, and sends it the epoch of this node's state. `timeout`
/// limits the wait for changes; a full list may take longer while data keeps arriving.
pub async fn follow(
    node: &Node,
    client: &Client,
    peer: SocketAddr,
    ask: &FollowAsk,
    epoch: Option<u64>,
    timeout: Duration,
) -> Result<FollowResponse, CallError> {
    let timeouts = match ask.at {
        0 => Timeouts { head: timeout, idle: waits::PEER_SLACK, total: waits::SNAPSHOT_TIMEOUT },
        _ => Timeouts { head: timeout, idle: timeout, total: timeout },
    };
    let bytes = rmp_serde::to_vec(ask).expect("messages encode");
    let (name, sent) = (peer.to_string(), bytes.len());
    let mut request = Request::post(format!("http://{name}{}", server::FOLLOW))
        .header(header::CONTENT_TYPE, RMP)
        .body(Full::new(Bytes::from(bytes)))
        .expect("address, path and media type are valid");
    request.headers_mut().extend(epoch.map(|epoch| (EPOCH, epoch.into())));
    let mut peer_epoch = None;
    let call = async {
        let (head, body) = client.send_streamed(&name, request, timeouts).await?.into_parts();
        peer_epoch = read_epoch(&head.headers);
        Ok(body)
    };
    let answer = metered(node, peer, server::FOLLOW, sent, call).await?;
    Ok(FollowResponse { answer: read_rmp_answer(&name, &answer)?, epoch: peer_epoch })
}

/// Reads the epoch of the store from the headers of a message between nodes.
pub fn read_epoch(headers: &HeaderMap) -> Option<u64> {
    headers.get(EPOCH)?.to_str().ok()?.parse().ok()
}

/// Whether a peer is responsive. If the roster cannot tell, the peer is pinged, and the result is
/// recorded there for all orders of this node.
pub async fn is_responsive(node: &Rc<Node>, peer: &PeerNode) -> bool {
    match node.peers.roster(|r| r.reachability(&peer.id, node.now())) {
        Reachability::Responsive => true,
        Reachability::Silent => false,
        Reachability::Unknown => {
            let pong = ping(node, peer.entry).await;
            let now = node.now();
            if pong == Pong::New {
                node.peers.record_hung(&peer.id, now);
                Event::Hung { peer: &peer.id.name }.emit();
            }
            let is_responsive = pong != Pong::None || node.is_late();
            node.peers.roster(|r| match pong {
                Pong::None if is_responsive => r.excuse_silence(&peer.id, now),
                Pong::None => r.mark_silent(&peer.id, now),
                Pong::Kept | Pong::New => r.mark_answered(&peer.id, now),
            });
            is_responsive
        }
    }
}

/// Connection over which a peer answered a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pong {
    /// A pooled connection.
    Kept,
    /// A new connection only: the pooled ones have fallen silent.
    New,
    /// No connection.
    None,
}

/// Pings a peer over a pooled connection, and after `PING_RETRY_DELAY` over a new one as well.
async fn ping(node: &Rc<Node>, peer: SocketAddr) -> Pong {
    let new = tokio::task::spawn_local(ping_new_connection(node.clone(), peer));
    let kept = call::<_, ()>(node, peer, server::PING, &(), node.stretched(PING_TIMEOUT)).await;
    match kept {
        Ok(()) => {
            new.abort();
            Pong::Kept
        }
        Err(e) if e.kind == CallKind::Timeout && new.await.unwrap_or(false) => Pong::New,
        Err(_) => Pong::None,
    }
}

async fn ping_new_connection(node: Rc<Node>, peer: SocketAddr) -> bool {
    let remaining = PING_TIMEOUT - PING_RETRY_DELAY;
    tokio::time::sleep(node.stretched(PING_RETRY_DELAY)).await;
    let client = Client::new(remaining);
    call_with::<_, ()>(&node, &client, peer, server::PING, &(), remaining).await.is_ok()
}

/// Checks concurrently whether peers are responsive, and waits for all results.
pub async fn ping_all(node: &Rc<Node>, peers: &[PeerNode]) {
    join_all(peers.iter().map(|p| is_responsive(node, p))).await;
}

/// Starts membership, the server for peers, and the reports to peers.
pub async fn start(node: &Rc<Node>) -> anyhow::Result<()> {
    let address = node.settings().bind_address();
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("could not bind UDP address {address}"))?;
    let listener = crate::ingress::listen(address)?;
    let (commands, events) = mpsc::unbounded_channel();
    *node.peers.commands.borrow_mut() = Some(commands);
    tokio::task::spawn_local(membership::run(node.clone(), socket, events));
    tokio::task::spawn_local(server::run(node.clone(), listener));
    tokio::task::spawn_local(announce_versions(node.clone()));
    quarantine::start(node);
    limits::start(node);
    links::start(node);
    Ok(())
}

async fn announce_versions(node: Rc<Node>) {
    let mut versions = node.subscribe_version();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.peers.command(MemberEvent::Applied(version));
    }
}
