//! Peers: membership over UDP, and a small HTTP server for the other nodes.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use decide::member::{Action, Event as MemberEvent, Member, Tuning};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use model::forward::{BatchOrder, Handle, Snapshot};
use model::member::{Health, Node as PeerNode, NodeId, Packet};
use model::{Name, Time, hash};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use util::http::{Body, read_rmp, rmp, text};

use crate::events::Event;
use crate::node::Node;
use crate::stages::NotMade;

/// Time in which nodes that started together find each other.
const GATHERING: Duration = Duration::from_millis(800);
/// Time after which a node that came counts as settled.
const SETTLED: Duration = Duration::from_secs(3);
/// Path of batch orders.
pub const BATCH: &str = "/v1/batch";
/// Path of results to be freed.
pub const FREE: &str = "/v1/free";
/// Path of a ping.
const PING: &str = "/v1/ping";
/// Time for a ping's answer.
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between pings of one peer while orders wait for it.
const PING_EVERY: Duration = Duration::from_millis(250);
/// Time for which a peer that did not answer is passed over.
const SILENT_KEPT: Duration = Duration::from_millis(1000);
/// Path of rules and targets.
const SNAPSHOT: &str = "/v1/snapshot";
/// Largest message of a peer.
const MESSAGE_MAX: usize = 8 << 20;
/// Largest datagram.
const DATAGRAM_MAX: usize = 9000;
/// Time for a peer to hand over its snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Results that a peer's coordinator made and that are no longer wanted.
#[derive(Debug, Serialize, Deserialize)]
pub struct RemoteFree {
    /// Service.
    pub service: Name,
    /// Results.
    pub handles: Vec<Handle>,
}

/// A peer as the node sees it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Identity and addresses.
    pub node: PeerNode,
    /// A probe of it failed.
    pub suspect: bool,
    /// How long its process had run at `at`.
    pub up: Duration,
    /// When this view was taken.
    pub at: Time,
}

/// When this node last had an answer of a peer, or none.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    answered: Time,
    silent: Option<Time>,
    asking: bool,
}

/// Peers that are up.
#[derive(Default)]
pub struct Peers {
    up: RefCell<Vec<Peer>>,
    stopping: RefCell<HashSet<NodeId>>,
    contacts: RefCell<HashMap<NodeId, Contact>>,
    most: Cell<usize>,
    commands: RefCell<Option<mpsc::UnboundedSender<MemberEvent>>>,
}

impl Peers {
    /// Most nodes seen up together, this one included.
    pub fn most_seen(&self) -> usize {
        self.most.get().max(1)
    }

    /// Nodes up, this one included.
    pub fn count(&self) -> usize {
        self.up.borrow().len() + 1
    }

    /// Whether this start of a peer can be waited for: it is up and not suspected,
    /// or stops as planned and ends what it has begun.
    pub fn is_sound(&self, id: &NodeId) -> bool {
        let sound = self.up.borrow().iter().any(|p| p.node.id == *id && !p.suspect);
        sound || self.stopping.borrow().contains(id)
    }

    /// A peer answered.
    pub fn heard(&self, id: &NodeId, now: Time) {
        let contact = Contact { answered: now, silent: None, asking: false };
        self.contacts.borrow_mut().insert(id.clone(), contact);
    }

    /// Whether a peer was silent a moment ago.
    pub fn is_silent(&self, id: &NodeId, now: Time) -> bool {
        let contacts = self.contacts.borrow();
        let silent = contacts.get(id).and_then(|c| c.silent);
        silent.is_some_and(|at| now.since(at) < SILENT_KEPT)
    }

    /// A peer did not answer.
    pub fn unheard(&self, id: &NodeId, now: Time) {
        let mut contacts = self.contacts.borrow_mut();
        let contact = contacts.entry(id.clone()).or_default();
        contact.silent = Some(now);
        contact.asking = false;
    }

    /// What is known of a peer's answers; marks it as being asked if it is to be.
    fn contact(&self, id: &NodeId, now: Time) -> Known {
        let mut contacts = self.contacts.borrow_mut();
        let contact =
            contacts.entry(id.clone()).or_insert(Contact { answered: now, ..Contact::default() });
        if contact.silent.is_some_and(|at| now.since(at) < SILENT_KEPT) {
            return Known::Silent;
        }
        if contact.asking || now.since(contact.answered) < PING_EVERY {
            return Known::Answers;
        }
        contact.asking = true;
        Known::Nothing
    }

