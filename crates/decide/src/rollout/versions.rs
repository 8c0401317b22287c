//! Which version of a service gets a request.
//!
//! Targets and orders reach a node by separate watches, in any order; the store's revisions tell
//! whether the orders are known up to the revision at which a version first appeared. Until they
//! are, a version that joined an existing one gets no requests.

mod list;
mod restore;
mod side;
mod trial;

use std::collections::{BTreeMap, BTreeSet};

use model::Name;
use model::forward::{Rollout, Rollouts};

use super::present::LiveVersions;
use super::withdrawn::WithdrawnVersions;
use crate::relay::LatestList;

pub use list::RolloutChange;
pub use restore::LostState;
use restore::Restore;
use trial::Trial;

/// Orders by service.
#[derive(Debug, Default, Clone, PartialEq)]
struct Orders {
    known: BTreeMap<Name, Rollout>,
    /// Services whose order is unreadable; an earlier one may be known.
    unreadable: BTreeSet<Name>,
}

/// Versions of services, as known to one node.
#[derive(Debug, Default)]
pub struct Versions {
    /// Orders as the store has them. Once they are followed, no version is used before the first
    /// list arrives.
    orders: LatestList<Orders>,
    /// Orders in force: those of the store, and what it lost when it was restored.
    in_force: Orders,
    restore: Restore,
    /// Revision of the first list of orders that this node received.
    first_list: Option<u64>,
    live: LiveVersions,
    trials: BTreeMap<Name, Trial>,
    withdrawn: WithdrawnVersions,
    /// Whether peers are being asked which orders were withdrawn before this node started.
    awaiting_peers: bool,
    /// Versions that served when the order of their service became unreadable.
    served: BTreeMap<Name, BTreeSet<Name>>,
}

impl Versions {
    /// Starts to follow orders: no version is used before they are known.
    pub fn follow(&mut self) {
        self.orders.follow();
    }

    /// Sets whether peers are being asked which orders were withdrawn before this node started.
    /// Until they have answered, only one version of a service serves where no order names one.
    pub fn set_awaiting_peers(&mut self, awaiting: bool) {
        self.awaiting_peers = awaiting;
    }

    /// Whether orders are known, or none are followed.
    pub fn is_known(&self) -> bool {
        self.orders.is_known()
    }

    /// Revision of the newest list; `None` if no list is known.
    pub fn revision(&self) -> Option<u64> {
        self.orders.revision()
    }

    /// The current list, to send to another node.
    pub fn list(&self) -> Option<Rollouts> {
        let orders = self.orders.list()?;
        Some(Rollouts {
            at: self.revision()?,
            orders: orders.known.values().cloned().collect(),
            unreadable: orders.unreadable.iter().cloned().collect(),
            withdrawn: self.withdrawn.all(),
        })
    }

    /// Whether the list belongs to the current epoch of the store.
    pub fn is_current(&self) -> bool {
        self.orders.is_current()
    }

    /// Whether a node that holds the list of revision `at`, if any, lacks a change.
    pub fn has_changed_since(&self, at: Option<u64>) -> bool {
        self.orders.has_changed_since(at)
    }

    /// Adds a target of a version, with the revision of its entry and its start time.
    pub fn add_target(&mut self, service: &Name, version: &Name, revision: u64, start: u64) {
        self.live.add_target(service, version, revision, start);
    }

    /// Removes a target of a version.
    pub fn remove_target(&mut self, service: &Name, version: &Name) {
        self.live.remove_target(service, version);
    }

    /// Number of changes of the live versions so far.
    pub fn changes(&self) -> u64 {
        self.live.changes()
    }

    /// Revision up to which orders must be known before every version is settled; `None` if all
    /// are.
    pub fn unsettled(&self) -> Option<u64> {
        if !self.orders.is_followed() {
            return None;
        }
        let at = self.revision().unwrap_or(0);
        self.live.newest_revision().filter(|newest| *newest > at)
    }

    fn order(&self, service: &str) -> Option<&Rollout> {
        self.in_force.known.get(service)
    }

    fn count(&self, service: &str, version: &str) -> usize {
        self.live.get(service, version).map_or(0, |targets| targets.count)
    }

    /// Orders whose state is not final.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.in_force.known.values().filter(|order| !order.state.is_final())
    }
}
