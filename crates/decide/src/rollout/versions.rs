//! Which version of a service gets a request.
//!
//! Targets and orders reach a node by different watches, in any order; the store's revisions
//! tell whether the orders are known up to where a version was first seen. Until they are, a
//! version that came beside another one gets nothing.

mod list;
mod side;
mod trial;

use std::collections::{BTreeMap, BTreeSet};

use model::Name;
use model::forward::{Rollout, Rollouts};

use super::present::Present;
use super::withdrawn::WithdrawnVersions;
use crate::relay::LatestList;

pub use list::RolloutChange;
use trial::Trial;

/// Orders, by service.
#[derive(Debug, Default, Clone, PartialEq)]
struct Orders {
    known: BTreeMap<Name, Rollout>,
    /// Services whose order cannot be read; an earlier one may be known.
    unreadable: BTreeSet<Name>,
}

/// Versions of services as one node knows them.
#[derive(Debug, Default)]
pub struct Versions {
    /// If the store is to tell of orders, nothing is sent before it has.
    orders: LatestList<Orders>,
    /// Revision of the first list of orders that this node heard of.
    began: Option<u64>,
    present: Present,
    trials: BTreeMap<Name, Trial>,
    withdrawn: WithdrawnVersions,
    /// Peers are being asked which orders were withdrawn before this node started.
    asks_peers: bool,
    /// Versions that served when the order of their service became unreadable.
    served: BTreeMap<Name, BTreeSet<Name>>,
}

impl Versions {
    /// Orders are followed from now on: no version is used before they are known.
    pub fn follow(&mut self) {
        self.orders.follow();
    }

    /// Whether peers are being asked which orders were withdrawn before this node started.
    /// Until then one of a service's versions serves where no order tells which.
    pub fn set_asks_peers(&mut self, asks: bool) {
        self.asks_peers = asks;
    }

    /// Whether orders are known, or none are followed.
    pub fn is_known(&self) -> bool {
        self.orders.is_known()
    }

    /// Revision of the newest list; `None` if none is known.
    pub fn at(&self) -> Option<u64> {
        self.orders.at()
    }

    /// The list, for another node.
    pub fn list(&self) -> Option<Rollouts> {
        let orders = self.orders.list()?;
        Some(Rollouts {
            at: self.at()?,
            orders: orders.known.values().cloned().collect(),
            unreadable: orders.unreadable.iter().cloned().collect(),
            withdrawn: self.withdrawn.all(),
        })
    }

    /// Whether the list is of this epoch of the store.
    pub fn is_current(&self) -> bool {
        self.orders.is_current()
    }

    /// The store came back from an older copy.
    pub fn begin_epoch(&mut self) {
        self.orders.begin_epoch();
    }

    /// Whether a node that knows the list of a revision, if any, lacks a change.
    pub fn is_news_since(&self, at: Option<u64>) -> bool {
        self.orders.changed_since(at)
    }

    /// A target of a version came, by an entry of this revision, having started then.
    pub fn saw(&mut self, service: &Name, version: &Name, revision: u64, start: u64) {
        self.present.saw(service, version, revision, start);
    }

    /// A target of a version is gone.
    pub fn gone(&mut self, service: &Name, version: &Name) {
        self.present.gone(service, version);
    }

    /// Times that the versions that are there changed.
    pub fn changes(&self) -> u64 {
        self.present.changes()
    }

    /// Revision up to which orders have to be known before every version is settled; `None`
    /// if all are.
    pub fn unsettled(&self) -> Option<u64> {
        if !self.orders.is_followed() {
            return None;
        }
        let at = self.at().unwrap_or(0);
        self.present.newest().filter(|newest| *newest > at)
    }

    fn order(&self, service: &str) -> Option<&Rollout> {
        self.orders.list()?.known.get(service)
    }

    fn count(&self, service: &str, version: &str) -> usize {
        self.present.get(service, version).map_or(0, |targets| targets.count)
    }

    /// Orders that are under way.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        let orders = self.orders.list().into_iter().flat_map(|orders| orders.known.values());
        orders.filter(|order| !order.state.is_final())
    }
}
