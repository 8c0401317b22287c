//! Submits batch orders to the coordinator of their service, on this node or on a peer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::forward::{BatchAnswer, BatchOrder, PieceResult, PoolId};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, BATCH};
use crate::stages::OrderError;

/// Maximum number of peers tried per round before this node coordinates the order itself.
const MAX_COORDINATORS: usize = 3;
/// Rounds of submission before this node executes the order itself in any case.
const MAX_ROUNDS: usize = 2;
/// Status returned by a peer that is shutting down and no longer coordinates.
const STATUS_STOPPING: u16 = 503;
/// Interval between liveness checks of the coordinator.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Results of an order and the coordinator that executed it.
pub struct CompletedOrder {
    /// One result per piece, in order.
    pub results: Vec<PieceResult>,
    /// Address of the coordinator's node; `None` is this one.
    pub peer: Option<SocketAddr>,
    /// Name of the coordinator's node; `None` is this one.
    pub coordinator: Option<Name>,
    /// Pool whose workers ran the order.
    pub pool: PoolId,
}

/// Submits an order. If its coordinators fail, this node makes the calls itself.
pub async fn submit(node: &Rc<Node>, mut order: BatchOrder) -> CompletedOrder {
    await_cluster(node, &mut order).await;
    let rounds = if node.settings().policy.pooling { MAX_ROUNDS } else { 0 };
    for _ in 0..rounds {
        if let Some(completed) = submit_to_peers(node, &mut order).await {
            return completed;
        }
        if reroute_to_local(node, &mut order) {
            continue;
        }
        // A coordinator that is no longer ranked first hands its orders over; so does this one.
        match node.pools.execute_order(node, order.clone(), false).await {
            Err(OrderError::HandedOver) => {}
            end => return complete_locally(node, &order, end),
        }
    }
    let end = node.pools.execute_order(node, order.clone(), true).await;
    complete_locally(node, &order, end)
}

/// Waits until nodes that started at the same time have discovered each other. If each coordinated
/// its own calls, they would compete for the same workers for seconds.
async fn await_cluster(node: &Rc<Node>, order: &mut BatchOrder) {
    let started = node.now();
    while node.peers.roster(|r| r.is_cluster_forming(node.now())) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    deduct_time(order, node.now().since(started));
}

/// Subtracts elapsed time from an order's remaining time.
fn deduct_time(order: &mut BatchOrder, time: Duration) {
    let passed = time.as_millis() as u64;
    order.left_ms = order.left_ms.saturating_sub(passed);
    order.slack_ms = order.slack_ms.saturating_sub(passed);
}

/// Submits an order to the peers that are ranked before this node.
async fn submit_to_peers(node: &Rc<Node>, order: &mut BatchOrder) -> Option<CompletedOrder> {
    let pool = order.pool();
    ping_silent(node, &pool);
    let mut tried: Vec<NodeId> = Vec::new();
    let mut hung: Vec<NodeId> = Vec::new();
    while tried.len() < MAX_COORDINATORS {
        let now = node.now();
        let is_untried = |c: &Option<PeerNode>| c.as_ref().is_none_or(|p| !tried.contains(&p.id));
        let peer = node.peers.roster(|r| r.coordinators(&pool, now).find(is_untried))??;
        if is_remote_region(node, &pool) && !is_in_region(node, &pool, &peer) {
            return None;
        }
        order.skipped = node.peers.roster(|r| r.skipped(&pool, now));
        match send_order(node, &peer, order).await {
            Ok(BatchAnswer { results, waits, coordinator, region }) => {
                node.peers.roster(|r| r.mark_answered(&peer.id, node.now()));
                node.record_waits(order.queue(), waits);
                let entry = coordinator.unwrap_or(peer.entry);
                let pool = PoolId { region, ..pool };
                return Some(CompletedOrder {
                    results,
                    peer: Some(entry),
                    coordinator: Some(peer.id.name),
                    pool,
                });
            }
            Err(why) => log_lost(&pool.service, &peer, &why),
        }
        if node.peers.is_hung(&peer.id, now) && !hung.contains(&peer.id) {
            // The peer is up and only its connection hangs, so it is tried once more.
            hung.push(peer.id);
            deduct_time(order, node.now().since(now));
            continue;
        }
        if node.peers.roster(|r| r.is_silent(&peer.id)) {
            // Pings other peers, so that those that failed with it are found at once rather than
            // one per order.
            let others = node.peers.roster(|r| r.survey(&pool, node.now()));
            peers::ping_all(node, &others).await;
        }
        tried.push(peer.id);
        deduct_time(order, node.now().since(now));
    }
    None
}

/// Whether a pool belongs to another region.
fn is_remote_region(node: &Node, pool: &PoolId) -> bool {
    let own = node.peers.roster(|r| r.map().local_region());
    pool.region.as_ref().is_some_and(|r| *r != own)
}

/// Whether a peer is in a pool's region.
fn is_in_region(node: &Node, pool: &PoolId, peer: &PeerNode) -> bool {
    let region = node.peers.roster(|r| r.map().region_of(&peer.domain));
    pool.region.as_ref().is_some_and(|r| *r == region)
}

/// Reroutes an order to the local region if no node of the order's region answers, since a node
/// must not coordinate workers that it may be unable to reach.
fn reroute_to_local(node: &Node, order: &mut BatchOrder) -> bool {
    let pool = order.pool();
    if !is_remote_region(node, &pool) || remote_coordinator(node, &pool).is_some() {
        return false;
    }
    let own = Some(node.peers.roster(|r| r.map().local_region()));
    if node.region_for(&order.service, &order.allowed, own.clone()) != own {
        return false;
    }
    order.region = own;
    true
}

