//! What a newer list of orders changes.

use std::collections::BTreeSet;
use std::time::Duration;

use model::forward::{Phase, Rollout, RolloutState, Rollouts, Withdrawn};
use model::{Name, Time};

use super::{Orders, Trial, Versions};
use crate::rollout::age::Age;

/// What a newer list of orders tells of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutChange {
    /// A roll-out was ordered, or is under way and this node heard of it now.
    Began(Rollout),
    /// The same order has another state.
    State(Rollout),
    /// Another order took the place of one.
    Replaced {
        /// The one before.
        before: Rollout,
        /// The one in force.
        order: Rollout,
    },
    /// The operator withdrew the order.
    Withdrawn(Rollout),
}

impl Versions {
    /// Takes a list unless a newer one is known; returns what it changes.
    pub fn take(&mut self, list: Rollouts, now: Time) -> Vec<RolloutChange> {
        let Rollouts { at, orders, unreadable, withdrawn } = list;
        let known = orders.into_iter().map(|order| (order.service.clone(), order)).collect();
        let mut orders = Orders { known, unreadable: unreadable.into_iter().collect() };
        self.hold_on(&mut orders);
        self.hear_of(withdrawn, at);
        if !self.is_current() || self.at().is_none_or(|known| at >= known) {
            self.note_served(&orders.unreadable);
        }
        let Some(before) = self.orders.update(at, orders.clone()) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        let is_gone = |service: &Name| {
            !orders.known.contains_key(service) && !orders.unreadable.contains(service)
        };
        for order in before.known.values().filter(|order| is_gone(&order.service)) {
            self.withdraw(order, at);
            changes.push(RolloutChange::Withdrawn(order.clone()));
        }
        for service in before.unreadable.iter().filter(|service| is_gone(service)) {
            self.withdraw_unread(service, at);
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
                self.withdraw(was, self.at().unwrap_or(order.revision));
                if is_running {
                    self.begin(&order, now);
                }
                Some(RolloutChange::Replaced { before: was.clone(), order })
            }
            Some(was) if order.is_anew(was) => {
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
        // Nothing goes there before the judge has told a share: what a node that is out of
        // touch sends would not be counted against the cap.
        let since = order.revision;
        let trial = Trial { since, phase: Phase::Share(0.0), age: Age::new(Duration::ZERO, now) };
        self.trials.insert(order.service.clone(), trial);
    }

    /// The order is gone from the list of a revision.
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

    /// An order that could not be read is gone: it may have been for any version that it kept
    /// from serving.
    fn withdraw_unread(&mut self, service: &Name, at: u64) {
        let versions = self.present.of(service).map(|(version, _)| version);
        let unproven = versions.filter(|version| self.is_unproven(service, version));
        for version in unproven.cloned().collect::<Vec<_>>() {
            let service = service.clone();
            self.withdrawn.add(Withdrawn { service, version, was_bad: false, at });
        }
    }

    /// What was known of an order holds on while it cannot be read, whoever tells so.
    fn hold_on(&self, orders: &mut Orders) {
        for service in &orders.unreadable {
            if let Some(known) = self.order(service) {
                orders.known.entry(service.clone()).or_insert_with(|| known.clone());
            }
        }
    }

    /// Takes from another node which orders were gone before this one heard of any.
    fn hear_of(&mut self, withdrawn: Vec<Withdrawn>, at: u64) {
        let began = *self.began.get_or_insert(at);
        if at < began {
            return;
        }
        for version in withdrawn.into_iter().filter(|version| version.at <= began) {
            if self.withdrawn.get(&version.service, &version.version).is_none() {
                self.withdrawn.add(version);
            }
        }
    }

    /// Notes what serves where an order becomes unreadable.
    fn note_served(&mut self, unreadable: &BTreeSet<Name>) {
        for service in unreadable {
            if self.served.contains_key(service) {
                continue;
            }
            let versions = self.present.of(service).map(|(version, _)| version);
            let serves = |version: &&Name| self.serves_but_for_phase(service, version);
            let served = versions.filter(serves).cloned().collect();
            self.served.insert(service.clone(), served);
        }
    }
}