    /// A peer told that it stops and coordinates no more.
    pub fn note_stopping(&self, id: &NodeId) {
        self.stopping.borrow_mut().insert(id.clone());
    }

    /// Nodes in the order in which they coordinate `service`; `None` is this node.
    /// All nodes that agree on the members find the same order.
    ///
    /// Nodes that have just come go behind those that have not, so that a restart moves
    /// the work once and not twice; and one that stops goes last. `now` counts from this node's own start.
    pub fn coordinators(
        &self,
        me: &Name,
        stops: bool,
        service: &str,
        now: Time,
    ) -> Vec<Option<PeerNode>> {
        let key = hash::of(service.as_bytes());
        let score = |name: &Name| hash::mix(key, hash::of(name.as_bytes()));
        let up = self.up.borrow();
        let stopping = self.stopping.borrow();
        let sound = up.iter().filter(|p| !p.suspect && !stopping.contains(&p.node.id));
        let settled = |since: Time, up: Duration| up + now.since(since) >= SETTLED;
        let mut order: Vec<(bool, u64, Option<PeerNode>)> = sound
            .map(|p| (settled(p.at, p.up), score(&p.node.id.name), Some(p.node.clone())))
            .collect();
        order.push((!stops && settled(Time::ZERO, Duration::ZERO), score(me), None));
        if stops {
            // Last of all, also where all are new.
            order.last_mut().expect("just pushed").1 = 0;
        }
        order.sort_by_key(|(settled, score, _)| std::cmp::Reverse((*settled, *score)));
        order.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Whether the nodes that are up may still be finding each other: this one has just
    /// started, and knows none that has been up for longer.
    pub fn are_gathering(&self, now: Time) -> bool {
        let settled = |p: &Peer| p.up + now.since(p.at) >= SETTLED;
        now.since(Time::ZERO) < GATHERING && !self.up.borrow().iter().any(settled)
    }

    /// Whether this node comes first among the coordinators of `service`.
    pub fn coordinates(&self, me: &Name, stops: bool, service: &str, now: Time) -> bool {
        let order = self.coordinators(me, stops, service, now);
        let answers = |c: &Option<PeerNode>| c.as_ref().is_none_or(|p| !self.is_silent(&p.id, now));
        order.into_iter().find(answers).is_none_or(|first| first.is_none())
    }

    /// Tells the peers that this node stops.
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

    fn publish(&self, machine: &Member, now: Time) {
        let view = |p: &decide::member::Peer| Peer {
            node: p.node.clone(),
            suspect: p.health == Health::Suspect,
            up: p.uptime(now),
            at: now,
        };
        let up: Vec<Peer> = machine.peers().map(view).collect();
        self.most.set(self.most.get().max(up.len() + 1));
        *self.up.borrow_mut() = up;
    }
}

/// What is known of a peer's answers.
enum Known {
    Answers,
    Silent,
    Nothing,
}

/// Whether a peer answers, by what is known or else by a ping that all of this node's
/// orders share.
pub async fn answers(node: &Rc<Node>, peer: &PeerNode) -> bool {
    match node.peers.contact(&peer.id, node.now()) {
        Known::Answers => true,
        Known::Silent => false,
        Known::Nothing => {
            let address = peer.entry.to_string();
            let pong = node.client.rmp::<_, ()>(&address, PING, &(), PING_TIMEOUT).await;
            if pong.is_ok() {
                node.peers.heard(&peer.id, node.now());
            } else {
                node.peers.unheard(&peer.id, node.now());
            }
            pong.is_ok()
        }
    }
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
    tokio::task::spawn_local(membership(node.clone(), socket, events));
    tokio::task::spawn_local(serve(node.clone(), listener));
    tokio::task::spawn_local(tell_versions(node.clone()));
    Ok(())
}

fn tuning() -> Tuning {
    Tuning {
        period: Duration::from_millis(400),
        timeout: Duration::from_millis(120),
        suspect: Duration::from_millis(600),
        suspect_most: Duration::from_millis(1200),
        seek: Duration::from_millis(250),
        ..Tuning::default()
    }
}

async fn tell_versions(node: Rc<Node>) {
    let mut versions = node.versions();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.peers.command(MemberEvent::Applied(version));
    }
}

