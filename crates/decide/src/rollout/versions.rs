//! Which version of a service gets a request.
//!
//! Targets and orders reach a node by different watches, in any order; the store's revisions
//! tell whether the orders are known up to where a version was first seen. Until they are, a
//! version that came beside another one gets nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Phase, Rollout, RolloutId, RolloutState, Rollouts, Side};
use model::{Name, Time, hash};

use crate::relay::Newest;

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

/// Targets of one version that are there now.
#[derive(Debug)]
struct Present {
    count: usize,
    /// Lowest revision of an entry that told of one since there were none before.
    first: u64,
}

/// What this node does for a running order.
#[derive(Debug)]
struct Trial {
    /// First revision at which the order is known here.
    since: u64,
    phase: Phase,
    /// How old the order was, and when it was so old.
    age: (Duration, Time),
}

/// How the order of a version ended that was withdrawn or replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Dropped {
    /// It was taken back.
    Bad,
    /// Its end was not heard of: it may have been completed, and serve alone since.
    Unended,
}

/// Versions of services as one node knows them.
#[derive(Debug, Default)]
pub struct Versions {
    /// Orders by service; if the store is to tell of them, nothing is sent before it has.
    orders: Newest<BTreeMap<Name, Rollout>>,
    present: BTreeMap<Name, BTreeMap<Name, Present>>,
    trials: BTreeMap<Name, Trial>,
    /// Versions whose order was withdrawn or replaced before it was completed.
    dropped: BTreeMap<Name, BTreeMap<Name, Dropped>>,
}

impl Versions {
    /// Orders are followed from now on: no version is used before they are known.
    pub fn follow(&mut self) {
        self.orders.follow();
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
        let orders = self.orders.list()?.values().cloned().collect();
        Some(Rollouts { at: self.at()?, orders })
    }

    /// Whether a node that knows the list of a revision, if any, lacks a change.
    pub fn is_news_since(&self, at: Option<u64>) -> bool {
        self.orders.is_news_since(at)
    }

