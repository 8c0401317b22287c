//! Peers: membership over UDP, a small HTTP server for the other nodes, and what this
//! node believes of them.

mod membership;
mod server;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use decide::member::Event as MemberEvent;
use decide::roster::{Contact, Roster};
use futures_util::future::join_all;
use model::Name;
use model::forward::{FollowAnswer, FollowAsk, Rules};
use model::member::Node as PeerNode;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use util::http::{CallError, Client};

use crate::node::Node;

pub use server::{BATCH, FREE, PREFILL, PREFILL_END, RemoteFree};

/// Time for a peer to hand over its rules: the largest take a small host's link a second.
const RULES_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a ping's answer: a host whose share of its core is used up gets nothing for up
/// to 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(150);

/// Peers of a node.
pub struct Peers {
    roster: RefCell<Roster>,
    fetching: Cell<u64>,
    commands: RefCell<Option<mpsc::UnboundedSender<MemberEvent>>>,
}

impl Peers {
    /// Nobody is known yet.
    pub fn new(me: Name, domain: Name, capacity: u8) -> Self {
        Peers {
            roster: RefCell::new(Roster::new(me, domain, capacity)),
            fetching: Cell::new(0),
            commands: RefCell::new(None),
        }
    }

    /// Uses what is believed of peers for a moment.
    pub fn roster<T>(&self, f: impl FnOnce(&mut Roster) -> T) -> T {
        f(&mut self.roster.borrow_mut())
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

/// Takes a peer's rules if they are newer than this node's.
pub async fn take_rules(node: &Node, client: &Client, peer: SocketAddr) {
    let from = peer.to_string();
    match client.rmp::<_, Rules>(&from, server::RULES, &(), RULES_TIMEOUT).await {
        Ok(rules) => _ = node.adopt(rules, &from),
        Err(e) => log::debug!("rules: {e}"),
    }
}

/// What a peer knows of the targets.
pub async fn follow(
    client: &Client,
    peer: SocketAddr,
    ask: &FollowAsk,
    timeout: Duration,
) -> Result<FollowAnswer, CallError> {
    client.rmp(&peer.to_string(), server::FOLLOW, ask, timeout).await
}

/// Whether a peer answers, by what is known or else by a ping that all of this node's
/// orders share.
pub async fn answers(node: &Rc<Node>, peer: &PeerNode) -> bool {
    match node.peers.roster(|r| r.contact(&peer.id, node.now())) {
        Contact::Answers => true,
        Contact::Silent => false,
        Contact::Unknown => {
            let address = peer.entry.to_string();
            let pong = node.client.rmp::<_, ()>(&address, server::PING, &(), PING_TIMEOUT).await;
            let now = node.now();
            match &pong {
                Ok(()) => node.peers.roster(|r| r.answered(&peer.id, now)),
                Err(_) => node.peers.roster(|r| r.silent(&peer.id, now)),
            }
            pong.is_ok()
        }
    }
}

/// Asks peers at once whether they are there, and waits for their answers.
pub async fn ask_all(node: &Rc<Node>, peers: &[PeerNode]) {
    join_all(peers.iter().map(|p| answers(node, p))).await;
}

/// Starts membership and the server for peers.
pub async fn start(node: &Rc<Node>) -> anyhow::Result<()> {
    let address = node.settings().peer_address();
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("could not take UDP port {address}"))?;
    let listener = crate::ingress::listen(address)?;
    let (commands, events) = mpsc::unbounded_channel();
    *node.peers.commands.borrow_mut() = Some(commands);
    tokio::task::spawn_local(membership::run(node.clone(), socket, events));
    tokio::task::spawn_local(server::run(node.clone(), listener));
    tokio::task::spawn_local(tell_versions(node.clone()));
    Ok(())
}

async fn tell_versions(node: Rc<Node>) {
    let mut versions = node.versions();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.peers.command(MemberEvent::Applied(version));
    }
}
