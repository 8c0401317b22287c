//! Drives the membership machine over UDP, and fetches newer rules that peers announce through it.

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

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 9000;
/// Time that this node's own source has to deliver rules that a peer announced. A relay's link
/// has more capacity than that of any peer, and a follower polls its relay every 100 ms.
const SOURCE_GRACE: Duration = Duration::from_millis(150);

/// Runs membership until the process ends.
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
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let event = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n, from)) => read_packet(from, &buffer[..n]),
                // The ICMP answer of an unreachable peer is reported as an error here.
                Err(_) => None,
            },
            () = node.clock.sleep_until(machine.next_tick()) => Some(MemberEvent::Tick),
            command = commands.recv() => command,
        };
        let Some(event) = event else {
            continue;
        };
        for action in machine.handle_event(node.now(), event) {
            perform(&node, &socket, &mut changes, action).await;
        }
        for (domain, rtt) in machine.take_round_trips() {
            node.peers.roster(|r| r.record_rtt(&domain, rtt));
        }
        update_roster(&node, &mut machine);
        if let Some(change) = changes.take_due(node.now()) {
            log_view(machine.count(), &change);
        }
    }
}

fn read_packet(from: SocketAddr, bytes: &[u8]) -> Option<MemberEvent> {
    let packet = rmp_serde::from_slice::<Packet>(bytes).ok()?;
    Some(MemberEvent::Packet { from, packet })
}

/// Copies the peers that have changed to the roster.
fn update_roster(node: &Node, machine: &mut Member) {
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
                Some(p) => r.upsert(view(p), now),
                None => r.remove(&id),
            }
        }
        r.purge_departed(now);
    });
}

fn log_view(up: usize, change: &ViewChange) {
    let ViewChange { alive, suspected, dead, left, names } = change;
    let (alive, suspected, dead, left) = (*alive, *suspected, *dead, *left);
    Event::View { up, alive, suspected, dead, left, names }.emit();
}

async fn perform(
    node: &Rc<Node>,
    socket: &UdpSocket,
    changes: &mut PendingChanges,
    action: Action,
) {
    match action {
        Action::Send(to, packet) => {
            let bytes = rmp_serde::to_vec(&packet).expect("packets encode");
            if let Some(crossing) = RegionTraffic::to_peer(node, MessageKind::Membership, to) {
                crossing.sent_datagram(bytes.len());
            }
            // Send errors are ignored: the probes of membership tolerate lost datagrams.
            let _ = socket.send_to(&bytes, to).await;
        }
        Action::NewerManifest(number, from) => request_rules(node, number, from),
        Action::Changed(rumor) => {
            changes.record(&rumor.node.id.name, rumor.health, node.now());
            if rumor.health == Health::Left {
                node.peers.roster(|r| r.mark_stopping(&rumor.node.id, node.now()));
            }
        }
        Action::Load(_) => {}
    }
}

/// Fetches a version of the rules from the peer that announced it, unless this node's own source
/// delivers it first or another peer is already being asked for it.
fn request_rules(node: &Rc<Node>, version: u64, from: SocketAddr) {
    if version > node.peers.requested_rules.get() {
        node.peers.requested_rules.set(version);
        tokio::task::spawn_local(fetch_after_grace(node.clone(), version, from));
    }
}

async fn fetch_after_grace(node: Rc<Node>, version: u64, from: SocketAddr) {
    tokio::time::sleep(SOURCE_GRACE).await;
    if node.table().rules.version < version {
        super::fetch_rules(&node, &node.client, from).await;
    }
    // The next peer that announces a version still missing is asked for it.
    node.peers.requested_rules.set(node.table().rules.version);
}