async fn membership(
    node: Rc<Node>,
    socket: UdpSocket,
    mut commands: mpsc::UnboundedReceiver<MemberEvent>,
) {
    let s = node.settings();
    let id = NodeId { name: s.name.clone(), start: rand::random::<u64>().max(1) };
    let address = s.peer_address();
    let me = PeerNode { id, address, entry: address, domain: s.domain.clone() };
    let mut machine = Member::new(me, tuning(), rand::random());
    machine.on(node.now(), MemberEvent::Seeds(s.seed_addresses()));
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        let wake = node.clock.instant(machine.next_tick());
        let event = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n, from)) => read_packet(from, &buffer[..n]),
                // An unreachable peer's ICMP answer shows up here.
                Err(_) => None,
            },
            () = tokio::time::sleep_until(wake) => Some(MemberEvent::Tick),
            command = commands.recv() => command,
        };
        if let Some(event) = event {
            for action in machine.on(node.now(), event) {
                act(&node, &socket, action).await;
            }
            node.peers.publish(&machine, node.now());
        }
    }
}

fn read_packet(from: SocketAddr, bytes: &[u8]) -> Option<MemberEvent> {
    let packet = rmp_serde::from_slice::<Packet>(bytes).ok()?;
    Some(MemberEvent::Packet { from, packet })
}

async fn act(node: &Rc<Node>, socket: &UdpSocket, action: Action) {
    match action {
        Action::Send(to, packet) => {
            let bytes = rmp_serde::to_vec(&packet).expect("packets encode");
            // A lost datagram is no news; probes are made for it.
            let _ = socket.send_to(&bytes, to).await;
        }
        Action::Heard(number, from) => {
            tokio::task::spawn_local(fetch(node.clone(), number, from));
        }
        Action::Changed(rumor) => {
            let health = format!("{:?}", rumor.health);
            Event::Peer { name: &rumor.node.id.name, health: &health }.emit();
            if rumor.health == Health::Left {
                node.peers.note_stopping(&rumor.node.id);
            }
        }
        Action::Load(_) => {}
    }
}

/// Takes newer rules from a peer, and the targets too if none are known yet.
async fn fetch(node: Rc<Node>, number: u64, from: SocketAddr) {
    if node.table().rules.version >= number {
        return;
    }
    let peer = from.to_string();
    let answer: Result<Snapshot, _> = node.client.rmp(&peer, SNAPSHOT, &(), SNAPSHOT_TIMEOUT).await;
    let Ok(snapshot) = answer else {
        return;
    };
    node.adopt(snapshot.rules, &peer);
    if !snapshot.targets.is_empty() && node.fleet(|f| f.is_empty()) {
        let now = node.now();
        node.fleet(|f| f.replace(snapshot.targets, now, true));
        node.know_targets();
    }
}

async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        crate::upstream::guard_socket(&socket);
        let node = node.clone();
        let service = service_fn(move |request| {
            let node = node.clone();
            async move { Ok::<_, Infallible>(answer(node, request).await) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(socket), service);
            // A peer that goes away is no news here; membership notices.
            let _ = connection.await;
        });
    }
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        SNAPSHOT => rmp(&node.snapshot()),
        PING => rmp(&()),
        BATCH => {
            let Some(order) = read_rmp::<BatchOrder>(request, MESSAGE_MAX).await else {
                return text(StatusCode::BAD_REQUEST, "not a batch order");
            };
            if node.is_stopping() {
                return text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
            }
            match node.pools.order(&node, order, false).await {
                Ok(answer) => rmp(&answer),
                Err(NotMade::Moved) if node.is_stopping() => {
                    text(StatusCode::SERVICE_UNAVAILABLE, "stopping")
                }
                Err(NotMade::Moved) => text(StatusCode::CONFLICT, "another node comes first"),
                Err(NotMade::NoService) => text(StatusCode::NOT_FOUND, "no such stage service"),
            }
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
