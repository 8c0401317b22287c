//! Places an order with the batch coordinator of its service, wherever it runs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::forward::{BatchAnswer, BatchOrder, PieceResult, PoolId};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, BATCH};
use crate::stages::NotMade;

/// Coordinators asked before the node batches by itself.
const ASKED: usize = 3;
/// Times that an order goes round before this node keeps it whatever happens.
const ROUNDS: usize = 2;
/// Status by which a peer says that it stops and coordinates no more.
const STOPPING: u16 = 503;
/// Time between looks at whether the coordinator is still up.
const LOOK: Duration = Duration::from_millis(50);

/// Results, and the peer whose coordinator made them; `None` if it was this node's.
pub struct Placed {
    /// Results in the order's order.
    pub results: Vec<PieceResult>,
    /// Where the coordinator runs.
    pub peer: Option<SocketAddr>,
    /// Name of the node that it runs on; `None` is this one.
    pub coordinator: Option<Name>,
    /// Makers that made them.
    pub pool: PoolId,
}

/// Places the order; after its coordinators fail, this node makes the calls itself.
pub async fn place(node: &Rc<Node>, mut order: BatchOrder) -> Placed {
    gather(node, &mut order).await;
    let rounds = if node.settings().policy.pooling { ROUNDS } else { 0 };
    for _ in 0..rounds {
        if let Some(placed) = at_peers(node, &mut order).await {
            return placed;
        }
        if comes_home(node, &mut order) {
            continue;
        }
        // A coordinator that no longer comes first hands over, this one too.
        match node.pools.order(node, order.clone(), false).await {
            Err(NotMade::Moved) => {}
            end => return here(node, &order, end),
        }
    }
    let end = node.pools.order(node, order.clone(), true).await;
    here(node, &order, end)
}

/// Waits until nodes that have started together know each other; if each made calls of
/// its own, they would take each other's makers for seconds.
async fn gather(node: &Rc<Node>, order: &mut BatchOrder) {
    let begun = node.now();
    while node.peers.roster(|r| r.is_cluster_forming(node.now())) {
        tokio::time::sleep(LOOK).await;
    }
    spend(order, node.now().since(begun));
}

/// Takes time that has passed off an order's.
fn spend(order: &mut BatchOrder, time: Duration) {
    let passed = time.as_millis() as u64;
    order.left_ms = order.left_ms.saturating_sub(passed);
    order.slack_ms = order.slack_ms.saturating_sub(passed);
}

/// Places the order with the peers that come before this node.
async fn at_peers(node: &Rc<Node>, order: &mut BatchOrder) -> Option<Placed> {
    let pool = order.pool();
    check_silent(node, &pool);
    let mut asked: Vec<NodeId> = Vec::new();
    let mut hung: Vec<NodeId> = Vec::new();
    while asked.len() < ASKED {
        let now = node.now();
        let fresh = |c: &Option<PeerNode>| c.as_ref().is_none_or(|p| !asked.contains(&p.id));
        let peer = node.peers.roster(|r| r.coordinators(&pool, now).find(fresh))??;
        if is_elsewhere(node, &pool) && !is_there(node, &pool, &peer) {
            return None;
        }
        order.skipped = node.peers.roster(|r| r.skipped(&pool, now));
        match ask(node, &peer, order).await {
            Ok(BatchAnswer { results, waits, coordinator, region }) => {
                node.peers.roster(|r| r.mark_answered(&peer.id, node.now()));
                node.record_waits(order.queue(), waits);
                let entry = coordinator.unwrap_or(peer.entry);
                let pool = PoolId { region, ..pool };
                return Some(Placed {
                    results,
                    peer: Some(entry),
                    coordinator: Some(peer.id.name),
                    pool,
                });
            }
            Err(why) => tell_lost(&pool.service, &peer, &why),
        }
        if node.peers.is_hung(&peer.id, now) && !hung.contains(&peer.id) {
            // It is there; only the connection is not.
            hung.push(peer.id);
            spend(order, node.now().since(now));
            continue;
        }
        if node.peers.roster(|r| r.is_silent(&peer.id)) {
            // Whoever else is gone with it is found out at once, not one order after another.
            let others = node.peers.roster(|r| r.survey(&pool, node.now()));
            peers::ping_all(node, &others).await;
        }
        asked.push(peer.id);
        spend(order, node.now().since(now));
    }
    None
}

/// Whether a pool is that of another region.
fn is_elsewhere(node: &Node, pool: &PoolId) -> bool {
    let own = node.peers.roster(|r| r.map().local_region());
    pool.region.as_ref().is_some_and(|r| *r != own)
}

/// Whether a peer is in the pool's region.
fn is_there(node: &Node, pool: &PoolId, peer: &PeerNode) -> bool {
    let region = node.peers.roster(|r| r.map().region_of(&peer.domain));
    pool.region.as_ref().is_some_and(|r| *r == region)
}

/// Lets this region make an order if nobody in the one that it names answers: no node decides
/// for makers that it may not reach.
fn comes_home(node: &Node, order: &mut BatchOrder) -> bool {
    let pool = order.pool();
    if !is_elsewhere(node, &pool) || coordinator_in(node, &pool).is_some() {
        return false;
    }
    let own = Some(node.peers.roster(|r| r.map().local_region()));
    if node.region_for(&order.service, &order.allowed, own.clone()) != own {
        return false;
    }
    order.region = own;
    true
}

