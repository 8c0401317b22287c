//! Peers: membership over UDP, a small HTTP server for the other nodes, and what this
//! node believes of them.

mod membership;
mod resting;
mod server;

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

use crate::crossed::{Crossing, Kind};
use crate::events::Event;
use crate::limits;
use crate::node::Node;
use crate::quarantine;

pub use resting::PeerBackoff;
pub use server::{
    BATCH, FREE, FreeRequest, LIMITS, PERMIT, PREFILL, PREFILL_END, QUARANTINE, ROLLOUT,
    ROLLOUT_STATE, StateWrite, WAITS,
};

/// Header by which nodes tell the epoch of the store that what they know is of.
pub const EPOCH: HeaderName = HeaderName::from_static("pumicevale-epoch");
/// Time to connect to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a peer to hand over its rules: the largest take a small host's link a second.
const RULES_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a ping's answer: a host whose share of its core is used up gets nothing for up
/// to 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a ping without an answer is sent over a new connection too: most answers
/// between failure domains take a few milliseconds, and a new connection needs a moment.
const PING_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time for which it is remembered that a peer's connections fell silent. Orders that wait
/// on them hear of it within some tens of milliseconds.
const HUNG_RETENTION: Duration = Duration::from_secs(10);

/// Peers of a node.
pub struct Peers {
    /// This start of the node.
    pub id: NodeId,
    roster: RefCell<Roster>,
    hung: RefCell<HashMap<NodeId, Time>>,
    requested_rules: Cell<u64>,
    commands: RefCell<Option<mpsc::UnboundedSender<MemberEvent>>>,
}

impl Peers {
    /// Nobody is known yet.
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

    /// Uses what is believed of peers for a moment.
    pub fn roster<T>(&self, f: impl FnOnce(&mut Roster) -> T) -> T {
        f(&mut self.roster.borrow_mut())
    }

    /// A peer answers over new connections only.
    fn record_hung(&self, id: &NodeId, now: Time) {
        let mut hung = self.hung.borrow_mut();
        hung.retain(|_, at| now.since(*at) < HUNG_RETENTION);
        hung.insert(id.clone(), now);
    }

    /// Whether connections to a peer that were open at `since` have fallen silent.
    pub fn is_hung(&self, id: &NodeId, since: Time) -> bool {
        self.hung.borrow().get(id).is_some_and(|at| *at >= since)
    }

    /// Tells the peers that this node is gone.
    pub fn leave(&self) {
        self.command(MemberEvent::Leave);
    }

    /// Addresses at which peers may be found have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.command(MemberEvent::Seeds(seeds));
    }

    fn command(&self, event: MemberEvent) {
        if let Some(commands) = &*self.commands.borrow() {
            let _ = commands.send(event);
        }
    }
}

/// Messages of one kind of news under way at once.
pub const MAX_CONCURRENT_SENDS: usize = 32;
/// Status of a peer that does not know a path.
const NOT_FOUND: u16 = 404;

/// Whether a peer is of a build that does not know such messages.
pub fn is_unsupported(error: &CallError) -> bool {
    error.status() == Some(NOT_FOUND)
}

/// Asks a peer over this node's kept connections.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    peer: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    call_with(node, &node.client, peer, path, message, timeout).await
}

/// Asks a peer over a client's connections. All that nodes send to each other but datagrams
/// goes through here, where it is counted.
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

/// Tells a peer, which may be of another build: fields go by their names.
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

/// Tells many peers the same; `each` takes what came of it.
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

/// Counts what a call takes to a peer and back.
async fn metered(
    node: &Node,
    peer: SocketAddr,
    path: &str,
    sent: usize,
    call: impl Future<Output = Result<Bytes, CallError>>,
) -> Result<Bytes, CallError> {
    let crossing = Crossing::to_peer(node, traffic_kind(path), peer);
    if let Some(crossing) = &crossing {
        crossing.sent(sent);
    }
    let answer = call.await?;
    if let Some(crossing) = &crossing {
        crossing.got(answer.len());
    }
    Ok(answer)
}

