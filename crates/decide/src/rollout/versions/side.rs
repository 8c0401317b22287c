//! Which versions of a service get requests, and on which side of a rollout each of them is.

use model::Name;
use model::forward::{Phase, Rollout, RolloutState, Side};

use super::Versions;
use crate::rollout::present::VersionTargets;

/// A set of versions of one service.
#[derive(Debug)]
pub enum VersionSet<'a> {
    /// Every version.
    All,
    /// The listed versions.
    Listed(Vec<&'a Name>),
}

impl VersionSet<'_> {
    /// Whether the set contains a version.
    pub fn contains(&self, version: &Name) -> bool {
        match self {
            VersionSet::All => true,
            VersionSet::Listed(versions) => versions.contains(&version),
        }
    }
}

impl Versions {
    /// Whether orders are known up to the revision at which the version first appeared, or it was
    /// the first of its service.
    pub(super) fn is_settled(&self, service: &str, version: &str, at: u64) -> bool {
        let Some(targets) = self.live.get(service, version) else {
            return false;
        };
        targets.first_revision <= at
            || self.live.versions(service).all(|(_, o)| targets.first_revision <= o.first_revision)
    }

    /// Versions of a service on one side of a rollout.
    pub fn on_side(&self, service: &str, side: Side) -> VersionSet<'_> {
        self.select(service, |is| is == Some(side))
    }

    /// Sides to which calls of a stage service may go; the trial side comes with the share of all
    /// pieces that it may get, if that is limited.
    pub fn call_sides(&self, service: &str) -> Vec<(Side, Option<f64>)> {
        match self.phase(service) {
            Some(Phase::Share(share)) => vec![(Side::Serving, None), (Side::Trial, Some(share))],
            Some(Phase::All) => vec![(Side::Serving, None), (Side::Trial, None)],
            Some(Phase::Back) | None => vec![(Side::Serving, None)],
        }
    }

    /// Versions of a service that get requests.
    pub fn on_any_side(&self, service: &str) -> VersionSet<'_> {
        self.select(service, |is| is.is_some())
    }

    pub(super) fn select(
        &self,
        service: &str,
        is_selected: impl Fn(Option<Side>) -> bool,
    ) -> VersionSet<'_> {
        if !self.orders.is_followed() {
            let every = is_selected(Some(Side::Serving));
            return if every { VersionSet::All } else { VersionSet::Listed(Vec::new()) };
        }
        let versions = self.live.versions(service).map(|(version, _)| version);
        let selected = |version: &&Name| is_selected(self.side(service, version));
        VersionSet::Listed(versions.filter(selected).collect())
    }

    /// Side of a rollout on which a version is; `None` if it gets no requests.
    pub fn side(&self, service: &str, version: &str) -> Option<Side> {
        if !self.orders.is_followed() {
            return Some(Side::Serving);
        }
        let at = self.revision()?;
        if !self.is_settled(service, version, at) || self.is_withdrawn(service, version) {
            return None;
        }
        if self.may_be_on_trial(service, version) {
            return None;
        }
        let Some(order) = self.order(service) else {
            let serves = !self.awaiting_peers || self.is_oldest(service, version);
            return serves.then_some(Side::Serving);
        };
        let is_named = *order.version == *version;
        match order.state {
            RolloutState::RolledBack if is_named => None,
            RolloutState::RolledBack => Some(Side::Serving),
            RolloutState::Completed if is_named => Some(Side::Serving),
            RolloutState::Completed => {
                self.is_later_release(service, version, order).then_some(Side::Serving)
            }
            RolloutState::Ordered | RolloutState::Active => {
                self.side_of_running(service, is_named, order)
            }
        }
    }

    /// Whether a version is a release later than the completion of `order`, which was for another
    /// version. An old target may rewrite its entry before it stops, so a version that started
    /// before the completed one does not count as later.
    pub(super) fn is_later_release(&self, service: &str, version: &str, order: &Rollout) -> bool {
        let completed_at = self.restore.completed_at(order);
        let is_newer = |targets: &&VersionTargets| targets.first_revision > completed_at;
        let Some(targets) = self.live.get(service, version).filter(is_newer) else {
            return false;
        };
        let completed = self.live.get(service, &order.version);
        completed.is_none_or(|completed| !targets.started_before(completed))
    }

    /// Whether a version serves according to the orders, regardless of the share that a trial
    /// version gets now.
    pub(super) fn serves_ignoring_phase(&self, service: &str, version: &str) -> bool {
        let running = self.order(service).filter(|order| !order.state.is_final());
        match running {
            Some(order) if *order.version == *version => false,
            Some(_) => self.revision().is_some_and(|at| {
                self.is_settled(service, version, at) && !self.is_withdrawn(service, version)
            }),
            None => self.side(service, version) == Some(Side::Serving),
        }
    }

    /// Whether the unreadable order of its service may be for this version, which is so if it did
    /// not serve before. A node that saw none of the service's versions serve before lets the
    /// oldest one serve, since without any the service would be unavailable.
    pub(super) fn may_be_on_trial(&self, service: &str, version: &str) -> bool {
        let Some(served) = self.served.get(service) else {
            return false;
        };
        let on_trial = self.order(service).filter(|order| !order.state.is_final());
        if served.contains(version) || on_trial.is_some_and(|order| *order.version == *version) {
            return false;
        }
        let mut versions = self.live.versions(service);
        versions.any(|(other, _)| served.contains(other)) || !self.is_oldest(service, version)
    }

    pub(super) fn is_oldest(&self, service: &str, version: &str) -> bool {
        self.live.oldest(service).is_some_and(|oldest| **oldest == *version)
    }

    pub(super) fn side_of_running(
        &self,
        service: &str,
        is_named: bool,
        order: &Rollout,
    ) -> Option<Side> {
        let phase = self.trials.get(service).map(|trial| trial.phase);
        match phase {
            Some(Phase::Back) if is_named => None,
            _ if is_named => Some(Side::Trial),
            // While the new version has targets to take all requests.
            Some(Phase::All) if self.count(service, &order.version) > 0 => None,
            _ => Some(Side::Serving),
        }
    }

    /// Whether its order was withdrawn or replaced and another version can serve.
    pub(super) fn is_withdrawn(&self, service: &str, version: &str) -> bool {
        let Some(withdrawn) = self.withdrawn.get(service, version) else {
            return false;
        };
        if self.order(service).is_some_and(|order| *order.version == *version) {
            return false;
        }
        let Some(own) = self.live.get(service, version) else {
            return false;
        };
        let mut others = self.live.versions(service).filter(|(other, _)| ***other != *version);
        if withdrawn.was_bad {
            return others.next().is_some();
        }
        let tried = self.order(service).filter(|o| o.state != RolloutState::Completed);
        others.any(|(other, targets)| match self.withdrawn.get(service, other) {
            _ if tried.is_some_and(|order| order.version == *other) => false,
            Some(other) if other.was_bad => false,
            Some(_) => targets.first_revision < own.first_revision,
            None => true,
        })
    }
}
