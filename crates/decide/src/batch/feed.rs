//! Tells a coordinator which makers may get calls.
//!
//! The whole list is told once, and again when something changes that concerns all makers. Apart
//! from that only what discovery changed, and what time alone changes, is looked at.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{PoolId, Side, TargetId};
use model::{Name, Time};

use super::types::{Event, MakerInfo};
use crate::fleet::{ChangedTargets, ColdLimit, Fleet, TargetState, Terms};
use crate::permit::{MAX_LIMITED_PIECES, issue_rate};
use crate::region::Map;

/// Makers of one pool as its coordinator was told of them.
#[derive(Debug, Default)]
pub struct MakerFeed {
    /// Up to where changes of the fleet were looked at; `None` before the first look.
    cursor: Option<u64>,
    cold: Option<ColdLimit>,
    /// Whether makers are there that name no limit, so that those that do get short calls.
    others_bear: bool,
    told: BTreeMap<Name, TargetId>,
    /// Targets that become usable or not, or warm, by time alone.
    due: BTreeSet<(Time, Name)>,
}

/// What is looked at for one pool.
struct View<'a> {
    fleet: &'a Fleet,
    pool: &'a PoolId,
    map: &'a Map,
    cold: Option<ColdLimit>,
    others_bear: bool,
    sides: Vec<(Side, Option<f64>)>,
    now: Time,
}

impl MakerFeed {
    /// What the coordinator is to be told by now, if anything.
    pub fn news(
        &mut self,
        fleet: &Fleet,
        pool: &PoolId,
        map: &Map,
        cold: Option<ColdLimit>,
        now: Time,
    ) -> Option<Event> {
        let names = self.take_changes(fleet, now);
        if cold == self.cold && names.as_ref().is_some_and(Vec::is_empty) {
            return None;
        }
        let sides = fleet.versions().call_sides(&pool.service);
        let others_bear = self.others_bear;
        let mut view = View { fleet, pool, map, cold, others_bear, sides, now };
        view.others_bear = view.bear_others();
        let holds = view.cold == self.cold && view.others_bear == self.others_bear;
        match names.filter(|_| holds) {
            Some(names) => self.changed(&view, &names),
            None => Some(self.whole(&view)),
        }
    }

    /// Names that may have changed since the last look; `None` if any may.
    fn take_changes(&mut self, fleet: &Fleet, now: Time) -> Option<Vec<Name>> {
        let cursor = self.cursor.replace(fleet.cursor());
        let ChangedTargets::Names(mut names) = fleet.changes_since(cursor?) else {
            return None;
        };
        while let Some((at, name)) = self.due.pop_first() {
            if at > now {
                self.due.insert((at, name));
                break;
            }
            names.push(name);
        }
        Some(names)
    }

    fn whole(&mut self, view: &View<'_>) -> Event {
        self.cold = view.cold;
        self.others_bear = view.others_bear;
        self.told.clear();
        self.due.clear();
        let mut makers = Vec::new();
        for b in view.fleet.of_service(&view.pool.service) {
            let until = view.fleet.valid_until(b, view.cold, view.now);
            self.due.extend(until.map(|at| (at, b.target.id.name.clone())));
            makers.extend(view.info(b));
        }
        self.told.extend(makers.iter().map(|m| (m.id.name.clone(), m.id.clone())));
        Event::Makers(makers)
    }

    fn changed(&mut self, view: &View<'_>, names: &[Name]) -> Option<Event> {
        let names: BTreeSet<&Name> = names.iter().collect();
        let (mut there, mut gone) = (Vec::new(), Vec::new());
        for name in names {
            let belief = view.fleet.by_name(name).filter(|b| b.target.service == view.pool.service);
            let until = belief.and_then(|b| view.fleet.valid_until(b, view.cold, view.now));
            self.due.extend(until.map(|at| (at, name.clone())));
            let info = belief.and_then(|b| view.info(b));
            let told = self.told.remove(name);
            gone.extend(told.filter(|id| info.as_ref().is_none_or(|info| info.id != *id)));
            if let Some(info) = info {
                self.told.insert(name.clone(), info.id.clone());
                there.push(info);
            }
        }
        let is_news = !there.is_empty() || !gone.is_empty();
        is_news.then_some(Event::Changed { there, gone })
    }
}

impl View<'_> {
    fn names_limit(&self, b: &TargetState) -> bool {
        self.fleet.limits().get(&b.target.id).is_some()
    }

    fn bear_others(&self) -> bool {
        let limits = self.fleet.limits();
        let mut usable = self.fleet.usable(&self.pool.service, Terms::ANY, self.now);
        limits.is_empty() || usable.any(|b| !self.names_limit(b))
    }

    /// A target as the machine is to know it; `None` if it may get no calls.
    fn info(&self, b: &TargetState) -> Option<MakerInfo> {
        let region = self.pool.region.as_ref();
        if region.is_some_and(|r| self.map.region_of(&b.target.domain) != *r) {
            return None;
        }
        let is_usable =
            |side| self.fleet.exclusion(b, Terms { side, ..Terms::ANY }, self.now).is_none();
        let (_, share) = self.sides.iter().find(|(side, _)| is_usable(*side))?;
        Some(MakerInfo {
            id: b.target.id.clone(),
            domain: b.target.domain.clone(),
            region: self.fleet.regions().of(&b.target.domain).cloned(),
            gap: self.cold_gap(b).max(self.limit_gap(b)),
            most: (self.others_bear && self.names_limit(b)).then_some(MAX_LIMITED_PIECES as usize),
            share: *share,
        })
    }

    /// Least time between two calls of a cold maker.
    fn cold_gap(&self, b: &TargetState) -> Option<Duration> {
        let limit = self.cold.filter(|l| self.fleet.is_cold(b, *l, self.now))?;
        Some(limit.interval.unwrap_or(Duration::MAX))
    }

    /// Least time between two calls of a maker that names a limit.
    fn limit_gap(&self, b: &TargetState) -> Option<Duration> {
        let pace = issue_rate(self.fleet.limits().get(&b.target.id)?);
        let most = if self.others_bear { MAX_LIMITED_PIECES } else { 1 };
        Some(Duration::from_secs_f64(f64::from(most) / pace))
    }
}
