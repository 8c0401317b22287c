//! Messages about ejections between the nodes of a failure domain.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use decide::ejection::KeeperAction;
use model::Name;
use model::forward::{
    EjectionAnswer, EjectionMessage, EjectionStep, Evidence, FailureReport, TargetId,
};
use model::member::Node as PeerNode;
use util::http::CallError;

use super::{eject_shared, end_shared_ejection};
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, EJECTIONS};

/// Timeout of a message. A report that is lost is repeated after the next failed probe.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Reports an ejected target to its keeper.
pub(super) fn report_failing(node: &Rc<Node>, target: &TargetId) {
    let now = node.now();
    if node.links.is_suspect() {
        return;
    }
    if let Some(failing) = node.fleet(|f| f.failure_report(target, now)) {
        let message = message(node, EjectionStep::Report, vec![failing], Vec::new());
        report(node, target, message);
    }
}

/// Reports a target that is healthy again to its keeper.
pub(super) fn report_recovered(node: &Rc<Node>, target: &TargetId) {
    let message = message(node, EjectionStep::Report, Vec::new(), vec![target.clone()]);
    report(node, target, message);
}

fn message(
    node: &Node,
    step: EjectionStep,
    failing: Vec<FailureReport>,
    recovered: Vec<TargetId>,
) -> EjectionMessage {
    EjectionMessage { from: node.peers.id.name.clone(), step, failing, recovered }
}

fn report(node: &Rc<Node>, target: &TargetId, message: EjectionMessage) {
    let (domain, now) = (node.settings().domain.clone(), node.now());
    let is_unsupported = |id: &_| node.ejections.unsupported_peers.contains(id);
    let keeper = node.peers.roster(|r| r.keeper(&target.name, &domain, is_unsupported, now));
    match keeper {
        None => {}
        Some(None) => _ = handle_report(node, &message),
        Some(Some(peer)) => {
            tokio::task::spawn_local(send_report(node.clone(), peer, message));
        }
    }
}

async fn send_report(node: Rc<Node>, keeper: PeerNode, message: EjectionMessage) {
    let result =
        peers::call_named(&node, &node.client, keeper.entry, EJECTIONS, &message, TIMEOUT).await;
    let Some(EjectionAnswer { ejected, .. }) = check_result(&node, &keeper, result) else {
        return;
    };
    let shared = message.failing.iter().filter(|report| ejected.contains(&report.target));
    shared.for_each(|report| apply_ejection(&node, report, &keeper.id.name));
}

/// The answer of a peer; `None` if there is none.
fn check_result(
    node: &Node,
    peer: &PeerNode,
    result: Result<EjectionAnswer, CallError>,
) -> Option<EjectionAnswer> {
    match result {
        Ok(answer) => Some(answer),
        Err(e) => {
            if peers::is_unsupported(&e) {
                node.ejections.unsupported_peers.record(peer, EJECTIONS);
            } else {
                log::debug!("ejections: {e}");
            }
            None
        }
    }
}

/// Handles a message from a peer.
pub fn handle_message(node: &Rc<Node>, message: EjectionMessage) -> EjectionAnswer {
    match message.step {
        EjectionStep::Report => handle_report(node, &message),
        EjectionStep::Query => {
            let evidence = message.failing.iter().map(|report| own_evidence(node, report));
            EjectionAnswer { evidence: evidence.collect(), ejected: Vec::new() }
        }
        EjectionStep::Announce => {
            message.failing.iter().for_each(|report| apply_ejection(node, report, &message.from));
            message.recovered.iter().for_each(|id| apply_recovery(node, id, &message.from));
            EjectionAnswer::default()
        }
    }
}

