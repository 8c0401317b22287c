//! Limits that targets name in their responses: observations of this node, permits that it requests
//! and issues, and observations that nodes exchange.

mod ask;
mod spread;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use decide::permit::{LimitChange, LimitObservation, PermitIssuer, RetryPacers};
use model::forward::{ReportedLimit, Target, TargetId};
use model::member::Node as PeerNode;
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;
use crate::peers::{PeerBackoff, UnsupportedPeers};

pub use ask::{Permit, handle_permit_request, request_permit};
pub use spread::handle_update;

/// Reason of a refusal while targets are at their limits.
pub const AT_LIMIT: &str = "its targets are at the limits that they name";

/// This node's state of the limits that targets name.
#[derive(Default)]
pub struct LocalLimits {
    issuer: RefCell<PermitIssuer>,
    /// Peers whose build does not support limits.
    unsupported_peers: UnsupportedPeers,
    /// Keepers that did not respond.
    unresponsive: PeerBackoff,
    retry_pacers: RefCell<RetryPacers>,
    pending_updates: spread::PendingUpdates,
}

impl LocalLimits {
    /// Accesses the issuer, which must not be borrowed already.
    fn issuer<T>(&self, f: impl FnOnce(&mut PermitIssuer) -> T) -> T {
        f(&mut self.issuer.borrow_mut())
    }

    /// Drops targets without recent permit requests, and peers that are no longer up.
    pub fn expire(&self, node: &Node) {
        self.issuer(|i| i.expire(node.now()));
        self.unsupported_peers.expire(node);
    }

    /// The keeper of a target: `Some(None)` is this node, `None` if it is not known yet.
    fn keeper(&self, node: &Node, target: &TargetId, domain: &str) -> Option<Option<PeerNode>> {
        let (name, now) = (&target.name, node.now());
        node.peers.roster(|r| r.keeper(name, domain, |id| self.unsupported_peers.contains(id), now))
    }

    /// Retry delay for a caller of a service whose targets are all at their limits; `None` if
    /// requests to them fail for another reason.
    pub fn retry_after(
        &self,
        node: &Node,
        service: &Name,
        targets: &[TargetId],
    ) -> Option<Duration> {
        let now = node.now();
        let (earliest, rate) = node.fleet(|f| {
            let closed = targets.iter().map(|id| f.limits().closed_until(id));
            let earliest = closed.collect::<Option<Vec<Time>>>()?.into_iter().min()?;
            let limits = targets.iter().filter_map(|id| f.limits().get(id));
            Some((earliest.since(now), limits.map(decide::permit::issue_rate).sum::<f64>()))
        })?;
        let nodes = node.peers.roster(|r| r.count());
        Some(self.retry_pacers.borrow_mut().next(service, earliest, rate, nodes, now))
    }
}

/// Starts the task that announces limits to peers.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(spread::run(node.clone()));
}

/// Records the limit in a target's response, whose request was sent at `sent`, and reports a change
/// to the keeper.
pub fn observe_limit(node: &Rc<Node>, target: &Target, report: ReportedLimit, sent: Time) {
    let now = node.now();
    let Some(change) = node.fleet(|f| f.record_limit(&target.id, report, sent, now)) else {
        return;
    };
    log_change(target, "answer", change);
    let per_s = match change {
        LimitChange::Named(per_s) => Some(per_s),
        LimitChange::Ended => None,
        LimitChange::Unreadable => return,
    };
    spread::report_to_keeper(
        node,
        target,
        LimitObservation { per_s, sent_at: sent, received_at: now },
    );
}

/// Merges an observation from a peer or the local issuer; `from` names the source in the log.
fn merge_from_peer(node: &Node, target: &TargetId, observation: LimitObservation, from: &str) {
    let Some(change) = node.fleet(|f| f.merge_peer_limit(target, observation)) else {
        return;
    };
    if let Some(known) = node.fleet(|f| f.get(target).map(|b| b.target.clone())) {
        log_change(&known, from, change);
    }
}

fn log_change(target: &Target, from: &str, change: LimitChange) {
    let (what, per_s) = match change {
        LimitChange::Named(per_s) => ("named", Some(per_s)),
        LimitChange::Ended => ("ended", None),
        LimitChange::Unreadable => ("unreadable", None),
    };
    Event::Limit { target: &target.id.name, service: &target.service, what, per_s, from }.emit();
}
