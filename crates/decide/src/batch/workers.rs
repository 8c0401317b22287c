//! All workers that a coordinator was told of.
//!
//! Who can take a call, where workers work and what time alone changes stand in indexes that are
//! changed with each worker, so that an event costs no pass over the pool.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{Allowed, Handle, StagePool, TargetId};
use model::{Name, Time};

use super::types::{CallEnd, WorkerInfo};
use super::worker::{Capacity, Location, Status, Worker};
use crate::tally::Tally;

/// Workers that are as good as each other but for their room: of one place, on trial or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) location: Location,
    is_trial: bool,
}

impl Group {
    fn of(worker: &Worker) -> Self {
        Group { location: worker.location.clone(), is_trial: worker.share.is_some() }
    }
}

/// A worker that can take a call now.
#[derive(Debug, Clone)]
pub(super) struct ReadyWorker {
    pub(super) id: TargetId,
    pub(super) domain: Name,
    /// Bytes of results for which there is room.
    pub(super) free_bytes: u64,
    /// Most pieces of its call.
    pub(super) max_pieces: usize,
    /// Part of all pieces that workers of its version may get, if that is on trial.
    pub(super) share: Option<f64>,
}

/// What is looked up of workers without going through them.
#[derive(Debug, Default)]
struct Index {
    /// Those that can take a call, those with most room first.
    ready: BTreeMap<Group, BTreeSet<(Reverse<u64>, TargetId)>>,
    /// Count of those that work.
    available: Tally<Location>,
    /// Count of those that work, but for those on trial.
    serving_count: usize,
    /// Count of those that are there on trial.
    trial_count: usize,
    /// Count of those that are there.
    regions: Tally<Option<Name>>,
    retries: BTreeSet<(Time, TargetId)>,
    probes: BTreeSet<(Time, TargetId)>,
    /// Those whose standing changes by time alone.
    timers: BTreeSet<(Time, TargetId)>,
}

impl Index {
    fn insert(&mut self, id: &TargetId, worker: &Worker, status: &Status) {
        if let Some(free_bytes) = status.free_bytes {
            let group = self.ready.entry(Group::of(worker)).or_default();
            group.insert((Reverse(free_bytes), id.clone()));
        }
        if status.is_available {
            self.available.add(&worker.location);
            self.serving_count += usize::from(worker.share.is_none());
        }
        if worker.present {
            self.regions.add(&worker.location.region);
            self.trial_count += usize::from(worker.share.is_some());
        }
        let times = [status.retry_at, status.probe_at, status.changes_at];
        for (at, times) in times.into_iter().zip(self.times()) {
            times.extend(at.map(|at| (at, id.clone())));
        }
    }

    fn remove(&mut self, id: &TargetId, worker: &Worker, status: &Status) {
        if let Some(free_bytes) = status.free_bytes {
            let group = Group::of(worker);
            let ready = self.ready.entry(group.clone()).or_default();
            ready.remove(&(Reverse(free_bytes), id.clone()));
            if ready.is_empty() {
                self.ready.remove(&group);
            }
        }
        if status.is_available {
            self.available.remove(&worker.location);
            self.serving_count -= usize::from(worker.share.is_none());
        }
        if worker.present {
            self.regions.remove(&worker.location.region);
            self.trial_count -= usize::from(worker.share.is_some());
        }
        let times = [status.retry_at, status.probe_at, status.changes_at];
        for (at, times) in times.into_iter().zip(self.times()) {
            at.map(|at| times.remove(&(at, id.clone())));
        }
    }

    fn times(&mut self) -> [&mut BTreeSet<(Time, TargetId)>; 3] {
        [&mut self.retries, &mut self.probes, &mut self.timers]
    }
}

#[derive(Debug)]
pub(super) struct Workers {
    all: BTreeMap<TargetId, (Worker, Status)>,
    capacity: Capacity,
    index: Index,
    visited: u64,
}

impl Workers {
    pub(super) fn new(pool: &StagePool) -> Self {
        Workers { all: BTreeMap::new(), capacity: pool.into(), index: Index::default(), visited: 0 }
    }