/// Handles a report as the keeper of its targets.
fn handle_report(node: &Rc<Node>, message: &EjectionMessage) -> EjectionAnswer {
    let now = node.now();
    let mut answer = EjectionAnswer::default();
    for report in &message.failing {
        let target = &report.target;
        match node.ejections.keeper(|k| k.report(&message.from, report, now)) {
            KeeperAction::Query => {
                tokio::task::spawn_local(query(node.clone(), target.clone()));
            }
            KeeperAction::Confirm => answer.ejected.push(target.clone()),
            KeeperAction::Wait => {}
        }
    }
    for target in &message.recovered {
        if node.ejections.keeper(|k| k.recovered(target)) {
            apply_recovery(node, target, &message.from);
            tokio::task::spawn_local(announce(node.clone(), Vec::new(), vec![target.clone()]));
        }
    }
    answer
}

/// Peers in this node's failure domain that support shared ejections.
fn domain_peers(node: &Node) -> Vec<PeerNode> {
    let domain = node.settings().domain.clone();
    let peers = node.peers.roster(|r| r.peers());
    let is_meant =
        |p: &PeerNode| p.domain == domain && !node.ejections.unsupported_peers.contains(&p.id);
    peers.into_iter().filter(is_meant).collect()
}

/// Asks the other nodes for their evidence on a target, and tells all to eject it if it serves none
/// of them.
async fn query(node: Rc<Node>, target: TargetId) {
    let Some(report) = node.ejections.keeper(|k| k.current(&target, node.now())) else {
        return;
    };
    let own = (node.peers.id.name.clone(), own_evidence(&node, &report));
    let evidence = RefCell::new(vec![own]);
    let question = message(&node, EjectionStep::Query, vec![report.clone()], Vec::new());
    let record = |peer: &PeerNode, result| {
        let answer: Option<EjectionAnswer> = check_result(&node, peer, result);
        if let Some(found) = answer.and_then(|answer| answer.evidence.first().copied()) {
            evidence.borrow_mut().push((peer.id.name.clone(), found));
        }
    };
    let peers = domain_peers(&node);
    peers::broadcast(&node, &peers, EJECTIONS, &question, TIMEOUT, record).await;
    let evidence: Vec<(Name, Evidence)> = evidence.into_inner();
    let decision = node.ejections.keeper(|k| k.decide(&target, &evidence));
    Event::EjectionQuery {
        target: &target.name,
        kind: report.kind.as_str(),
        since_ms: report.since_ms,
        asked: evidence.len(),
        failed: decision.failed,
        served: decision.served,
        eject: decision.eject,
    }
    .emit();
    let current = node.ejections.keeper(|k| k.current(&target, node.now()));
    if let Some(report) = current.filter(|_| decision.eject) {
        apply_ejection(&node, &report, &node.peers.id.name);
        announce(node.clone(), vec![report], Vec::new()).await;
    }
}

async fn announce(node: Rc<Node>, failing: Vec<FailureReport>, recovered: Vec<TargetId>) {
    let news = message(&node, EjectionStep::Announce, failing, recovered);
    let peers = domain_peers(&node);
    let check = |peer: &PeerNode, result| _ = check_result(&node, peer, result);
    peers::broadcast(&node, &peers, EJECTIONS, &news, TIMEOUT, check).await;
}

fn own_evidence(node: &Node, report: &FailureReport) -> Evidence {
    let now = node.now();
    let since = now - Duration::from_millis(report.since_ms);
    if node.links.was_lost_since(since) {
        return Evidence::Unknown;
    }
    node.fleet(|f| f.evidence(&report.target, since, now))
}

fn apply_ejection(node: &Node, report: &FailureReport, from: &Name) {
    let what = if eject_shared(node, report) { "ejected" } else { "not_ejected" };
    Event::SharedEjection { target: &report.target.name, what, from }.emit();
}

fn apply_recovery(node: &Node, target: &TargetId, from: &Name) {
    let what = if end_shared_ejection(node, target) { "recovered" } else { "not_ejected" };
    Event::SharedEjection { target: &target.name, what, from }.emit();
}
