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

use crate::crossed::{MessageKind, RegionTraffic};
use crate::events::Event;
use crate::limits;
use crate::node::Node;
use crate::quarantine;

pub use resting::Resting;
pub use server::{
    BATCH, FREE, LIMITS, PERMIT, PREFILL, PREFILL_END, QUARANTINE, ROLLOUT, ROLLOUT_STATE,
    RemoteFree, RemoteState, WAITS,
};

/// Header by which nodes tell the epoch of the store that what they know is of.
pub const EPOCH: HeaderName = HeaderName::from_static("pumicevale-epoch");
/// Time to connect to a peer.
pub const CONNECT: Duration = Duration::from_millis(250);
/// Time for a peer to hand over its rules: the largest take a small host's link a second.
const RULES_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a ping's answer: a host whose share of its core is used up gets nothing for up
/// to 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a ping without an answer is sent over a new connection too: most answers
/// between failure domains take a few milliseconds, and a new connection needs a moment.
const PING_AGAIN: Duration = Duration::from_millis(40);
/// Time for which it is remembered that a peer's connections fell silent. Orders that wait
/// on them hear of it within some tens of milliseconds.
const HUNG_KEPT: Duration = Duration::from_secs(10);

/// Peers of a node.
pub struct Peers {
    /// This start of the node.
    pub id: NodeId,
    roster: RefCell<Roster>,
    hung: RefCell<HashMap<NodeId, Time>>,
    fetching: Cell<u64>,
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
            fetching: Cell::new(0),
            commands: RefCell::new(None),
        }
    }

    /// Uses what is believed of peers for a moment.
    pub fn roster<T>(&self, f: impl FnOnce(&mut Roster) -> T) -> T {
        f(&mut self.roster.borrow_mut())
    }

    /// A peer answers over new connections only.
    fn note_hung(&self, id: &NodeId, now: Time) {
        let mut hung = self.hung.borrow_mut();
        hung.retain(|_, at| now.since(*at) < HUNG_KEPT);
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
pub const AT_ONCE: usize = 32;
/// Status of a peer that does not know a path.
const NOT_FOUND: u16 = 404;

/// Whether a peer is of a build that does not know such messages.
pub fn is_unknown(error: &CallError) -> bool {
    error.status() == Some(NOT_FOUND)
}

/// Asks a peer over this node's kept connections.
pub async fn ask<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    peer: SocketAddr,
    path: &str,
    question: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    ask_over(node, &node.client, peer, path, question, timeout).await
}

/// Asks a peer over a client's connections. All that nodes send to each other but datagrams
/// goes through here, where it is counted.
async fn ask_over<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: SocketAddr,
    path: &str,
    question: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    let bytes = rmp_serde::to_vec(question).expect("messages encode");
    send(node, client, peer, path, bytes, timeout).await
}

/// Tells a peer, which may be of another build: fields go by their names.
pub async fn tell<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: SocketAddr,
    path: &str,
    news: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    let bytes = rmp_serde::to_vec_named(news).expect("messages encode");
    send(node, client, peer, path, bytes, timeout).await
}

