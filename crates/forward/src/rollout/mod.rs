//! Rollouts on this node: evidence on the trial version from its requests, its reports to the
//! judging node, and the judge where that is this node.

mod held;
mod judge;
mod lost;
mod report;
mod sent;
mod stalls;
mod write;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use decide::rollout::{Evidence, RolloutChange};
use model::forward::{Phase, Rollout, RolloutId};
use model::{Name, Time};
use tokio::sync::Notify;

use crate::events::Event;
use crate::node::Node;
use judge::LocalJudge;
use stalls::StallDetector;

pub use held::NeededResults;
pub use judge::handle_report;
pub use lost::write_lost_states;
pub use report::run_reports;
pub use sent::{TrackedSend, track_send};
pub use stalls::watch as watch_stalls;
pub use write::{WriteOutcome, write_to_store};

/// Local state of rollouts besides the orders.
#[derive(Default)]
pub struct LocalRollouts {
    evidence: RefCell<Evidence>,
    judges: RefCell<BTreeMap<Name, Rc<LocalJudge>>>,
    /// Stored results that requests of this node still need.
    pub needed_results: NeededResults,
    stalls: StallDetector,
    changed: Notify,
}

impl LocalRollouts {
    /// Handles an order that began, changed or was withdrawn.
    pub fn handle_change(&self, change: &RolloutChange, now: Time) {
        let starts_over = match change {
            RolloutChange::State(order) => order.state.is_final(),
            RolloutChange::Began(_)
            | RolloutChange::Replaced { .. }
            | RolloutChange::Withdrawn(_) => true,
        };
        if starts_over {
            self.evidence.borrow_mut().forget(service_of(change));
        }
        self.stalls.start(now);
        self.changed.notify_waiters();
    }
}

impl LocalRollouts {
    /// Drops the judges after the store was restored from an older copy: they would compare
    /// revisions from before. New ones rebuild their state from the reports.
    pub fn store_restored(&self) {
        self.judges.borrow_mut().clear();
    }
}

fn service_of(change: &RolloutChange) -> &Name {
    match change {
        RolloutChange::Began(order)
        | RolloutChange::State(order)
        | RolloutChange::Replaced { order, .. }
        | RolloutChange::Withdrawn(order) => &order.service,
    }
}

/// Running order with this id.
fn running_order(node: &Node, id: &RolloutId) -> Option<Rollout> {
    node.fleet(|f| f.versions().find_order(id).cloned())
}

/// Ids of all running orders.
fn running_ids(node: &Node) -> Vec<RolloutId> {
    node.fleet(|f| {
        let versions = f.versions();
        versions.running().filter_map(|order| versions.order_id(&order.service)).collect()
    })
}

/// Switches to a phase, unless the order is rolled back or already in a later one.
fn apply_phase(node: &Node, id: &RolloutId, phase: Phase, why: &str) {
    let now = node.now();
    let RolloutId { service, version, .. } = id;
    if !node.fleet(|f| f.versions_mut().set_phase(id, phase)) {
        return;
    }
    let age = node.fleet(|f| f.versions().age(service, now)).unwrap_or_default();
    let (phase, share) = name_and_share(phase);
    let age_ms = age.as_millis() as u64;
    Event::RolloutPhase { service, version, phase, share, why, age_ms }.emit();
}

/// Name of a phase and the trial version's share of requests in it.
pub fn name_and_share(phase: Phase) -> (&'static str, f64) {
    match phase {
        Phase::Share(share) => ("share", share),
        Phase::All => ("all", 1.0),
        Phase::Back => ("back", 0.0),
    }
}
