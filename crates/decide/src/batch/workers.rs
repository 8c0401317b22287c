//! All workers announced to a coordinator.
//!
//! Indexes of ready workers, available locations and timers are updated with each worker, so that
//! no event scans the whole pool.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{Allowed, Handle, StagePool, TargetId};
use model::{Name, Time};

use super::types::{CallEnd, WorkerInfo};
use super::worker::{Capacity, Location, Status, Worker};
use crate::tally::Tally;

/// Workers that differ only in their room: same location, and on trial or not.
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
    /// Free room for results, in bytes.
    pub(super) free_bytes: u64,
    /// Maximum number of pieces in a call.
    pub(super) max_pieces: usize,
    /// Maximum share of all pieces for its version, if that is on trial.
    pub(super) share: Option<f64>,
}

/// Indexes over the workers.
#[derive(Debug, Default)]
struct Index {
    /// Workers that can take a call, most room first.
    ready: BTreeMap<Group, BTreeSet<(Reverse<u64>, TargetId)>>,
    /// Number of available workers by location.
    available: Tally<Location>,
    /// Number of available workers that are not on trial.
    serving_count: usize,
    /// Number of present workers on trial.
    trial_count: usize,
    /// Number of present workers by region.
    regions: Tally<Option<Name>>,
    retries: BTreeSet<(Time, TargetId)>,
    probes: BTreeSet<(Time, TargetId)>,
    /// Workers whose status changes with time alone.
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

    /// Number of worker entries examined so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited
    }

    /// Updates the capacity of all workers.
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

    /// Updates workers whose status has changed with time.
    pub(super) fn refresh(&mut self, now: Time) {
        while let Some((_, id)) = self.index.timers.first().filter(|(at, _)| *at <= now).cloned() {
            self.update(&id, now, |_| ());
        }
    }

    /// Updates a known worker and the indexes.
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

    /// Replaces the set of workers; removed ones stay while they have calls in flight.
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

    /// Adds or updates a worker.
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

    /// Marks a worker that may get no more calls.
    pub(super) fn mark_absent(&mut self, id: &TargetId, now: Time) {
        self.update(id, now, |m| m.present = false);
    }

    /// Number of available workers, without those on trial, which get few calls.
    pub(super) fn serving_count(&self) -> usize {
        self.index.serving_count
    }

    /// Number of available workers, else of ejected ones that still respond (slow or full), with
    /// the time until the first of them accepts a call. `None` if no worker is known to respond.
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

    /// Locations of available workers.
    pub(super) fn available_locations(&self) -> Vec<Location> {
        self.index.available.keys().cloned().collect()
    }

    /// Whether an allowed region has a worker. Busy and recently failed ones count, since they
    /// return.
    pub(super) fn has_any_permitted(&self, allowed: &Allowed) -> bool {
        self.index.regions.keys().any(|region| allowed.permits(region.as_deref()))
    }

    /// Number of workers that can take a call now, without those on trial.
    pub(super) fn ready_count(&self) -> usize {
        let serving_groups = self.index.ready.iter().filter(|(group, _)| !group.is_trial);
        serving_groups.map(|(_, ready)| ready.len()).sum()
    }

    /// Groups with a worker that can take a call now.
    pub(super) fn ready_groups(&self) -> BTreeSet<Group> {
        self.index.ready.keys().cloned().collect()
    }

    /// The group that gets the next call: first workers on trial, which get few pieces and must be
    /// evaluated by them soon, then those with the most room.
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

    /// Records the start of a call whose results will take `bytes`.
    pub(super) fn call_started(&mut self, id: &TargetId, bytes: u64, now: Time) {
        self.update(id, now, |m| m.call_started(bytes, now));
    }

    /// Records the end of a call.
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

    /// Records that a call has had no answer for too long.
    pub(super) fn call_silent(&mut self, id: &TargetId, bytes: u64, now: Time) {
        self.update(id, now, |m| m.call_silent(bytes, now));
    }

    /// Records an answer to a call after its worker had been silent.
    pub(super) fn silent_call_answered(&mut self, id: &TargetId, now: Time) {
        self.update(id, now, Worker::silent_call_answered);
    }

    /// Number of known workers.
    pub(super) fn count(&self) -> usize {
        self.all.len()
    }

    /// Failed workers to be probed now; marks them as being probed.
    pub(super) fn take_probes_due(&mut self, now: Time) -> Vec<TargetId> {
        let due = self.index.probes.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<TargetId> = due.map(|(_, id)| id.clone()).collect();
        for id in &due {
            self.update(id, now, Worker::probe_sent);
        }
        due
    }

    /// Records the result of a probe.
    pub(super) fn probed(&mut self, id: &TargetId, alive: bool, now: Time) {
        self.update(id, now, |m| m.probed(alive, now));
    }

    /// Records that a worker had less room than estimated.
    pub(super) fn record_no_room(&mut self, id: &TargetId, size: u64, now: Time) {
        self.update(id, now, |m| m.record_no_room(size, now));
    }

    /// Records a result stored at its worker.
    pub(super) fn record_result(&mut self, handle: &Handle, bytes: u64, now: Time) {
        self.update(&handle.maker, now, |m| m.store(&handle.text, bytes, now));
    }

    /// Releases the room of results.
    pub(super) fn remove_results(&mut self, handles: &[Handle], now: Time) {
        for handle in handles {
            self.update(&handle.maker, now, |m| m.remove_result(&handle.text));
        }
    }
}
