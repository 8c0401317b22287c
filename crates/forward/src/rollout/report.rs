//! Reports this node's evidence on an order to the judging node, and applies its answer.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use model::Name;
use model::forward::{RolloutAnswer, RolloutId, RolloutReport};
use model::member::Node as PeerNode;

use super::{apply_phase, handle_report, running_ids, sent};
use crate::node::Node;
use crate::peers::{self, ROLLOUT};

/// Interval of reports. A bad version must stop getting requests within seconds, and both the
/// evidence and the phase decided by it wait for a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report; the largest one fits into a packet or two.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of nodes tried, in turn, until one answers.
const MAX_ATTEMPTS: usize = 3;
/// Age of an order from which every connected node knows it; a node that does not is skipped.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Reports at intervals until the process ends.
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

/// Key by which nodes are ranked as judges of a service's orders.
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
            // It learns of the order soon; reporting to the next node would start a second judge.
            Err(ReportError::UnknownOrder) if age < PROPAGATION_TIME => return,
            Err(_) => {}
        }
    }
}

/// Reason for which a report got no answer.
enum ReportError {
    /// The node knows no such running order.
    UnknownOrder,
    /// The node could not be reached, or did not answer in time.
    Unreachable,
}

async fn ask_peer(
    node: &Rc<Node>,
    peer: &PeerNode,
    report: &RolloutReport,
) -> Result<RolloutAnswer, ReportError> {
    peers::call(node, peer.entry, ROLLOUT, report, TIMEOUT).await.map_err(|e| {
        log::debug!("rollout: report failed: {e}");
        if e.status().is_some() { ReportError::UnknownOrder } else { ReportError::Unreachable }
    })
}

/// Applies an answer, unless another order is running here by now.
fn apply_answer(node: &Node, answer: &RolloutAnswer) {
    let RolloutAnswer { order, phase, age_ms } = answer;
    let now = node.now();
    let age = Duration::from_millis(*age_ms);
    node.fleet(|f| f.versions_mut().raise_age(order, age, now));
    apply_phase(node, order, *phase, "judge");
}

/// Builds this node's report; `None` if the order has ended.
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

/// Number of this node's open requests and calls at targets of other versions, plus results there
/// that its requests still need.
fn open_at_other_versions(node: &Node, order: &RolloutId) -> u32 {
    node.fleet(|f| {
        let others =
            f.service_targets(&order.service).filter(|b| b.target.version != order.version);
        others.map(|b| b.outstanding + node.rollouts.needed_results.count_at(&b.target.id)).sum()
    })
}