    /// Takes a list unless a newer one is known; returns what it changes.
    pub fn take(&mut self, list: Rollouts, now: Time) -> Vec<RolloutChange> {
        let orders: BTreeMap<Name, Rollout> =
            list.orders.into_iter().map(|order| (order.service.clone(), order)).collect();
        let Some(before) = self.orders.take(list.at, orders.clone()) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for (service, order) in &before {
            if !orders.contains_key(service) {
                self.withdraw(order);
                changes.push(RolloutChange::Withdrawn(order.clone()));
            }
        }
        for order in orders.into_values() {
            let was = before.get(&order.service);
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
        if let Some(dropped) = self.dropped.get_mut(&order.service) {
            dropped.remove(&order.version);
        }
        match was {
            None if is_running => {
                self.begin(&order, now);
                Some(RolloutChange::Began(order))
            }
            None => Some(RolloutChange::State(order)),
            Some(was) if was.version != order.version => {
                self.withdraw(was);
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
        let trial = Trial { since, phase: Phase::Share(0.0), age: (Duration::ZERO, now) };
        self.trials.insert(order.service.clone(), trial);
    }

    fn withdraw(&mut self, order: &Rollout) {
        self.trials.remove(&order.service);
        let why = match order.state {
            RolloutState::Completed => return,
            RolloutState::RolledBack => Dropped::Bad,
            RolloutState::Ordered | RolloutState::Active => Dropped::Unended,
        };
        let dropped = self.dropped.entry(order.service.clone()).or_default();
        dropped.insert(order.version.clone(), why);
    }

    /// A target of a version came, by an entry of this revision.
    pub fn saw(&mut self, service: &Name, version: &Name, revision: u64) {
        let versions = self.present.entry(service.clone()).or_default();
        let targets =
            versions.entry(version.clone()).or_insert(Present { count: 0, first: revision });
        targets.count += 1;
        targets.first = targets.first.min(revision);
    }

    /// A target of a version is gone.
    pub fn gone(&mut self, service: &Name, version: &Name) {
        let Some(versions) = self.present.get_mut(service) else {
            return;
        };
        if let Some(targets) = versions.get_mut(version) {
            targets.count = targets.count.saturating_sub(1);
        }
        versions.retain(|_, targets| targets.count > 0);
        if versions.is_empty() {
            self.present.remove(service);
        }
    }

    /// Revision up to which orders have to be known before every version is settled; `None`
    /// if all are.
    pub fn unsettled(&self) -> Option<u64> {
        if !self.orders.is_followed() {
            return None;
        }
        let at = self.at().unwrap_or(0);
        let newest = |versions: &BTreeMap<Name, Present>| {
            let oldest = versions.values().map(|targets| targets.first).min()?;
            let newer =
                versions.values().map(|targets| targets.first).filter(|first| *first > oldest);
            newer.max()
        };
        self.present.values().filter_map(newest).max().filter(|newest| *newest > at)
    }

    /// Whether orders are known up to where the version was first seen, or none was seen
    /// before it.
    fn is_settled(&self, service: &str, version: &str, at: u64) -> bool {
        let Some(versions) = self.present.get(service) else {
            return false;
        };
        let Some(targets) = versions.get(version) else {
            return false;
        };
        targets.first <= at || versions.values().all(|other| targets.first <= other.first)
    }

    fn order(&self, service: &str) -> Option<&Rollout> {
        self.orders.list()?.get(service)
    }

    fn count(&self, service: &str, version: &str) -> usize {
        self.present.get(service).and_then(|v| v.get(version)).map_or(0, |targets| targets.count)
    }

    /// The side of a roll-out that a version of a service is on; `None` if it gets nothing.
    pub fn side(&self, service: &str, version: &str) -> Option<Side> {
        if !self.orders.is_followed() {
            return Some(Side::Serving);
        }
        let at = self.at()?;
        if !self.is_settled(service, version, at) || self.is_dropped(service, version) {
            return None;
        }
        let Some(order) = self.order(service) else {
            return Some(Side::Serving);
        };
        let is_named = *order.version == *version;
        match order.state {
            RolloutState::RolledBack if is_named => None,
            RolloutState::RolledBack => Some(Side::Serving),
            RolloutState::Completed if is_named => Some(Side::Serving),
            RolloutState::Completed => {
                let first = self.present.get(service)?.get(version)?.first;
                (first > order.revision).then_some(Side::Serving)
            }
            RolloutState::Ordered | RolloutState::Active => {
                self.side_of_running(service, is_named, order)
            }
        }
    }

    fn side_of_running(&self, service: &str, is_named: bool, order: &Rollout) -> Option<Side> {
        let phase = self.trials.get(service).map(|trial| trial.phase);
        match phase {
            Some(Phase::Back) if is_named => None,
            _ if is_named => Some(Side::Trial),
            // As long as the new version can take all of them.
            Some(Phase::All) if self.count(service, &order.version) > 0 => None,
            _ => Some(Side::Serving),
        }
    }

    /// Whether its order was withdrawn or replaced, and another version can serve.
    fn is_dropped(&self, service: &str, version: &str) -> bool {
        let Some(dropped) = self.dropped.get(service) else {
            return false;
        };
        let (Some(why), Some(versions)) = (dropped.get(version), self.present.get(service)) else {
            return false;
        };
        let mut others = versions.iter().filter(|(other, _)| ***other != *version);
        if *why == Dropped::Bad {
            return others.next().is_some();
        }
        let own = versions.get(version).map_or(u64::MAX, |targets| targets.first);
        let tried = self.order(service).filter(|o| o.state != RolloutState::Completed);
        others.any(|(other, targets)| match dropped.get(other) {
            _ if tried.is_some_and(|order| order.version == *other) => false,
            Some(Dropped::Bad) => false,
            Some(Dropped::Unended) => targets.first < own,
            None => true,
        })
    }

    /// The side that a request goes to; always the same for one attempt while the phase holds.
    pub fn turn(&self, service: &str, attempt: &str) -> Side {
        let Some(trial) = self.trials.get(service) else {
            return Side::Serving;
        };
        let chance = match trial.phase {
            Phase::Share(chance) => chance,
            Phase::All => 1.0,
            Phase::Back => 0.0,
        };
        let Some(order) = self.order(service).filter(|_| draw(service, attempt) < chance) else {
            return Side::Serving;
        };
        let is_there = self.count(service, &order.version) > 0;
        match self.side(service, &order.version) {
            Some(Side::Trial) if is_there => Side::Trial,
            _ => Side::Serving,
        }
    }

    /// Orders that are under way.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        let orders = self.orders.list().into_iter().flat_map(BTreeMap::values);
        orders.filter(|order| !order.state.is_final())
    }

    /// What names a service's running order.
    pub fn order_id(&self, service: &str) -> Option<RolloutId> {
        let trial = self.trials.get(service)?;
        Some(self.order(service)?.id(trial.since))
    }

    /// The running order that is meant.
    pub fn meant(&self, id: &RolloutId) -> Option<&Rollout> {
        let own = self.order_id(&id.service)?;
        self.order(&id.service).filter(|_| own.is_same(id))
    }

    /// Phase of a service's running order.
    pub fn phase(&self, service: &str) -> Option<Phase> {
        self.trials.get(service).map(|trial| trial.phase)
    }

    /// Works by another phase of an order from now on; returns whether that is a change. What
    /// was taken back stays so, and what all requests were sent to does not go back to a share.
    pub fn set_phase(&mut self, id: &RolloutId, phase: Phase, now: Time) -> bool {
        if self.meant(id).is_none() {
            return false;
        }
        let Some(trial) = self.trials.get_mut(&id.service) else {
            return false;
        };
        let stays = match (trial.phase, phase) {
            (Phase::Back, _) | (Phase::All, Phase::Share(_)) => true,
            (was, is) => was == is,
        };
        if stays {
            return false;
        }
        trial.phase = phase;
        trial.age = (trial.age.0 + now.since(trial.age.1), now);
        true
    }

    /// Time since any node first heard of a service's running order, as far as is known here.
    pub fn age(&self, service: &str, now: Time) -> Option<Duration> {
        let (age, at) = self.trials.get(service)?.age;
        Some(age + now.since(at))
    }

    /// The order is at least so old: another node heard of it before.
    pub fn set_age(&mut self, id: &RolloutId, at_least: Duration, now: Time) {
        let Some(age) = self.meant(id).and_then(|_| self.age(&id.service, now)) else {
            return;
        };
        if let Some(trial) = self.trials.get_mut(&id.service) {
            trial.age = (age.max(at_least), now);
        }
    }
}

/// A number in 0..1 that belongs to an attempt; by hash, so that nodes need no counts, a
/// restarted node forgets nothing, and repeats of an attempt count once.
fn draw(service: &str, attempt: &str) -> f64 {
    let drawn = hash::mix(hash::of(attempt.as_bytes()), hash::of(service.as_bytes()));
    (drawn >> 11) as f64 / (1u64 << 53) as f64
}