/// Tells many peers the same; `each` takes what came of it.
pub async fn tell_many<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    to: &[PeerNode],
    path: &str,
    news: &Q,
    timeout: Duration,
    each: impl Fn(&PeerNode, Result<A, CallError>),
) {
    let bytes = rmp_serde::to_vec_named(news).expect("messages encode");
    for some in to.chunks(AT_ONCE) {
        let telling = some.iter().map(|peer| {
            let (bytes, each) = (bytes.clone(), &each);
            async move {
                each(peer, send(node, &node.client, peer.entry, path, bytes, timeout).await);
            }
        });
        join_all(telling).await;
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
    read_rmp_answer(&name, &counted(node, peer, path, sent, call).await?)
}

/// Counts what a call takes to a peer and back.
async fn counted(
    node: &Node,
    peer: SocketAddr,
    path: &str,
    sent: usize,
    call: impl Future<Output = Result<Bytes, CallError>>,
) -> Result<Bytes, CallError> {
    let crossing = RegionTraffic::to_peer(node, kind_of(path), peer);
    if let Some(crossing) = &crossing {
        crossing.sent(sent);
    }
    let answer = call.await?;
    if let Some(crossing) = &crossing {
        crossing.received(answer.len());
    }
    Ok(answer)
}

/// What a question to a peer counts as.
fn kind_of(path: &str) -> MessageKind {
    match path {
        BATCH | WAITS => MessageKind::Order,
        FREE => MessageKind::Free,
        PREFILL | PREFILL_END => MessageKind::Prompt,
        ROLLOUT | ROLLOUT_STATE => MessageKind::Rollout,
        PERMIT | LIMITS => MessageKind::Limit,
        server::PING => MessageKind::Ping,
        _ => MessageKind::Updates,
    }
}

/// Takes a peer's rules if they are newer than this node's.
pub async fn take_rules(node: &Node, client: &Client, peer: SocketAddr) {
    let from = peer.to_string();
    let rules = ask_over::<_, Rules>(node, client, peer, server::RULES, &(), RULES_TIMEOUT);
    match rules.await {
        Ok(rules) => _ = node.adopt_rules(rules, &from),
        Err(e) => log::debug!("rules: {e}"),
    }
}

/// What a peer that is followed knows.
#[derive(Debug)]
pub struct Followed {
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
    question: &FollowAsk,
    epoch: Option<u64>,
    timeout: Duration,
) -> Result<Followed, CallError> {
    let timeouts = match question.at {
        0 => Timeouts { head: timeout, idle: waits::PEER_SLACK, total: waits::SNAPSHOT_TIMEOUT },
        _ => Timeouts { head: timeout, idle: timeout, total: timeout },
    };
    let bytes = rmp_serde::to_vec(question).expect("messages encode");
    let (name, sent) = (peer.to_string(), bytes.len());
    let mut request = Request::post(format!("http://{name}{}", server::FOLLOW))
        .header(header::CONTENT_TYPE, RMP)
        .body(Full::new(Bytes::from(bytes)))
        .expect("address, path and media type are valid");
    request.headers_mut().extend(epoch.map(|epoch| (EPOCH, epoch.into())));
    let mut told = None;
    let call = async {
        let (head, body) = client.send_streamed(&name, request, timeouts).await?.into_parts();
        told = epoch_of(&head.headers);
        Ok(body)
    };
    let answer = counted(node, peer, server::FOLLOW, sent, call).await?;
    Ok(Followed { answer: read_rmp_answer(&name, &answer)?, epoch: told })
}

/// The epoch of the store that a message between nodes tells, if it does.
pub fn epoch_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(EPOCH)?.to_str().ok()?.parse().ok()
}

/// Whether a peer answers, by what is known or else by a ping that all of this node's
/// orders share.
pub async fn answers(node: &Rc<Node>, peer: &PeerNode) -> bool {
    match node.peers.roster(|r| r.reachability(&peer.id, node.now())) {
        Reachability::Responsive => true,
        Reachability::Silent => false,
        Reachability::Unknown => {
            let pong = ping(node, peer.entry).await;
            let now = node.now();
            if pong == Pong::New {
                node.peers.note_hung(&peer.id, now);
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
    let new = tokio::task::spawn_local(ping_again(node.clone(), peer));
    let kept = ask::<_, ()>(node, peer, server::PING, &(), PING_TIMEOUT).await;
    match kept {
        Ok(()) => {
            new.abort();
            Pong::Kept
        }
        Err(e) if e.kind == CallKind::Timeout && new.await.unwrap_or(false) => Pong::New,
        Err(_) => Pong::None,
    }
}

async fn ping_again(node: Rc<Node>, peer: SocketAddr) -> bool {
    tokio::time::sleep(PING_AGAIN).await;
    let left = PING_TIMEOUT - PING_AGAIN;
    let client = Client::new(left);
    ask_over::<_, ()>(&node, &client, peer, server::PING, &(), left).await.is_ok()
}

/// Asks peers at once whether they are there, and waits for their answers.
pub async fn ask_all(node: &Rc<Node>, peers: &[PeerNode]) {
    join_all(peers.iter().map(|p| answers(node, p))).await;
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
    tokio::task::spawn_local(tell_versions(node.clone()));
    quarantine::start(node);
    limits::start(node);
    Ok(())
}

async fn tell_versions(node: Rc<Node>) {
    let mut versions = node.subscribe_version();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.peers.command(MemberEvent::Applied(version));
    }
}
