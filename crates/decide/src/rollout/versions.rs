//! Which version of a service gets a request.
//!
//! Targets and orders reach a node by different watches, in any order; the store's revisions
//! tell whether the orders are known up to where a version was first seen. Until they are, a
//! version that came beside another one gets nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{Phase, Rollout, RolloutId, RolloutState, Rollouts, Side, Withdrawn};
use model::{Name, Time, hash};

use super::present::{Present, Targets};
use super::withdrawn::WithdrawnVersions;
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

/// What this node does for a running order.
#[derive(Debug)]
struct Trial {
    /// First revision at which the order is known here.
    since: u64,
    phase: Phase,
    /// How old the order was, and when it was so old.
    age: (Duration, Time),
}

/// Orders, by service.
#[derive(Debug, Default, Clone, PartialEq)]
struct Orders {
    known: BTreeMap<Name, Rollout>,
    /// Services whose order cannot be read; an earlier one may be known.
    unreadable: BTreeSet<Name>,
}

/// Some versions of a service.
#[derive(Debug)]
pub enum Chosen<'a> {
    /// Whatever there is.
    Every,
    /// These.
    These(Vec<&'a Name>),
}

impl Chosen<'_> {
    /// Whether a version is one of them.
    pub fn contain(&self, version: &Name) -> bool {
        match self {
            Chosen::Every => true,
            Chosen::These(versions) => versions.contains(&version),
        }
    }
}

/// Versions of services as one node knows them.
#[derive(Debug, Default)]
pub struct Versions {
    /// If the store is to tell of orders, nothing is sent before it has.
    orders: Newest<Orders>,
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

    /// Whether a node that knows the list of a revision, if any, lacks a change.
    pub fn is_news_since(&self, at: Option<u64>) -> bool {
        self.orders.is_news_since(at)
    }

    /// Takes a list unless a newer one is known; returns what it changes.
    pub fn take(&mut self, list: Rollouts, now: Time) -> Vec<RolloutChange> {
        let Rollouts { at, orders, unreadable, withdrawn } = list;
        let known = orders.into_iter().map(|order| (order.service.clone(), order)).collect();
        let mut orders = Orders { known, unreadable: unreadable.into_iter().collect() };
        self.hold_on(&mut orders);
        self.hear_of(withdrawn, at);
        if self.at().is_none_or(|known| at >= known) {
            self.note_served(&orders.unreadable);
        }
        let Some(before) = self.orders.take(at, orders.clone()) else {
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
        let trial = Trial { since, phase: Phase::Share(0.0), age: (Duration::ZERO, now) };
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

    /// A target of a version came, by an entry of this revision, having started then.
    pub fn saw(&mut self, service: &Name, version: &Name, revision: u64, start: u64) {
        self.present.saw(service, version, revision, start);
    }

    /// A target of a version is gone.
    pub fn gone(&mut self, service: &Name, version: &Name) {
        self.present.gone(service, version);
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

    /// Whether orders are known up to where the version was first seen, or none was seen
    /// before it.
    fn is_settled(&self, service: &str, version: &str, at: u64) -> bool {
        let Some(targets) = self.present.get(service, version) else {
            return false;
        };
        targets.first <= at || self.present.of(service).all(|(_, o)| targets.first <= o.first)
    }

    fn order(&self, service: &str) -> Option<&Rollout> {
        self.orders.list()?.known.get(service)
    }

    fn count(&self, service: &str, version: &str) -> usize {
        self.present.get(service, version).map_or(0, |targets| targets.count)
    }

    /// Versions of a service on one side.
    pub fn on_side(&self, service: &str, side: Side) -> Chosen<'_> {
        self.chosen(service, |is| is == Some(side))
    }

    /// Versions of a service that get anything.
    pub fn on_any_side(&self, service: &str) -> Chosen<'_> {
        self.chosen(service, |is| is.is_some())
    }

    fn chosen(&self, service: &str, is_wanted: impl Fn(Option<Side>) -> bool) -> Chosen<'_> {
        if !self.orders.is_followed() {
            let every = is_wanted(Some(Side::Serving));
            return if every { Chosen::Every } else { Chosen::These(Vec::new()) };
        }
        let versions = self.present.of(service).map(|(version, _)| version);
        let wanted = |version: &&Name| is_wanted(self.side(service, version));
        Chosen::These(versions.filter(wanted).collect())
    }