fn tell_lost(service: &Name, peer: &PeerNode, why: &str) {
    Event::Coordinator { service, coordinator: &peer.id.name, why }.emit();
}

/// Asks silent peers that would come first for a sign of life, in the background.
fn check_silent(node: &Rc<Node>, pool: &PoolId) {
    let due = node.peers.roster(|r| r.checks_due(pool, node.now()));
    if !due.is_empty() {
        let node = node.clone();
        tokio::task::spawn_local(async move { peers::ping_all(&node, &due).await });
    }
}

/// Takes an order of a peer: as its coordinator, or by passing it on to the node that
/// comes first, so that all nodes agree on one even while they know different things.
pub async fn take(node: &Rc<Node>, mut order: BatchOrder) -> Result<BatchAnswer, NotMade> {
    if order.passed_on {
        return node.pools.order(node, order, false).await;
    }
    let begun = node.now();
    let doubted = node.peers.roster(|r| r.eligible_among(&order.skipped));
    peers::ping_all(node, &doubted).await;
    spend(&mut order, node.now().since(begun));
    let first = node.peers.roster(|r| r.coordinators(&order.pool(), node.now()).next());
    let Some(Some(peer)) = first else {
        return node.pools.order(node, order, false).await;
    };
    let begun = node.now();
    order.passed_on = true;
    Event::PassedOn { id: &order.attempt, service: &order.service, to: &peer.id.name }.emit();
    match ask(node, &peer, &order).await {
        Ok(answer) => Ok(BatchAnswer { coordinator: Some(peer.entry), ..answer }),
        Err(why) => {
            tell_lost(&order.service, &peer, &why);
            spend(&mut order, node.now().since(begun));
            node.pools.order(node, order, true).await
        }
    }
}

/// What this node's own coordinator made.
fn here(node: &Rc<Node>, order: &BatchOrder, end: Result<BatchAnswer, NotMade>) -> Placed {
    let BatchAnswer { results, waits, coordinator, region } = match end {
        Ok(answer) => answer,
        Err(_) => {
            let results = vec![PieceResult::Failed; order.pieces as usize];
            return Placed { results, peer: None, coordinator: None, pool: order.pool() };
        }
    };
    node.record_waits(order.queue(), waits);
    let pool = PoolId { region, ..order.pool() };
    Placed { results, peer: coordinator, coordinator: None, pool }
}

/// The coordinator of a region's makers, if it is a peer there.
pub(super) fn coordinator_in(node: &Node, pool: &PoolId) -> Option<PeerNode> {
    let first = node.peers.roster(|r| r.coordinators(pool, node.now()).next())??;
    Some(first).filter(|p| is_there(node, pool, p))
}

/// Places an order with the coordinator of the region that it names.
pub(super) async fn at_region(
    node: &Rc<Node>,
    mut order: BatchOrder,
) -> Result<BatchAnswer, String> {
    let pool = order.pool();
    let peer = coordinator_in(node, &pool).ok_or("nobody there answers")?;
    order.passed_on = false;
    order.skipped = node.peers.roster(|r| r.skipped(&pool, node.now()));
    let answer = ask(node, &peer, &order).await?;
    node.peers.roster(|r| r.mark_answered(&peer.id, node.now()));
    Ok(BatchAnswer { coordinator: Some(answer.coordinator.unwrap_or(peer.entry)), ..answer })
}

async fn ask(node: &Rc<Node>, peer: &PeerNode, order: &BatchOrder) -> Result<BatchAnswer, String> {
    let begun = node.now();
    node.peers.roster(|r| r.begin_wait(&peer.id, begun));
    let timeout = Duration::from_millis(order.left_ms);
    let call = peers::call::<_, BatchAnswer>(node, peer.entry, BATCH, order, timeout);
    let answer = tokio::select! {
        answer = call => answer,
        why = lost(node, peer, begun) => return Err(why.into()),
    };
    match answer {
        Ok(answer) if answer.results.len() == order.pieces as usize => Ok(answer),
        Ok(_) => Err("it answered for other pieces".into()),
        Err(e) => {
            if e.status() == Some(STOPPING) {
                node.peers.roster(|r| r.note_stopping(&peer.id, node.now()));
            } else if e.not_sent() {
                node.peers.roster(|r| r.mark_silent(&peer.id, node.now()));
            }
            Err(e.to_string())
        }
    }
}

/// Returns, with the reason, once the peer is suspected or gone, does not answer a ping, or
/// does so over a new connection only. Membership takes a second or two to find out that it
/// is gone, and the operating system as long for a connection; an order that waits asks by
/// itself.
async fn lost(node: &Rc<Node>, peer: &PeerNode, begun: Time) -> &'static str {
    loop {
        tokio::time::sleep(LOOK).await;
        let sound = node.peers.roster(|r| r.is_awaitable(&peer.id));
        if !sound || !peers::is_responsive(node, peer).await {
            return "it is suspected or gone";
        }
        if node.peers.is_hung(&peer.id, begun) {
            return "its connection fell silent";
        }
    }
}
