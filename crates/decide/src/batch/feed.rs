//! Tells a coordinator which workers may get calls.
//!
//! A snapshot is sent first, and again when something changes for all workers. Otherwise the feed
//! examines only what discovery changed and what changes with time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{PoolId, Side, TargetId};
use model::{Name, Time};

use super::types::{Event, WorkerInfo};
use crate::fleet::{ChangedTargets, ColdLimit, Fleet, TargetState, Terms};
use crate::permit::{MAX_LIMITED_PIECES, issue_rate};
use crate::region::Map;

/// Workers of one pool as last announced to its coordinator.
#[derive(Debug, Default)]
pub struct WorkerFeed {
    /// Fleet revision up to which changes were read; `None` before the first read.
    cursor: Option<u64>,
    cold: Option<ColdLimit>,
    /// Whether any worker has no rate limit; workers with a limit then get short calls.
    has_unlimited: bool,
    announced: BTreeMap<Name, TargetId>,
    /// Targets whose usability or cold state changes with time alone.
    timers: BTreeSet<(Time, Name)>,
}

/// Inputs for evaluating the targets of one pool.
struct View<'a> {
    fleet: &'a Fleet,
    pool: &'a PoolId,
    map: &'a Map,
    cold: Option<ColdLimit>,
    has_unlimited: bool,
    sides: Vec<(Side, Option<f64>)>,
    now: Time,
}

impl WorkerFeed {
    /// The next event for the coordinator; `None` if nothing changed.
    pub fn next_event(
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
        let has_unlimited = self.has_unlimited;
        let mut view = View { fleet, pool, map, cold, has_unlimited, sides, now };
        view.has_unlimited = view.any_unlimited();
        let is_unchanged = view.cold == self.cold && view.has_unlimited == self.has_unlimited;
        match names.filter(|_| is_unchanged) {
            Some(names) => self.delta(&view, &names),
            None => Some(self.snapshot(&view)),
        }
    }

    /// Names that may have changed since the last read; `None` if any may have.
    fn take_changes(&mut self, fleet: &Fleet, now: Time) -> Option<Vec<Name>> {
        let cursor = self.cursor.replace(fleet.cursor());
        let ChangedTargets::Names(mut names) = fleet.changes_since(cursor?) else {
            return None;
        };
        while let Some((at, name)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, name));
                break;
            }
            names.push(name);
        }
        Some(names)
    }

    fn snapshot(&mut self, view: &View<'_>) -> Event {
        self.cold = view.cold;
        self.has_unlimited = view.has_unlimited;
        self.announced.clear();
        self.timers.clear();
        let mut workers = Vec::new();
        for b in view.fleet.service_targets(&view.pool.service) {
            let due_at = view.fleet.valid_until(b, view.cold, view.now);
            self.timers.extend(due_at.map(|at| (at, b.target.id.name.clone())));
            workers.extend(view.info(b));
        }
        self.announced.extend(workers.iter().map(|m| (m.id.name.clone(), m.id.clone())));
        Event::Workers(workers)
    }

    fn delta(&mut self, view: &View<'_>, names: &[Name]) -> Option<Event> {
        let names: BTreeSet<&Name> = names.iter().collect();
        let (mut updated, mut removed) = (Vec::new(), Vec::new());
        for name in names {
            let belief = view.fleet.by_name(name).filter(|b| b.target.service == view.pool.service);
            let due_at = belief.and_then(|b| view.fleet.valid_until(b, view.cold, view.now));
            self.timers.extend(due_at.map(|at| (at, name.clone())));
            let info = belief.and_then(|b| view.info(b));
            let announced = self.announced.remove(name);
            removed.extend(announced.filter(|id| info.as_ref().is_none_or(|info| info.id != *id)));
            if let Some(info) = info {
                self.announced.insert(name.clone(), info.id.clone());
                updated.push(info);
            }
        }
        let is_changed = !updated.is_empty() || !removed.is_empty();
        is_changed.then_some(Event::WorkersChanged { updated, removed })
    }
}

impl View<'_> {
    fn has_limit(&self, b: &TargetState) -> bool {
        self.fleet.limits().get(&b.target.id).is_some()
    }

    fn any_unlimited(&self) -> bool {
        let limits = self.fleet.limits();
        let mut usable = self.fleet.usable(&self.pool.service, Terms::ANY, self.now);
        limits.is_empty() || usable.any(|b| !self.has_limit(b))
    }

    /// The worker entry of a target; `None` if it may get no calls.
    fn info(&self, b: &TargetState) -> Option<WorkerInfo> {
        let region = self.pool.region.as_ref();
        if region.is_some_and(|r| self.map.region_of(&b.target.domain) != *r) {
            return None;
        }
        let is_usable =
            |side| self.fleet.exclusion(b, Terms { side, ..Terms::ANY }, self.now).is_none();
        let (_, share) = self.sides.iter().find(|(side, _)| is_usable(*side))?;
        Some(WorkerInfo {
            id: b.target.id.clone(),
            domain: b.target.domain.clone(),
            region: self.fleet.regions().region_of(&b.target.domain).cloned(),
            gap: self.cold_gap(b).max(self.limit_gap(b)),
            max_pieces: (self.has_unlimited && self.has_limit(b))
                .then_some(MAX_LIMITED_PIECES as usize),
            share: *share,
        })
    }

    /// Minimum interval between calls to a cold worker.
    fn cold_gap(&self, b: &TargetState) -> Option<Duration> {
        let limit = self.cold.filter(|l| self.fleet.is_cold(b, *l, self.now))?;
        Some(limit.interval.unwrap_or(Duration::MAX))
    }

    /// Minimum interval between calls to a worker with a rate limit.
    fn limit_gap(&self, b: &TargetState) -> Option<Duration> {
        let rate = issue_rate(self.fleet.limits().get(&b.target.id)?);
        let max_pieces = if self.has_unlimited { MAX_LIMITED_PIECES } else { 1 };
        Some(Duration::from_secs_f64(f64::from(max_pieces) / rate))
    }
}