    /// The side of a roll-out that a version of a service is on; `None` if it gets nothing.
    pub fn side(&self, service: &str, version: &str) -> Option<Side> {
        if !self.orders.is_followed() {
            return Some(Side::Serving);
        }
        let at = self.at()?;
        if !self.is_settled(service, version, at) || self.is_withdrawn(service, version) {
            return None;
        }
        if self.is_unproven(service, version) {
            return None;
        }
        let Some(order) = self.order(service) else {
            let serves = !self.asks_peers || self.is_oldest(service, version);
            return serves.then_some(Side::Serving);
        };
        let is_named = *order.version == *version;
        match order.state {
            RolloutState::RolledBack if is_named => None,
            RolloutState::RolledBack => Some(Side::Serving),
            RolloutState::Completed if is_named => Some(Side::Serving),
            RolloutState::Completed => {
                self.came_after(service, version, order).then_some(Side::Serving)
            }
            RolloutState::Ordered | RolloutState::Active => {
                self.side_of_running(service, is_named, order)
            }
        }
    }

    /// Whether a version came after an order to another one was completed. An old target may
    /// write its entry anew before it stops; what started before the completed version did is
    /// none that came after it.
    fn came_after(&self, service: &str, version: &str, order: &Rollout) -> bool {
        let is_newer = |targets: &&Targets| targets.first > order.revision;
        let Some(targets) = self.present.get(service, version).filter(is_newer) else {
            return false;
        };
        let completed = self.present.get(service, &order.version);
        completed.is_none_or(|completed| !targets.started_before(completed))
    }

    /// Whether a version serves by the orders, whatever requests go to one on trial now.
    fn serves_but_for_phase(&self, service: &str, version: &str) -> bool {
        let running = self.order(service).filter(|order| !order.state.is_final());
        match running {
            Some(order) if *order.version == *version => false,
            Some(_) => self.at().is_some_and(|at| {
                self.is_settled(service, version, at) && !self.is_withdrawn(service, version)
            }),
            None => self.side(service, version) == Some(Side::Serving),
        }
    }

    /// Whether the order of its service cannot be read, and may be for this version: it did not
    /// serve before. A node that saw nothing before lets the oldest one serve, since with none
    /// the service would be away.
    fn is_unproven(&self, service: &str, version: &str) -> bool {
        let Some(served) = self.served.get(service) else {
            return false;
        };
        let on_trial = self.order(service).filter(|order| !order.state.is_final());
        if served.contains(version) || on_trial.is_some_and(|order| *order.version == *version) {
            return false;
        }
        let mut versions = self.present.of(service);
        versions.any(|(other, _)| served.contains(other)) || !self.is_oldest(service, version)
    }

    fn is_oldest(&self, service: &str, version: &str) -> bool {
        self.present.oldest(service).is_some_and(|oldest| **oldest == *version)
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
    fn is_withdrawn(&self, service: &str, version: &str) -> bool {
        let Some(withdrawn) = self.withdrawn.get(service, version) else {
            return false;
        };
        if self.order(service).is_some_and(|order| *order.version == *version) {
            return false;
        }
        let Some(own) = self.present.get(service, version) else {
            return false;
        };
        let mut others = self.present.of(service).filter(|(other, _)| ***other != *version);
        if withdrawn.was_bad {
            return others.next().is_some();
        }
        let tried = self.order(service).filter(|o| o.state != RolloutState::Completed);
        others.any(|(other, targets)| match self.withdrawn.get(service, other) {
            _ if tried.is_some_and(|order| order.version == *other) => false,
            Some(other) if other.was_bad => false,
            Some(_) => targets.first < own.first,
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
        let orders = self.orders.list().into_iter().flat_map(|orders| orders.known.values());
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
