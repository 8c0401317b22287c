//! Placement of model versions on targets, and the orders that realize it.
//!
//! Orders are desired state: confirmed by load reports, resent until they take effect, and limited
//! to what the weight store can serve. An old version is unloaded only once its successor serves on
//! the required number of targets. Targets that are about to leave are replaced first and drained
//! afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::load::TargetStatus;
use model::object::{ObjectSet, Pool};
use model::order::{Order, Task};
use model::{Name, Time, hash};

/// Concurrent loads in one failure domain, limited by the rate of the weight store.
const MAX_LOADS: usize = 2;
/// Time after which an order without visible effect is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(5);
/// Validity that the lease must still have when an order is sent; longer than the longest send.
pub const LEASE_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum time for sending one order.
pub const MAX_SEND_TIME: Duration = Duration::from_millis(1000);

/// Places models on the targets of one failure domain; run by its lease holder.
#[derive(Debug, Default)]
pub struct Placer {
    sent: BTreeMap<(Name, Name), Time>,
}

/// Inputs of the placement.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Accepted configuration.
    pub set: &'a ObjectSet,
    /// Manifest number of the configuration.
    pub number: u64,
    /// Failure domain whose targets are placed.
    pub domain: &'a Name,
    /// Latest report of each target.
    pub reports: &'a BTreeMap<Name, TargetStatus>,
    /// Hosts marked as leaving in the host list.
    pub leaving_hosts: &'a BTreeSet<Name>,
}

impl View<'_> {
    fn serves_version(&self, target: &Name, version: &Name) -> bool {
        self.reports.get(target).is_some_and(|n| n.ready && n.report.models.contains(version))
    }

    /// Whether a target is draining, or its host is drained or marked as leaving.
    fn is_leaving(&self, t: &model::object::Target) -> bool {
        let drained = self.set.drains.values().any(|d| d.host == t.host);
        let announced = self.reports.get(&t.name).is_some_and(|n| n.report.leaving);
        drained || announced || self.leaving_hosts.contains(&t.host)
    }

    fn is_ready(&self, target: &Name) -> bool {
        self.reports.get(target).is_some_and(|n| n.ready)
    }
}

impl Placer {
    /// Returns the orders that are due, under the lease's `epoch`.
    pub fn plan(&mut self, now: Time, epoch: u64, view: View) -> Vec<Order> {
        self.sent.retain(|_, at| now.since(*at) < RESEND_AFTER);
        let mut out = Vec::new();
        for (name, model) in &view.set.models {
            if let Some(pool) = view.set.pools.get(&model.pool) {
                let version: Name = format!("{name}@{}", model.version).into();
                let share = domain_share(pool, view.domain, model.replicas);
                self.place(now, epoch, view, pool, name, &version, share, &mut out);
            }
        }
        self.drain(now, epoch, view, &mut out);
        out
    }

    #[allow(clippy::too_many_arguments)]
    fn place(
        &mut self,
        now: Time,
        epoch: u64,
        view: View,
        pool: &Pool,
        model: &str,
        version: &Name,
        replicas: usize,
        out: &mut Vec<Order>,
    ) {
        let local = pool.targets.iter().filter(|t| t.domain == *view.domain);
        let remaining: Vec<&Name> = local
            .filter(|t| !view.is_leaving(t) && view.is_ready(&t.name))
            .map(|t| &t.name)
            .collect();
        let chosen = hash::rendezvous(model, remaining.iter().copied(), replicas);
        for t in chosen.iter().filter(|t| !view.serves_version(t, version)) {
            if self.loads_in_flight() >= MAX_LOADS {
                break;
            }
            self.send(now, epoch, view.number, t, Task::Load(version.clone()), out);
        }
        let serving = remaining.iter().filter(|t| view.serves_version(t, version)).count();
        if serving < replicas.min(remaining.len()) || serving == 0 {
            return;
        }
        // The new version serves, so older versions of the model can be unloaded.
        for t in remaining {
            let Some(state) = view.reports.get(t) else {
                continue;
            };
            let is_former = |v: &&Name| *v != version && v.split('@').next() == Some(model);
            for v in state.report.models.iter().filter(is_former) {
                self.send(now, epoch, view.number, t, Task::Unload(v.clone()), out);
            }
        }
    }

    /// Drains leaving targets whose models are served elsewhere.
    fn drain(&mut self, now: Time, epoch: u64, view: View, out: &mut Vec<Order>) {
        for pool in view.set.pools.values() {
            let local = pool.targets.iter().filter(|t| t.domain == *view.domain);
            for t in local.filter(|t| view.is_leaving(t)) {
                let Some(state) = view.reports.get(&t.name).filter(|n| n.ready) else {
                    continue;
                };
                let is_elsewhere = |m: &Name| {
                    pool.targets
                        .iter()
                        .any(|o| !view.is_leaving(o) && view.serves_version(&o.name, m))
                };
                let replaced = state.report.models.iter().all(is_elsewhere);
                if replaced && !state.report.leaving {
                    self.send(now, epoch, view.number, &t.name, Task::Drain, out);
                }
            }
        }
    }

    fn loads_in_flight(&self) -> usize {
        self.sent.keys().filter(|(_, what)| what.starts_with("load ")).count()
    }

    fn send(
        &mut self,
        now: Time,
        epoch: u64,
        number: u64,
        target: &Name,
        task: Task,
        out: &mut Vec<Order>,
    ) {
        let what: Name = match &task {
            Task::Load(v) => format!("load {v}").into(),
            Task::Unload(v) => format!("unload {v}").into(),
            Task::Drain => "drain".into(),
        };
        let key = (target.clone(), what);
        if self.sent.contains_key(&key) {
            return;
        }
        self.sent.insert(key, now);
        out.push(Order { target: target.clone(), epoch, number, task });
    }
}

/// A failure domain's share of a model's replicas, in proportion to its share of the pool and at
/// least one where it has a target.
fn domain_share(pool: &Pool, domain: &Name, replicas: u32) -> usize {
    let local = pool.targets.iter().filter(|t| t.domain == *domain).count();
    (replicas as usize * local).div_ceil(pool.targets.len().max(1)).min(local)
}