/// What a question to a peer counts as.
fn traffic_kind(path: &str) -> Kind {
    match path {
        BATCH | WAITS => Kind::Order,
        FREE => Kind::Free,
        PREFILL | PREFILL_END => Kind::Prompt,
        ROLLOUT | ROLLOUT_STATE => Kind::Rollout,
        PERMIT | LIMITS => Kind::Limit,
        server::PING => Kind::Ping,
        _ => Kind::News,
    }
}

/// Takes a peer's rules if they are newer than this node's.
pub async fn fetch_rules(node: &Node, client: &Client, peer: SocketAddr) {
    let from = peer.to_string();
    let rules = call_with::<_, Rules>(node, client, peer, server::RULES, &(), RULES_TIMEOUT);
    match rules.await {
        Ok(rules) => _ = node.adopt(rules, &from),
        Err(e) => log::debug!("rules: {e}"),
    }
}

/// What a peer that is followed knows.
#[derive(Debug)]
pub struct FollowResponse {
    /// Its answer.
    pub answer: FollowAnswer,
    /// Epoch of the store that it knows this of; `None` if its build does not tell.
    pub epoch: Option<u64>,
}

/// What a peer knows of the targets, within this time, whom this node tells the epoch of what it
/// knows; a whole list is waited for as long as it comes.
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

/// The epoch of the store that a message between nodes tells, if it does.
pub fn read_epoch(headers: &HeaderMap) -> Option<u64> {
    headers.get(EPOCH)?.to_str().ok()?.parse().ok()
}

/// Whether a peer answers, by what is known or else by a ping that all of this node's
/// orders share.
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
            match pong {
                Pong::None => node.peers.roster(|r| r.mark_silent(&peer.id, now)),
                Pong::Kept | Pong::New => node.peers.roster(|r| r.mark_answered(&peer.id, now)),
            }
            pong != Pong::None
        }
    }
}

/// Over which connection a peer answered a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pong {
    /// A kept one.
    Kept,
    /// Only a new one: kept ones have fallen silent.
    New,
    /// None.
    None,
}

/// Pings a peer over a kept connection, and soon over a new one as well.
async fn ping(node: &Rc<Node>, peer: SocketAddr) -> Pong {
    let new = tokio::task::spawn_local(ping_new_connection(node.clone(), peer));
    let kept = call::<_, ()>(node, peer, server::PING, &(), PING_TIMEOUT).await;
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
    tokio::time::sleep(PING_RETRY_DELAY).await;
    let remaining = PING_TIMEOUT - PING_RETRY_DELAY;
    let client = Client::new(remaining);
    call_with::<_, ()>(&node, &client, peer, server::PING, &(), remaining).await.is_ok()
}

/// Asks peers at once whether they are there, and waits for their answers.
pub async fn ping_all(node: &Rc<Node>, peers: &[PeerNode]) {
    join_all(peers.iter().map(|p| is_responsive(node, p))).await;
}

/// Starts membership and the server for peers.
pub async fn start(node: &Rc<Node>) -> anyhow::Result<()> {
    let address = node.settings().bind_address();
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("could not take UDP port {address}"))?;
    let listener = crate::ingress::listen(address)?;
    let (commands, events) = mpsc::unbounded_channel();
    *node.peers.commands.borrow_mut() = Some(commands);
    tokio::task::spawn_local(membership::run(node.clone(), socket, events));
    tokio::task::spawn_local(server::run(node.clone(), listener));
    tokio::task::spawn_local(announce_versions(node.clone()));
    quarantine::start(node);
    limits::start(node);
    Ok(())
}

async fn announce_versions(node: Rc<Node>) {
    let mut versions = node.versions();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.peers.command(MemberEvent::Applied(version));
    }
}
