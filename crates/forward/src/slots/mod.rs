//! Slots of brittle targets: a node leases one from a target's keeper before it sends a request
//! there (see [`decide::slots`]).

mod announce;
mod ask;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use decide::permit::RetryPacers;
use decide::slots::{BrittleChange, SlotIssuer};
use model::forward::{Target, TargetId};
use model::{Name, Time};
use tokio::sync::Notify;

use crate::events::Event;
use crate::node::Node;
use crate::peers::{PeerBackoff, UnsupportedPeers};

pub use announce::handle_notice;
pub use ask::{SlotGuard, handle_release, handle_request, request_slot};

/// Reason of a refusal while brittle targets have no free slot.
pub const NO_SLOT: &str = "its targets are brittle and have no free slot";

/// This node's state of the slots of brittle targets.
#[derive(Default)]
pub struct LocalSlots {
    issuer: RefCell<SlotIssuer>,
    /// Wakes requests that wait for a slot of which this node is the keeper.
    freed: Notify,
    /// Peers whose build does not lease slots.
    unsupported_peers: UnsupportedPeers,
    /// Keepers that did not respond.
    unresponsive: PeerBackoff,
    retry_pacers: RefCell<RetryPacers>,
}

impl LocalSlots {
    /// Accesses the issuer, which must not be borrowed already.
    fn issuer<T>(&self, f: impl FnOnce(&mut SlotIssuer) -> T) -> T {
        f(&mut self.issuer.borrow_mut())
    }

    /// Drops targets without recent requests, and what belongs to peers that are no longer up.
    pub fn expire(&self, node: &Node) {
        self.unsupported_peers.expire(node);
        if self.issuer(|i| i.is_empty()) {
            return;
        }
        let mut up: BTreeSet<Name> =
            node.peers.roster(|r| r.ids()).into_iter().map(|id| id.name).collect();
        up.insert(node.peers.id.name.clone());
        self.issuer(|i| i.expire(|name| up.contains(name), node.now()));
    }

    /// Retry delay for a caller of a service whose targets all have no free slot; `None` if requests
    /// to them fail for another reason.
    pub fn retry_after(
        &self,
        node: &Node,
        service: &Name,
        targets: &[TargetId],
    ) -> Option<Duration> {
        let now = node.now();
        let (earliest, rate) = node.fleet(|f| f.brittle().opening(targets, now))?;
        if rate <= 0.0 {
            return None;
        }
        let nodes = node.peers.roster(|r| r.count());
        Some(self.retry_pacers.borrow_mut().next(service, earliest, rate, nodes, now))
    }
}

/// Records what an answer, whose request was sent at `sent`, says of the rejections that its target
/// bears.
pub fn observe_brittle(node: &Rc<Node>, target: &Target, max_rejected: Option<u32>, sent: Time) {
    let now = node.now();
    let change = node.fleet(|f| f.brittle_mut().record(target, max_rejected, sent, now));
    if let Some(max) = max_rejected {
        announce::report(node, &target.service, max);
    }
    let (what, max_rejected) = match change {
        None => return,
        Some(BrittleChange::Named(max)) => ("named", Some(max)),
        Some(BrittleChange::Ended) => ("ended", None),
    };
    Event::Brittle { target: &target.id.name, service: &target.service, what, max_rejected }.emit();
}
