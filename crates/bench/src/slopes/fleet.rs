//! Work per decision by fleet size: workers that a batch coordinator visits for an order, and peers
//! that a node visits to look up who has a role.

use std::net::SocketAddr;
use std::time::Duration;

use decide::batch::{Action, Call, CallEnd, Coordinator, Event, WorkerFeed};
use decide::fleet::{Fleet, Regions};
use decide::region::Map;
use decide::roster::{PeerView, Roster};
use model::forward::{
    Allowed, BatchOrder, Handle, PieceOrder, PieceResult, Policy, PoolId, Rank, StageInput,
    StagePool, Target,
};
use model::member::{Node, NodeId};
use model::{Name, Time};

use super::{Figure, counted};

/// Fleet sizes in nodes.
pub const FLEET_SIZES: [usize; 4] = [30, 300, 1000, 2000];
/// Workers of one stage service per node.
const WORKERS_PER_NODE: f64 = 1.5;
/// Number of failure domains.
const DOMAINS: usize = 5;
/// One host in this many is a hub, which has more capacity.
const NODES_PER_HUB: usize = 20;
/// Measured orders, and rounds of lookups.
const ROUNDS: u64 = 500;
/// Time between two orders, in milliseconds.
const ORDER_INTERVAL_MS: u64 = 4;

/// All figures of a fleet with this many nodes.
pub fn measure(nodes: usize) -> Vec<Figure> {
    let workers = (nodes as f64 * WORKERS_PER_NODE) as usize;
    vec![
        counted("makers looked at per order, by nodes", nodes, visits_per_order(workers)),
        counted("peers looked at per question, by nodes", nodes, visits_per_lookup(nodes)),
    ]
}

fn domain(i: usize) -> Name {
    format!("d{}", i % DOMAINS).into()
}

fn worker(name: &str, i: usize) -> Target {
    Target {
        id: name.into(),
        service: "encode".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: domain(i),
        version: "v1".into(),
        slots: 1,
        draining: false,
        cold_ms: 0,
        revision: 0,
    }
}

fn order() -> BatchOrder {
    BatchOrder {
        service: "encode".into(),
        attempt: "r".into(),
        stage: 0,
        pieces: 2,
        input: StageInput::Key("key".into()),
        slack_ms: 2000,
        left_ms: 8000,
        rank: Rank::new(None, 1),
        allowed: Allowed::ANY,
        region: None,
        spilled: false,
        near: None,
        moved_bytes: 0,
        spread_bytes: 0,
        result_bytes: 1000,
        skipped: Vec::new(),
        passed_on: false,
    }
}

/// Answer to a call with a result for every piece.
fn successful_end(call: &Call) -> CallEnd {
    let result = |p: &PieceOrder| {
        let text = format!("{}/{}", p.piece, call.number);
        PieceResult::Made(Handle { maker: call.worker.clone(), text })
    };
    CallEnd::Answered(call.pieces.iter().map(result).collect())
}

/// Workers that a coordinator visits per order, while one worker is replaced every ten orders.
fn visits_per_order(workers: usize) -> f64 {
    let pool = StagePool {
        slots: 1,
        batch: 8,
        call_ms: 150.0,
        item_ms: 16.0,
        room_mb: 41.0,
        keep_ms: 4000,
    };
    let map = Map::new(domain(0), Regions::default());
    let id = PoolId { service: "encode".into(), region: None };
    let mut fleet = Fleet::default();
    for i in 0..workers {
        fleet.upsert(worker(&format!("m{i}"), i), Time::ZERO);
    }
    let mut feed = WorkerFeed::default();
    let mut coordinator = Coordinator::new(pool, Policy::default());
    let mut handle = |coordinator: &mut Coordinator, fleet: &Fleet, event, now| {
        let update = feed.next_event(fleet, &id, &map, None, now);
        update.map(|update| coordinator.handle_event(now, update));
        coordinator.handle_event(now, event)
    };
    handle(&mut coordinator, &fleet, Event::Tick, Time::ZERO);
    let before = coordinator.visited();
    for i in 0..ROUNDS {
        let now = Time::from_millis(1 + i * ORDER_INTERVAL_MS);
        if i % 10 == 0 {
            fleet.remove(&format!("m{}", i / 10).as_str().into(), None, now);
            fleet.upsert(worker(&format!("n{i}"), i as usize), now);
        }
        let event = Event::Order { id: i, order: order(), pinned: false };
        for action in handle(&mut coordinator, &fleet, event, now) {
            if let Action::Start(call) = action {
                handle(
                    &mut coordinator,
                    &fleet,
                    Event::CallEnded(call.number, successful_end(&call)),
                    now,
                );
            }
        }
    }
    (coordinator.visited() - before) as f64 / ROUNDS as f64
}

fn peer(i: usize, start: u64, at: Time) -> PeerView {
    let address = SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 7000));
    let id = NodeId { name: format!("node-{i}").into(), start };
    let capacity = u8::from((i / DOMAINS).is_multiple_of(NODES_PER_HUB));
    let node = Node { id, address, entry: address, domain: domain(i), capacity };
    PeerView { node, suspect: false, up: Duration::from_secs(60), at }
}

/// Peers that a node visits per lookup. Each round replaces a peer, then looks up a coordinator,
/// the schedulers of all failure domains and the node's relays once each.
fn visits_per_lookup(nodes: usize) -> f64 {
    const LOOKUPS_PER_ROUND: u64 = 2 + DOMAINS as u64;
    let mut roster = Roster::new("node-1".into(), domain(1), 0);
    let joined_at = Time::from_millis(60_000);
    (0..nodes).filter(|i| *i != 1).for_each(|i| roster.upsert(peer(i, 1, joined_at), joined_at));
    let now = Time::from_millis(70_000);
    let before = roster.visited();
    for round in 0..ROUNDS {
        let i = 2 + round as usize % (nodes - 2);
        roster.remove(&peer(i, 1, joined_at).node.id);
        roster.upsert(PeerView { up: Duration::from_millis(50), ..peer(i, 2 + round, now) }, now);
        roster.coordinates("encode", now);
        for d in 0..DOMAINS {
            roster.scheduler("engine", &domain(d), now);
        }
        roster.relays(now);
        roster.remove(&peer(i, 2 + round, now).node.id);
        roster.upsert(peer(i, 1, joined_at), now);
    }
    (roster.visited() - before) as f64 / (ROUNDS * LOOKUPS_PER_ROUND) as f64
}
