//! Targets as evidence on the links of this node.

use std::collections::BTreeSet;

use model::forward::{Allowed, Target};
use model::{Name, Time};

use super::{Fleet, TargetState};
use crate::region::Map;
use crate::rng::Rng;

impl Fleet {
    /// Number of targets with a request in flight that have been silent since before `since`.
    pub fn count_silent(&self, since: Time) -> usize {
        self.all_targets().filter(|t| t.is_silent_since(since)).count()
    }

    /// Forgets failures of the targets that the loss of this node's links has caused.
    pub fn forgive_failures(&mut self) {
        self.all_targets_mut().for_each(TargetState::forgive);
    }

    /// Targets to probe in order to tell whether the links work: at most `max`, of different
    /// services if there are any, near ones and those that are not failing first.
    pub fn link_probes(
        &self,
        failing: &BTreeSet<Name>,
        domain: &Name,
        map: &Map,
        max: usize,
        now: Time,
        rng: &mut Rng,
    ) -> Vec<Target> {
        let listed = |t: &&TargetState| self.lasting_exclusion(t, &Allowed::ANY, now).is_none();
        let mut targets: Vec<&Target> =
            self.all_targets().filter(listed).map(|t| &t.target).collect();
        rng.shuffle(&mut targets);
        let distance = |t: &Target| (t.domain != *domain, !map.is_near(&t.domain));
        targets.sort_by_key(|t| (failing.contains(&t.id.name), distance(t)));
        let mut services = BTreeSet::new();
        let (first, further): (Vec<&Target>, Vec<&Target>) =
            targets.into_iter().partition(|t| services.insert(&t.service));
        first.into_iter().chain(further).take(max).cloned().collect()
    }
}