    /// Workers looked at so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited
    }

    /// Takes what each worker bears.
    pub(super) fn set_pool(&mut self, pool: &StagePool, now: Time) {
        let capacity = pool.into();
        if self.capacity == capacity {
            return;
        }
        self.capacity = capacity;
        let all: Vec<TargetId> = self.all.keys().cloned().collect();
        for id in all {
            self.update(&id, now, |_| ());
        }
    }

    /// Lets time pass.
    pub(super) fn refresh(&mut self, now: Time) {
        while let Some((_, id)) = self.index.timers.first().filter(|(at, _)| *at <= now).cloned() {
            self.update(&id, now, |_| ());
        }
    }

    /// Changes a worker, if it is known, and what is looked up of it.
    fn update(&mut self, id: &TargetId, now: Time, change: impl FnOnce(&mut Worker)) {
        let Some((worker, status)) = self.all.get_mut(id) else {
            return;
        };
        self.visited += 1;
        self.index.remove(id, worker, status);
        change(worker);
        if !worker.present && worker.calls == 0 {
            self.all.remove(id);
            return;
        }
        worker.expire(self.capacity, now);
        *status = worker.status(self.capacity, now);
        self.index.insert(id, worker, status);
    }

    /// Takes the workers as they are; those gone stay while they have calls.
    pub(super) fn set_all(&mut self, workers: Vec<WorkerInfo>, now: Time) {
        let present: BTreeSet<&TargetId> = workers.iter().map(|m| &m.id).collect();
        let absent: Vec<TargetId> =
            self.all.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in absent {
            self.mark_absent(&id, now);
        }
        for info in workers {
            self.set(info, now);
        }
    }

    /// Takes one worker as it is.
    pub(super) fn set(&mut self, info: WorkerInfo, now: Time) {
        let id = info.id.clone();
        match self.all.get(&id) {
            Some((worker, _)) if worker.matches(&info) => self.visited += 1,
            Some(_) => self.update(&id, now, |m| m.set(info)),
            None => {
                self.visited += 1;
                let worker = Worker::new(info);
                let status = worker.status(self.capacity, now);
                self.index.insert(&id, &worker, &status);
                self.all.insert(id, (worker, status));
            }
        }
    }

    /// A worker is to get no calls any more.
    pub(super) fn mark_absent(&mut self, id: &TargetId, now: Time) {
        self.update(id, now, |m| m.present = false);
    }

    /// Count of workers that work, but for those of a version on trial, which get few calls.
    pub(super) fn serving_count(&self) -> usize {
        self.index.serving_count
    }

    /// Count of workers that work, else of those that answered late or were full and are asked
    /// again soon, and the time until the first of them takes a call. `None` if none is known to
    /// answer.
    pub(super) fn serving_or_retrying(&self, now: Time) -> Option<(usize, Duration)> {
        if self.index.serving_count > 0 {
            return Some((self.index.serving_count, Duration::ZERO));
        }
        let (first, _) = self.index.retries.first()?;
        Some((self.index.retries.len(), first.since(now)))
    }

    /// Whether a version is on trial.
    pub(super) fn has_trial(&self) -> bool {
        self.index.trial_count > 0
    }

    /// Where working workers are.
    pub(super) fn available_locations(&self) -> Vec<Location> {
        self.index.available.keys().cloned().collect()
    }

    /// Whether a worker is there in a region that is allowed, one that is busy or has just
    /// failed included: those come back.
    pub(super) fn has_any_permitted(&self, allowed: &Allowed) -> bool {
        self.index.regions.keys().any(|region| allowed.permits(region.as_deref()))
    }

    /// Count of workers that can take a call now, but for those on trial.
    pub(super) fn ready_count(&self) -> usize {
        let serving_groups = self.index.ready.iter().filter(|(group, _)| !group.is_trial);
        serving_groups.map(|(_, ready)| ready.len()).sum()
    }

    /// Groups in which a worker can take a call now.
    pub(super) fn ready_groups(&self) -> BTreeSet<Group> {
        self.index.ready.keys().cloned().collect()
    }

    /// The group whose first worker is to get the next call: workers of a version on trial, which
    /// get few pieces and are to be judged by them soon, then those with most room.
    pub(super) fn best_group<'a>(
        &self,
        groups: impl IntoIterator<Item = &'a Group>,
    ) -> Option<&'a Group> {
        let first = |group: &'a Group| {
            let (free_bytes, id) = self.index.ready.get(group)?.first()?;
            Some(((!group.is_trial, free_bytes, id), group))
        };
        let best = groups.into_iter().filter_map(first).min_by_key(|(key, _)| *key);
        best.map(|(_, group)| group)
    }

    /// The worker of a group that gets its next call.
    pub(super) fn first_ready(&mut self, group: &Group) -> Option<ReadyWorker> {
        self.visited += 1;
        let (Reverse(free_bytes), id) = self.index.ready.get(group)?.first()?;
        let (worker, _) = self.all.get(id)?;
        Some(ReadyWorker {
            id: id.clone(),
            domain: group.location.domain.clone(),
            free_bytes: *free_bytes,
            max_pieces: worker.max_pieces.unwrap_or(usize::MAX),
            share: worker.share,
        })
    }

    /// A call starts at a worker, whose results will take this many bytes.
    pub(super) fn call_started(&mut self, id: &TargetId, bytes: u64, now: Time) {
        self.update(id, now, |m| m.call_started(bytes, now));
    }

    /// A call ended at a worker.
    pub(super) fn call_ended(
        &mut self,
        id: &TargetId,
        bytes: u64,
        end: &CallEnd,
        was_slow: bool,
        now: Time,
    ) {
        self.update(id, now, |m| m.call_ended(bytes, end, was_slow, now));
    }

    /// Count of workers that are known.
    pub(super) fn count(&self) -> usize {
        self.all.len()
    }

    /// Workers that failed and are to be asked for a sign of life now.
    pub(super) fn take_probes_due(&mut self, now: Time) -> Vec<TargetId> {
        let due = self.index.probes.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<TargetId> = due.map(|(_, id)| id.clone()).collect();
        for id in &due {
            self.update(id, now, Worker::probe_sent);
        }
        due
    }

    /// A worker gave a sign of life, or none.
    pub(super) fn probed(&mut self, id: &TargetId, alive: bool, now: Time) {
        self.update(id, now, |m| m.probed(alive, now));
    }

    /// A worker had less room than was reckoned.
    pub(super) fn record_no_room(&mut self, id: &TargetId, size: u64, now: Time) {
        self.update(id, now, |m| m.record_no_room(size, now));
    }

    /// A result rests at its worker from now on.
    pub(super) fn record_result(&mut self, handle: &Handle, bytes: u64, now: Time) {
        self.update(&handle.maker, now, |m| m.store(&handle.text, bytes, now));
    }

    /// Results no longer take room.
    pub(super) fn remove_results(&mut self, handles: &[Handle], now: Time) {
        for handle in handles {
            self.update(&handle.maker, now, |m| m.remove_result(&handle.text));
        }
    }
}
