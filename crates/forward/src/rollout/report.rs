//! Tells the node that judges an order what this one saw, and works by its answer.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use model::Name;
use model::forward::{RolloutAnswer, RolloutId, RolloutReport};
use model::member::Node as PeerNode;

use super::{judge, running_ids, sent, take_phase};
use crate::node::Node;
use crate::peers::{self, ROLLOUT};

/// Time between two reports. A version that proves bad is to get nothing after some seconds,
/// and a report and its answer each wait for the next one.
const EVERY: Duration = Duration::from_millis(250);
/// Time for an answer: the largest report fits into a packet or two.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Nodes asked, one after the other, for want of an answer.
const ASKED: usize = 3;
/// Age of an order from which on every node in touch knows it: one that does not is passed over.
const KNOWN_BY_ALL: Duration = Duration::from_secs(3);

/// Reports until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let orders = running_ids(&node);
        if orders.is_empty() {
            node.rollouts.changed.notified().await;
            continue;
        }
        join_all(orders.iter().map(|order| report(&node, order))).await;
        tokio::time::sleep(EVERY).await;
    }
}

/// Name by which nodes are ordered for judging a service's orders.
pub(super) fn key(service: &Name) -> String {
    format!("rollout of {service}")
}

async fn report(node: &Rc<Node>, order: &RolloutId) {
    sent::take_back_if_bad(node, order);
    let now = node.now();
    let first: Vec<Option<PeerNode>> = node
        .peers
        .roster(|r| r.coordinators(key(&order.service).as_str(), now).take(ASKED).collect());
    for peer in first {
        let Some(report) = report_of(node, order) else {
            return;
        };
        let answer = match &peer {
            None => judge(node, report).ok_or(Silence::Unheard),
            Some(peer) => ask(node, peer, &report).await,
        };
        let age = node.fleet(|f| f.versions().age(&order.service, now)).unwrap_or_default();
        match answer {
            Ok(answer) => return take_answer(node, &answer),
            // It hears of the order soon, and whoever comes next would judge beside it.
            Err(Silence::Unheard) if age < KNOWN_BY_ALL => return,
            Err(_) => {}
        }
    }
}

/// Why a node did not answer a report.
enum Silence {
    /// It knows of no such order that runs.
    Unheard,
    /// It could not be reached, or not in time.
    Lost,
}

async fn ask(
    node: &Rc<Node>,
    peer: &PeerNode,
    report: &RolloutReport,
) -> Result<RolloutAnswer, Silence> {
    peers::call(node, peer.entry, ROLLOUT, report, TIMEOUT).await.map_err(|e| {
        log::debug!("rollout: {e}");
        if e.status().is_some() { Silence::Unheard } else { Silence::Lost }
    })
}

/// Works by an answer, unless it is of another order than the one that runs here by now.
fn take_answer(node: &Node, answer: &RolloutAnswer) {
    let RolloutAnswer { order, phase, age_ms } = answer;
    let now = node.now();
    let age = Duration::from_millis(*age_ms);
    node.fleet(|f| f.versions_mut().raise_age(order, age, now));
    take_phase(node, order, *phase, "judge");
}

/// What this node saw; `None` if the order is over meanwhile.
fn report_of(node: &Node, order: &RolloutId) -> Option<RolloutReport> {
    let service = &order.service;
    let now = node.now();
    let (order, phase, age) = node.fleet(|f| {
        let versions = f.versions();
        versions.find_order(order)?;
        Some((versions.order_id(service)?, versions.phase(service)?, versions.age(service, now)?))
    })?;
    Some(RolloutReport {
        node: node.peers.id.clone(),
        open: open_at_old(node, &order),
        evidence: node.rollouts.evidence.borrow().report(service),
        order,
        age_ms: age.as_millis() as u64,
        phase,
    })
}

/// Requests and calls of this node at targets of other versions, and results there that its
/// requests still need.
fn open_at_old(node: &Node, order: &RolloutId) -> u32 {
    node.fleet(|f| {
        let old = f.of_service(&order.service).filter(|b| b.target.version != order.version);
        old.map(|b| b.outstanding + node.rollouts.held.at(&b.target.id)).sum()
    })
}
