//! Ejections that the nodes of a failure domain agree on: each node reports repeated failures to the
//! target's keeper, which asks the others and tells all (see [`decide::ejection`]). A node that no
//! keeper answers ejects and probes by itself.

mod spread;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use decide::ejection::EjectionKeeper;
use decide::fleet::{Observation, max_probe_interval, return_time};
use model::Time;
use model::forward::{FailureReport, Target, TargetId};

use crate::node::Node;
use crate::peers::UnsupportedPeers;

pub use spread::handle_message;

/// This node's part in shared ejections.
#[derive(Default)]
pub struct LocalEjections {
    keeper: RefCell<EjectionKeeper>,
    /// Peers whose build does not support shared ejections.
    unsupported_peers: UnsupportedPeers,
}

impl LocalEjections {
    /// Accesses the keeper, which must not be borrowed already.
    fn keeper<T>(&self, f: impl FnOnce(&mut EjectionKeeper) -> T) -> T {
        f(&mut self.keeper.borrow_mut())
    }

    /// Drops targets without recent reports, and peers that are no longer up, whose turns to probe
    /// others take.
    pub fn expire(&self, node: &Node) {
        let (now, max) = (node.now(), max_probe_interval(node_count(node)));
        self.keeper(|k| k.expire(now));
        node.rng(|rng| node.fleet(|f| f.redraw_turns(max, now, rng)));
        self.unsupported_peers.expire(node);
    }
}

/// Records the outcome of a request to a target, and reports repeated failures or a recovery.
pub fn observe(node: &Rc<Node>, target: &Target, observed: Observation, why: &str) {
    let id = &target.id;
    let was_recovering = node.fleet(|f| f.is_recovering(id));
    let is_ejected = node.observe(id, observed, why);
    let answered = matches!(observed, Observation::Answered(_));
    if !answered {
        if is_ejected {
            let turn = next_turn(node);
            node.fleet(|f| f.defer_probe(id, turn));
        }
        spread::report_failing(node, id);
    } else if was_recovering && !node.fleet(|f| f.is_recovering(id)) {
        spread::report_recovered(node, id);
    }
}

/// Number of nodes that send requests to the same targets.
fn node_count(node: &Node) -> usize {
    node.peers.roster(|r| r.count())
}

/// When this node may probe a target whose ejection is shared.
fn next_turn(node: &Node) -> Time {
    let max = max_probe_interval(node_count(node));
    node.now() + node.rng(|r| r.jitter(max))
}

/// Ejects a target that serves no node; returns whether it is ejected.
fn eject_shared(node: &Node, report: &FailureReport) -> bool {
    if !node.settings().policy.ejection {
        return false;
    }
    let (now, turn) = (node.now(), next_turn(node));
    let since = now - Duration::from_millis(report.since_ms);
    node.fleet(|f| f.eject_shared(&report.target, report.kind, since, turn, now))
}

/// Returns to a target that served another node; returns whether its ejection was shared.
fn end_shared_ejection(node: &Node, target: &TargetId) -> bool {
    let now = node.now();
    let turn = now + node.rng(|r| r.jitter(return_time(node_count(node))));
    node.fleet(|f| f.end_shared_ejection(target, turn, now))
}
