//! Drives the membership machine over UDP, and fetches newer rules from peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use decide::member::{Action, Event as MemberEvent, Member, Tuning};
use decide::roster::PeerView;
use model::forward::Snapshot;
use model::member::{Health, Node as PeerNode, NodeId, Packet};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::events::Event;
use crate::node::Node;

/// Largest datagram.
const DATAGRAM_MAX: usize = 9000;

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

/// Runs until the process ends.
pub async fn run(
    node: Rc<Node>,
    socket: UdpSocket,
    mut commands: mpsc::UnboundedReceiver<MemberEvent>,
) {
    let s = node.settings();
    let id = NodeId { name: s.name.clone(), start: rand::random::<u64>().max(1) };
    let address = s.peer_address();
    let capacity = s.host.capacity();
    let me = PeerNode { id, address, entry: address, domain: s.domain.clone(), capacity };
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
        let Some(event) = event else {
            continue;
        };
        for action in machine.on(node.now(), event) {
            act(&node, &socket, action).await;
        }
        publish(&node, &machine);
    }
}

fn read_packet(from: SocketAddr, bytes: &[u8]) -> Option<MemberEvent> {
    let packet = rmp_serde::from_slice::<Packet>(bytes).ok()?;
    Some(MemberEvent::Packet { from, packet })
}

fn publish(node: &Node, machine: &Member) {
    let now = node.now();
    let view = |p: &decide::member::Peer| PeerView {
        node: p.node.clone(),
        suspect: p.health == Health::Suspect,
        up: p.uptime(now),
        at: now,
    };
    let up = machine.peers().map(view).collect();
    node.peers.roster(|r| r.update(up, now));
}

async fn act(node: &Rc<Node>, socket: &UdpSocket, action: Action) {
    match action {
        Action::Send(to, packet) => {
            let bytes = rmp_serde::to_vec(&packet).expect("packets encode");
            // A lost datagram is no news; probes are made for it.
            let _ = socket.send_to(&bytes, to).await;
        }
        Action::Heard(number, from) => hear(node, number, from),
        Action::Changed(rumor) => {
            let health = format!("{:?}", rumor.health);
            Event::Peer { name: &rumor.node.id.name, health: &health }.emit();
            if rumor.health == Health::Left {
                node.peers.roster(|r| r.note_stopping(&rumor.node.id, node.now()));
            }
        }
        Action::Load(_) => {}
    }
}

/// A peer has this version of the rules; it is fetched if it is newer and nobody else is
/// asked for it yet.
pub fn hear(node: &Rc<Node>, number: u64, from: SocketAddr) {
    if number > node.peers.fetching.get() {
        node.peers.fetching.set(number);
        tokio::task::spawn_local(fetch(node.clone(), number, from));
    }
}

/// Takes newer rules from a peer, and the targets too if none are known yet.
async fn fetch(node: Rc<Node>, number: u64, from: SocketAddr) {
    if node.table().rules.version < number {
        let answer = super::snapshot(&node, from).await;
        if let Some(snapshot) = answer {
            take(&node, snapshot, &from.to_string());
        }
    }
    // Whoever next tells of a number that is still missing is asked again.
    node.peers.fetching.set(node.table().rules.version);
}

fn take(node: &Node, snapshot: Snapshot, peer: &str) {
    node.adopt(snapshot.rules, peer);
    if !snapshot.targets.is_empty() && !node.knows_targets() {
        node.fleet(|f| f.replace(snapshot.targets, None));
        node.know_targets();
    }
}
