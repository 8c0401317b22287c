//! All makers that a coordinator was told of.
//!
//! Who can take a call, where makers work and what time alone changes stand in indexes that are
//! changed with each maker, so that an event costs no pass over the pool.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{Allowed, Handle, StagePool, TargetId};
use model::{Name, Time};

use super::maker::{Bounds, Maker, Place, Standing};
use super::types::{CallEnd, MakerInfo};
use crate::tally::Tally;

/// Makers that are as good as each other but for their room: of one place, on trial or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) place: Place,
    is_trial: bool,
}

impl Group {
    fn of(maker: &Maker) -> Self {
        Group { place: maker.place.clone(), is_trial: maker.share.is_some() }
    }
}

/// A maker that can take a call now.
#[derive(Debug, Clone)]
pub(super) struct Free {
    pub(super) id: TargetId,
    pub(super) domain: Name,
    /// Bytes of results for which there is room.
    pub(super) room: u64,
    /// Most pieces of its call.
    pub(super) most: usize,
    /// Part of all pieces that makers of its version may get, if that is on trial.
    pub(super) share: Option<f64>,
}

/// What is looked up of makers without going through them.
#[derive(Debug, Default)]
struct Index {
    /// Those that can take a call, those with most room first.
    free: BTreeMap<Group, BTreeSet<(Reverse<u64>, TargetId)>>,
    /// Count of those that work.
    working: Tally<Place>,
    /// Count of those that work, but for those on trial.
    serving: usize,
    /// Count of those that are there on trial.
    trials: usize,
    /// Count of those that are there.
    regions: Tally<Option<Name>>,
    back: BTreeSet<(Time, TargetId)>,
    probes: BTreeSet<(Time, TargetId)>,
    /// Those whose standing changes by time alone.
    due: BTreeSet<(Time, TargetId)>,
}

impl Index {
    fn insert(&mut self, id: &TargetId, maker: &Maker, standing: &Standing) {
        if let Some(room) = standing.room {
            let group = self.free.entry(Group::of(maker)).or_default();
            group.insert((Reverse(room), id.clone()));
        }
        if standing.works {
            self.working.add(&maker.place);
            self.serving += usize::from(maker.share.is_none());
        }
        if maker.present {
            self.regions.add(&maker.place.region);
            self.trials += usize::from(maker.share.is_some());
        }
        let times = [standing.back, standing.probe, standing.until];
        for (at, times) in times.into_iter().zip(self.times()) {
            times.extend(at.map(|at| (at, id.clone())));
        }
    }

    fn remove(&mut self, id: &TargetId, maker: &Maker, standing: &Standing) {
        if let Some(room) = standing.room {
            let group = Group::of(maker);
            let free = self.free.entry(group.clone()).or_default();
            free.remove(&(Reverse(room), id.clone()));
            if free.is_empty() {
                self.free.remove(&group);
            }
        }
        if standing.works {
            self.working.remove(&maker.place);
            self.serving -= usize::from(maker.share.is_none());
        }
        if maker.present {
            self.regions.remove(&maker.place.region);
            self.trials -= usize::from(maker.share.is_some());
        }
        let times = [standing.back, standing.probe, standing.until];
        for (at, times) in times.into_iter().zip(self.times()) {
            at.map(|at| times.remove(&(at, id.clone())));
        }
    }

    fn times(&mut self) -> [&mut BTreeSet<(Time, TargetId)>; 3] {
        [&mut self.back, &mut self.probes, &mut self.due]
    }
}

#[derive(Debug)]
pub(super) struct Makers {
    all: BTreeMap<TargetId, (Maker, Standing)>,
    bounds: Bounds,
    index: Index,
    visited: u64,
}

impl Makers {
    pub(super) fn new(pool: &StagePool) -> Self {
        Makers { all: BTreeMap::new(), bounds: pool.into(), index: Index::default(), visited: 0 }
    }

