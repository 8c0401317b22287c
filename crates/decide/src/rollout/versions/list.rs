//! Applies newer lists of orders.

use std::collections::BTreeSet;
use std::time::Duration;

use model::forward::{Phase, Rollout, RolloutState, Rollouts, Withdrawn};
use model::{Name, Time};

use super::{Orders, Trial, Versions};
use crate::rollout::age::Age;

/// Change that a newer list makes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutChange {
    /// A rollout was ordered, or one in progress became known to this node.
    Began(Rollout),
    /// The same order has another state.
    State(Rollout),
    /// Another order replaced the one before.
    Replaced {
        /// The earlier order.
        before: Rollout,
        /// The current order.
        order: Rollout,
    },
    /// The operator withdrew the order.
    Withdrawn(Rollout),
}

impl Versions {
    /// Applies a list unless a newer one is known; returns the changes.
    pub fn apply(&mut self, list: Rollouts, now: Time) -> Vec<RolloutChange> {
        let Rollouts { at, orders, unreadable, withdrawn } = list;
        let known = orders.into_iter().map(|order| (order.service.clone(), order)).collect();
        let mut orders = Orders { known, unreadable: unreadable.into_iter().collect() };
        self.retain_unreadable(&mut orders);
        self.merge_withdrawn(withdrawn, at);
        if self.orders.is_older(at) {
            return Vec::new();
        }
        self.record_served(&orders.unreadable);
        if !self.is_current() {
            self.restore.first_list(at);
        }
        self.orders.update(at, orders);
        self.update_in_force(now)
    }

    /// Puts the latest list in force, as far as a restore of the store does not stand against it;
    /// returns the changes.
    pub(super) fn update_in_force(&mut self, now: Time) -> Vec<RolloutChange> {
        let mut orders = self.orders.list().cloned().unwrap_or_default();
        let is_settling = self.orders.is_settling(now);
        self.restore.complete(&mut orders, &self.withdrawn, is_settling);
        let at = self.revision().unwrap_or(0);
        let before = std::mem::replace(&mut self.in_force, orders.clone());
        if before == orders {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let is_removed = |service: &Name| {
            !orders.known.contains_key(service) && !orders.unreadable.contains(service)
        };
        for order in before.known.values().filter(|order| is_removed(&order.service)) {
            self.withdraw(order, at);
            changes.push(RolloutChange::Withdrawn(order.clone()));
        }
        for service in before.unreadable.iter().filter(|service| is_removed(service)) {
            self.withdraw_unreadable(service, at);
        }
        self.served.retain(|service, _| orders.unreadable.contains(service));
        for order in orders.known.into_values() {
            let was = before.known.get(&order.service);
            changes.extend(self.change(was, order, now));
        }
        changes
    }

    fn change(
        &mut self,
        was: Option<&Rollout>,
        order: Rollout,
        now: Time,
    ) -> Option<RolloutChange> {
        let is_running = !order.state.is_final();
        self.withdrawn.remove(&order.service, &order.version);
        match was {
            None if is_running => {
                self.begin(&order, now);
                Some(RolloutChange::Began(order))
            }
            None => Some(RolloutChange::State(order)),
            Some(was) if was.version != order.version => {
                self.withdraw(was, self.revision().unwrap_or(order.revision));
                if is_running {
                    self.begin(&order, now);
                }
                Some(RolloutChange::Replaced { before: was.clone(), order })
            }
            Some(was) if order.is_new_order(was) => {
                self.begin(&order, now);
                Some(RolloutChange::Began(order))
            }
            Some(was) if was.state != order.state => {
                if order.state.is_final() {
                    self.trials.remove(&order.service);
                }
                Some(RolloutChange::State(order))
            }
            Some(_) => None,
        }
    }

    fn begin(&mut self, order: &Rollout, now: Time) {
        // The share starts at 0 until the judge sets one: requests sent by a node that the judge
        // cannot reach would not count against the cap.
        let since = order.revision;
        let trial = Trial { since, phase: Phase::Share(0.0), age: Age::new(Duration::ZERO, now) };
        self.trials.insert(order.service.clone(), trial);
    }

    /// Records an order as withdrawn that is missing from the list of revision `at`.
    fn withdraw(&mut self, order: &Rollout, at: u64) {
        self.trials.remove(&order.service);
        let was_bad = match order.state {
            RolloutState::Completed => return,
            RolloutState::RolledBack => true,
            RolloutState::Ordered | RolloutState::Active => false,
        };
        let (service, version) = (order.service.clone(), order.version.clone());
        self.withdrawn.add(Withdrawn { service, version, was_bad, at });
    }

    /// An unreadable order was withdrawn: it may have been for any of the versions that it kept
    /// from serving.
    fn withdraw_unreadable(&mut self, service: &Name, at: u64) {
        let versions = self.live.versions(service).map(|(version, _)| version);
        let unproven = versions.filter(|version| self.may_be_on_trial(service, version));
        for version in unproven.cloned().collect::<Vec<_>>() {
            let service = service.clone();
            self.withdrawn.add(Withdrawn { service, version, was_bad: false, at });
        }
    }

    /// Keeps the last known state of an order while it is unreadable, whichever source reports
    /// that.
    fn retain_unreadable(&self, orders: &mut Orders) {
        for service in &orders.unreadable {
            if let Some(known) = self.order(service) {
                orders.known.entry(service.clone()).or_insert_with(|| known.clone());
            }
        }
    }

    /// Merges another node's list of the orders that were withdrawn before this node read its first
    /// one.
    fn merge_withdrawn(&mut self, withdrawn: Vec<Withdrawn>, at: u64) {
        let began = *self.first_list.get_or_insert(at);
        if at < began {
            return;
        }
        for version in withdrawn.into_iter().filter(|version| version.at <= began) {
            if self.withdrawn.get(&version.service, &version.version).is_none() {
                self.withdrawn.add(version);
            }
        }
    }

    /// Records which versions serve at the time when an order becomes unreadable.
    fn record_served(&mut self, unreadable: &BTreeSet<Name>) {
        for service in unreadable {
            if self.served.contains_key(service) {
                continue;
            }
            let versions = self.live.versions(service).map(|(version, _)| version);
            let serves = |version: &&Name| self.serves_ignoring_phase(service, version);
            let served = versions.filter(serves).cloned().collect();
            self.served.insert(service.clone(), served);
        }
    }
}
