//! Tells the node that judges an order what this one saw, and works by its answer.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use model::Name;
use model::forward::{RolloutAnswer, RolloutId, RolloutReport};
use model::member::Node as PeerNode;

use super::{apply_phase, handle_report, running_ids, sent};
use crate::node::Node;
use crate::peers::{self, ROLLOUT};

/// Time between two reports. A version that proves bad is to get nothing after some seconds,
/// and a report and its answer each wait for the next one.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for an answer: the largest report fits into a packet or two.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Nodes asked, one after the other, for want of an answer.
const MAX_ATTEMPTS: usize = 3;
/// Age of an order from which on every node in touch knows it: one that does not is passed over.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Reports until the process ends.
pub async fn run_reports(node: Rc<Node>) {
    loop {
        let orders = running_ids(&node);
        if orders.is_empty() {
            node.rollouts.changed.notified().await;
            continue;
        }
        join_all(orders.iter().map(|order| send_report(&node, order))).await;
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Name by which nodes are ordered for judging a service's orders.
pub(super) fn ranking_key(service: &Name) -> String {
    format!("rollout of {service}")
}

async fn send_report(node: &Rc<Node>, order: &RolloutId) {
    sent::roll_back_if_bad(node, order);
    let now = node.now();
    let ranked: Vec<Option<PeerNode>> = node.peers.roster(|r| {
        r.coordinators(ranking_key(&order.service).as_str(), now).take(MAX_ATTEMPTS).collect()
    });
    for peer in ranked {
        let Some(report) = build_report(node, order) else {
            return;
        };
        let answer = match &peer {
            None => handle_report(node, report).ok_or(ReportError::UnknownOrder),
            Some(peer) => ask_peer(node, peer, &report).await,
        };
        let age = node.fleet(|f| f.versions().age(&order.service, now)).unwrap_or_default();
        match answer {
            Ok(answer) => return apply_answer(node, &answer),
            // It hears of the order soon, and whoever comes next would judge beside it.
            Err(ReportError::UnknownOrder) if age < PROPAGATION_TIME => return,
            Err(_) => {}
        }
    }
}

/// Why a node did not answer a report.
enum ReportError {
    /// It knows of no such order that runs.
    UnknownOrder,
    /// It could not be reached, or not in time.
    Unreachable,
}

async fn ask_peer(
    node: &Rc<Node>,
    peer: &PeerNode,
    report: &RolloutReport,
) -> Result<RolloutAnswer, ReportError> {
    peers::ask(node, peer.entry, ROLLOUT, report, TIMEOUT).await.map_err(|e| {
        log::debug!("rollout: {e}");
        if e.status().is_some() { ReportError::UnknownOrder } else { ReportError::Unreachable }
    })
}

/// Works by an answer, unless it is of another order than the one that runs here by now.
fn apply_answer(node: &Node, answer: &RolloutAnswer) {
    let RolloutAnswer { order, phase, age_ms } = answer;
    let now = node.now();
    let age = Duration::from_millis(*age_ms);
    node.fleet(|f| f.versions_mut().raise_age(order, age, now));
    apply_phase(node, order, *phase, "judge");
}

/// What this node saw; `None` if the order is over meanwhile.
fn build_report(node: &Node, order: &RolloutId) -> Option<RolloutReport> {
    let service = &order.service;
    let now = node.now();
    let (order, phase, age) = node.fleet(|f| {
        let versions = f.versions();
        versions.find_order(order)?;
        Some((versions.order_id(service)?, versions.phase(service)?, versions.age(service, now)?))
    })?;
    Some(RolloutReport {
        node: node.peers.id.clone(),
        open: open_at_other_versions(node, &order),
        evidence: node.rollouts.evidence.borrow().report(service),
        order,
        age_ms: age.as_millis() as u64,
        phase,
    })
}

/// Requests and calls of this node at targets of other versions, and results there that its
/// requests still need.
fn open_at_other_versions(node: &Node, order: &RolloutId) -> u32 {
    node.fleet(|f| {
        let others = f.of_service(&order.service).filter(|b| b.target.version != order.version);
        others.map(|b| b.outstanding + node.rollouts.needed_results.count_at(&b.target.id)).sum()
    })
}