    /// Makers looked at so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited
    }

    /// Takes what each maker bears.
    pub(super) fn set_pool(&mut self, pool: &StagePool, now: Time) {
        let bounds = pool.into();
        if self.bounds == bounds {
            return;
        }
        self.bounds = bounds;
        let all: Vec<TargetId> = self.all.keys().cloned().collect();
        for id in all {
            self.change(&id, now, |_| ());
        }
    }

    /// Lets time pass.
    pub(super) fn refresh(&mut self, now: Time) {
        while let Some((_, id)) = self.index.due.first().filter(|(at, _)| *at <= now).cloned() {
            self.change(&id, now, |_| ());
        }
    }

    /// Changes a maker, if it is known, and what is looked up of it.
    fn change(&mut self, id: &TargetId, now: Time, change: impl FnOnce(&mut Maker)) {
        let Some((maker, standing)) = self.all.get_mut(id) else {
            return;
        };
        self.visited += 1;
        self.index.remove(id, maker, standing);
        change(maker);
        if !maker.present && maker.calls == 0 {
            self.all.remove(id);
            return;
        }
        maker.expire(self.bounds, now);
        *standing = maker.standing(self.bounds, now);
        self.index.insert(id, maker, standing);
    }

    /// Takes the makers as they are; those gone stay while they have calls.
    pub(super) fn set_all(&mut self, makers: Vec<MakerInfo>, now: Time) {
        let there: BTreeSet<&TargetId> = makers.iter().map(|m| &m.id).collect();
        let gone: Vec<TargetId> =
            self.all.keys().filter(|id| !there.contains(id)).cloned().collect();
        for id in gone {
            self.gone(&id, now);
        }
        for info in makers {
            self.set(info, now);
        }
    }

    /// Takes one maker as it is.
    pub(super) fn set(&mut self, info: MakerInfo, now: Time) {
        let id = info.id.clone();
        match self.all.get(&id) {
            Some((maker, _)) if maker.is_as(&info) => self.visited += 1,
            Some(_) => self.change(&id, now, |m| m.set(info)),
            None => {
                self.visited += 1;
                let maker = Maker::new(info);
                let standing = maker.standing(self.bounds, now);
                self.index.insert(&id, &maker, &standing);
                self.all.insert(id, (maker, standing));
            }
        }
    }

    /// A maker is to get no calls any more.
    pub(super) fn gone(&mut self, id: &TargetId, now: Time) {
        self.change(id, now, |m| m.present = false);
    }

    /// Count of makers that work, but for those of a version on trial, which get few calls.
    pub(super) fn working(&self) -> usize {
        self.index.serving
    }

    /// Count of makers that work, else of those that answered late or were full and are asked
    /// again soon, and the time until the first of them takes a call. `None` if none is known to
    /// answer.
    pub(super) fn working_or_back(&self, now: Time) -> Option<(usize, Duration)> {
        if self.index.serving > 0 {
            return Some((self.index.serving, Duration::ZERO));
        }
        let (first, _) = self.index.back.first()?;
        Some((self.index.back.len(), first.since(now)))
    }

    /// Whether a version is on trial.
    pub(super) fn has_trial(&self) -> bool {
        self.index.trials > 0
    }

    /// Where working makers are.
    pub(super) fn working_places(&self) -> Vec<Place> {
        self.index.working.keys().cloned().collect()
    }

    /// Whether a maker is there in a region that is allowed, one that is busy or has just
    /// failed included: those come back.
    pub(super) fn has_any_in(&self, allowed: &Allowed) -> bool {
        self.index.regions.keys().any(|region| allowed.permits(region.as_deref()))
    }

    /// Count of makers that can take a call now, but for those on trial.
    pub(super) fn count_free(&self) -> usize {
        let serving = self.index.free.iter().filter(|(group, _)| !group.is_trial);
        serving.map(|(_, free)| free.len()).sum()
    }

    /// Groups in which a maker can take a call now.
    pub(super) fn free_groups(&self) -> BTreeSet<Group> {
        self.index.free.keys().cloned().collect()
    }

    /// The group whose first maker is to get the next call: makers of a version on trial, which
    /// get few pieces and are to be judged by them soon, then those with most room.
    pub(super) fn best_group<'a>(
        &self,
        groups: impl IntoIterator<Item = &'a Group>,
    ) -> Option<&'a Group> {
        let first = |group: &'a Group| {
            let (room, id) = self.index.free.get(group)?.first()?;
            Some(((!group.is_trial, room, id), group))
        };
        let best = groups.into_iter().filter_map(first).min_by_key(|(key, _)| *key);
        best.map(|(_, group)| group)
    }

    /// The maker of a group that gets its next call.
    pub(super) fn first_free(&mut self, group: &Group) -> Option<Free> {
        self.visited += 1;
        let (Reverse(room), id) = self.index.free.get(group)?.first()?;
        let (maker, _) = self.all.get(id)?;
        Some(Free {
            id: id.clone(),
            domain: group.place.domain.clone(),
            room: *room,
            most: maker.most.unwrap_or(usize::MAX),
            share: maker.share,
        })
    }

    /// A call starts at a maker, whose results will take this many bytes.
    pub(super) fn started(&mut self, id: &TargetId, bytes: u64, now: Time) {
        self.change(id, now, |m| m.started(bytes, now));
    }

    /// A call ended at a maker.
    pub(super) fn ended(
        &mut self,
        id: &TargetId,
        bytes: u64,
        end: &CallEnd,
        was_slow: bool,
        now: Time,
    ) {
        self.change(id, now, |m| m.ended(bytes, end, was_slow, now));
    }

    /// Count of makers that are known.
    pub(super) fn count(&self) -> usize {
        self.all.len()
    }

    /// Makers that failed and are to be asked for a sign of life now.
    pub(super) fn take_probes_due(&mut self, now: Time) -> Vec<TargetId> {
        let due = self.index.probes.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<TargetId> = due.map(|(_, id)| id.clone()).collect();
        for id in &due {
            self.change(id, now, Maker::asked);
        }
        due
    }

    /// A maker gave a sign of life, or none.
    pub(super) fn probed(&mut self, id: &TargetId, alive: bool, now: Time) {
        self.change(id, now, |m| m.probed(alive, now));
    }

    /// A maker had less room than was reckoned.
    pub(super) fn had_no_room(&mut self, id: &TargetId, size: u64, now: Time) {
        self.change(id, now, |m| m.had_no_room(size, now));
    }

    /// A result rests at its maker from now on.
    pub(super) fn kept(&mut self, handle: &Handle, bytes: u64, now: Time) {
        self.change(&handle.maker, now, |m| m.keep(&handle.text, bytes, now));
    }

    /// Results no longer take room.
    pub(super) fn freed(&mut self, handles: &[Handle], now: Time) {
        for handle in handles {
            self.change(&handle.maker, now, |m| m.freed(&handle.text));
        }
    }
}