fn log_lost(service: &Name, peer: &PeerNode, why: &str) {
    Event::Coordinator { service, coordinator: &peer.id.name, why }.emit();
}

/// Pings, in the background, unresponsive peers that would be ranked first.
fn ping_silent(node: &Rc<Node>, pool: &PoolId) {
    let due = node.peers.roster(|r| r.checks_due(pool, node.now()));
    if !due.is_empty() {
        let node = node.clone();
        tokio::task::spawn_local(async move { peers::ping_all(&node, &due).await });
    }
}

/// Handles a peer's order: executes it, or forwards it to the node that is ranked first, so that
/// all nodes use one coordinator even while their views differ.
pub async fn handle_order(
    node: &Rc<Node>,
    mut order: BatchOrder,
) -> Result<BatchAnswer, OrderError> {
    if order.passed_on {
        return node.pools.execute_order(node, order, false).await;
    }
    let started = node.now();
    let suspects = node.peers.roster(|r| r.eligible_among(&order.skipped));
    peers::ping_all(node, &suspects).await;
    deduct_time(&mut order, node.now().since(started));
    let first = node.peers.roster(|r| r.coordinators(&order.pool(), node.now()).next());
    let Some(Some(peer)) = first else {
        return node.pools.execute_order(node, order, false).await;
    };
    let started = node.now();
    order.passed_on = true;
    Event::PassedOn { id: &order.attempt, service: &order.service, to: &peer.id.name }.emit();
    match send_order(node, &peer, &order).await {
        Ok(answer) => Ok(BatchAnswer { coordinator: Some(peer.entry), ..answer }),
        Err(why) => {
            log_lost(&order.service, &peer, &why);
            deduct_time(&mut order, node.now().since(started));
            node.pools.execute_order(node, order, true).await
        }
    }
}

/// Builds the outcome of an order that this node's coordinator executed.
fn complete_locally(
    node: &Rc<Node>,
    order: &BatchOrder,
    end: Result<BatchAnswer, OrderError>,
) -> CompletedOrder {
    let BatchAnswer { results, waits, coordinator, region } = match end {
        Ok(answer) => answer,
        Err(_) => {
            let results = vec![PieceResult::Failed; order.pieces as usize];
            return CompletedOrder { results, peer: None, coordinator: None, pool: order.pool() };
        }
    };
    node.record_waits(order.queue(), waits);
    let pool = PoolId { region, ..order.pool() };
    CompletedOrder { results, peer: coordinator, coordinator: None, pool }
}

/// Coordinator of a region's pool, if it is a peer in that region.
pub(super) fn remote_coordinator(node: &Node, pool: &PoolId) -> Option<PeerNode> {
    let first = node.peers.roster(|r| r.coordinators(pool, node.now()).next())??;
    Some(first).filter(|p| is_in_region(node, pool, p))
}

/// Submits an order to the coordinator of the region that it names.
pub(super) async fn submit_to_region(
    node: &Rc<Node>,
    mut order: BatchOrder,
) -> Result<BatchAnswer, String> {
    let pool = order.pool();
    let peer = remote_coordinator(node, &pool).ok_or("nobody there answers")?;
    order.passed_on = false;
    order.skipped = node.peers.roster(|r| r.skipped(&pool, node.now()));
    let answer = send_order(node, &peer, &order).await?;
    node.peers.roster(|r| r.mark_answered(&peer.id, node.now()));
    Ok(BatchAnswer { coordinator: Some(answer.coordinator.unwrap_or(peer.entry)), ..answer })
}

async fn send_order(
    node: &Rc<Node>,
    peer: &PeerNode,
    order: &BatchOrder,
) -> Result<BatchAnswer, String> {
    let started = node.now();
    node.peers.roster(|r| r.begin_wait(&peer.id, started));
    let timeout = Duration::from_millis(order.left_ms);
    let call = peers::call::<_, BatchAnswer>(node, peer.entry, BATCH, order, timeout);
    let answer = tokio::select! {
        answer = call => answer,
        why = await_failure(node, peer, started) => return Err(why.into()),
    };
    match answer {
        Ok(answer) if answer.results.len() == order.pieces as usize => Ok(answer),
        Ok(_) => Err("it answered for other pieces".into()),
        Err(e) => {
            if e.status() == Some(STATUS_STOPPING) {
                node.peers.roster(|r| r.mark_stopping(&peer.id, node.now()));
            } else if e.not_sent() {
                node.peers.roster(|r| r.mark_silent(&peer.id, node.now()));
            }
            Err(e.to_string())
        }
    }
}

/// Returns the reason once a peer is suspected or down, fails a ping, or answers one only over a
/// new connection. Membership takes a second or two to detect a failed peer, and the operating
/// system as long to detect a dead connection, so a waiting order pings by itself.
async fn await_failure(node: &Rc<Node>, peer: &PeerNode, started: Time) -> &'static str {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let sound = node.peers.roster(|r| r.is_awaitable(&peer.id));
        if !sound || !peers::is_responsive(node, peer).await {
            return "it is suspected or gone";
        }
        if node.peers.is_hung(&peer.id, started) {
            return "its connection fell silent";
        }
    }
}
