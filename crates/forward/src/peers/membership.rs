//! Drives the membership machine over UDP, and takes newer rules that it hears of.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use decide::member::{Action, Event as MemberEvent, Member, Tuning};
use decide::roster::{PeerView, PendingChanges, ViewChange};
use model::member::{Health, Node as PeerNode, Packet};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::crossed::{MessageKind, RegionTraffic};
use crate::events::Event;
use crate::node::Node;

/// Largest datagram.
const DATAGRAM_MAX: usize = 9000;
/// Time that a node's own source has to bring rules of which a peer told: a relay's link
/// bears more than that of any peer, and a follower asks it each 100 ms.
const SOURCE_FIRST: Duration = Duration::from_millis(150);

/// Runs until the process ends.
pub async fn run(
    node: Rc<Node>,
    socket: UdpSocket,
    mut commands: mpsc::UnboundedReceiver<MemberEvent>,
) {
    let s = node.settings();
    let id = node.peers.id.clone();
    let address = s.peer_address();
    let capacity = s.host.capacity();
    let me = PeerNode { id, address, entry: address, domain: s.domain.clone(), capacity };
    let mut machine = Member::new(me, Tuning::for_serving_nodes(), rand::random());
    machine.handle_event(node.now(), MemberEvent::Seeds(s.seed_addresses()));
    let mut changes = PendingChanges::default();
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        let event = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n, from)) => read_packet(from, &buffer[..n]),
                // An unreachable peer's ICMP answer shows up here.
                Err(_) => None,
            },
            () = node.clock.sleep_until(machine.next_tick()) => Some(MemberEvent::Tick),
            command = commands.recv() => command,
        };
        let Some(event) = event else {
            continue;
        };
        for action in machine.handle_event(node.now(), event) {
            act(&node, &socket, &mut changes, action).await;
        }
        for (domain, took) in machine.take_round_trips() {
            node.peers.roster(|r| r.record_rtt(&domain, took));
        }
        publish(&node, &mut machine);
        if let Some(change) = changes.take_due(node.now()) {
            tell(machine.count(), &change);
        }
    }
}

fn read_packet(from: SocketAddr, bytes: &[u8]) -> Option<MemberEvent> {
    let packet = rmp_serde::from_slice::<Packet>(bytes).ok()?;
    Some(MemberEvent::Packet { from, packet })
}

/// Tells the roster which peers have changed.
fn publish(node: &Node, machine: &mut Member) {
    let now = node.now();
    let changed = machine.take_changed();
    let view = |p: &decide::member::Peer| PeerView {
        node: p.node.clone(),
        suspect: p.health == Health::Suspect,
        up: p.uptime(now),
        at: now,
    };
    node.peers.roster(|r| {
        for id in changed {
            match machine.peer(&id) {
                Some(p) => r.put(view(p), now),
                None => r.remove(&id),
            }
        }
        r.purge_departed(now);
    });
}

fn tell(up: usize, change: &ViewChange) {
    let ViewChange { alive, suspected, dead, left, names } = change;
    let (alive, suspected, dead, left) = (*alive, *suspected, *dead, *left);
    Event::View { up, alive, suspected, dead, left, names }.emit();
}

async fn act(node: &Rc<Node>, socket: &UdpSocket, changes: &mut PendingChanges, action: Action) {
    match action {
        Action::Send(to, packet) => {
            let bytes = rmp_serde::to_vec(&packet).expect("packets encode");
            if let Some(crossing) = RegionTraffic::to_peer(node, MessageKind::Membership, to) {
                crossing.sent_datagram(bytes.len());
            }
            // A lost datagram is no news; probes are made for it.
            let _ = socket.send_to(&bytes, to).await;
        }
        Action::NewerManifest(number, from) => hear(node, number, from),
        Action::Changed(rumor) => {
            changes.note(&rumor.node.id.name, rumor.health, node.now());
            if rumor.health == Health::Left {
                node.peers.roster(|r| r.note_stopping(&rumor.node.id, node.now()));
            }
        }
        Action::Load(_) => {}
    }
}

/// A peer has this version of the rules. It is asked for them if they do not come from
/// where this node reads them, and nobody else is asked yet.
fn hear(node: &Rc<Node>, number: u64, from: SocketAddr) {
    if number > node.peers.fetching.get() {
        node.peers.fetching.set(number);
        tokio::task::spawn_local(fetch(node.clone(), number, from));
    }
}

async fn fetch(node: Rc<Node>, number: u64, from: SocketAddr) {
    tokio::time::sleep(SOURCE_FIRST).await;
    if node.table().rules.version < number {
        super::take_rules(&node, &node.client, from).await;
    }
    // Whoever next tells of a number that is still missing is asked again.
    node.peers.fetching.set(node.table().rules.version);
}
