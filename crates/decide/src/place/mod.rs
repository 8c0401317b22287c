//! Which target holds which model version, and the orders that bring it about.
//!
//! Orders are desired state: read back from load reports, repaired by sending
//! again, and damped by what the weight store can serve. An old version goes
//! only once its successor serves on as many targets as are wanted. Leaving
//! targets get their replacements first and are drained then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::load::TargetNews;
use model::object::{Pool, Set};
use model::order::{Order, Task};
use model::{Name, Time, hash};

/// Loads that may run at once in one failure domain, for the weight store's rate.
const LOADS_MAX: usize = 2;
/// An order not seen to take effect is sent again after this.
const AGAIN: Duration = Duration::from_secs(5);
/// Validity that the lease must still have when an order is sent: longer than
/// the longest send.
pub const SPARE: Duration = Duration::from_millis(1500);
/// Longest time that sending one order may take.
pub const SEND_MAX: Duration = Duration::from_millis(1000);

/// Placement of one failure domain's targets, run by its lease holder.
#[derive(Debug, Default)]
pub struct Placer {
    sent: BTreeMap<(Name, Name), Time>,
}

/// What the placer goes by.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Accepted configuration.
    pub set: &'a Set,
    /// Its manifest number.
    pub number: u64,
    /// Failure domain.
    pub domain: &'a Name,
    /// Last report of each target.
    pub news: &'a BTreeMap<Name, TargetNews>,
    /// Hosts that the host list shows as leaving.
    pub leaving: &'a BTreeSet<Name>,
}

impl View<'_> {
    fn holds(&self, target: &Name, version: &Name) -> bool {
        self.news.get(target).is_some_and(|n| n.ready && n.report.models.contains(version))
    }

    fn leaves(&self, t: &model::object::Target) -> bool {
        let drained = self.set.drains.values().any(|d| d.host == t.host);
        let says = self.news.get(&t.name).is_some_and(|n| n.report.leaving);
        drained || says || self.leaving.contains(&t.host)
    }

    fn ready(&self, target: &Name) -> bool {
        self.news.get(target).is_some_and(|n| n.ready)
    }
}

impl Placer {
    /// Orders that are due, under the lease's `epoch`.
    pub fn plan(&mut self, now: Time, epoch: u64, view: View) -> Vec<Order> {
        self.sent.retain(|_, at| now.since(*at) < AGAIN);
        let mut out = Vec::new();
        for (name, model) in &view.set.models {
            if let Some(pool) = view.set.pools.get(&model.pool) {
                let want: Name = format!("{name}@{}", model.version).into();
                let share = domain_share(pool, view.domain, model.replicas);
                self.place(now, epoch, view, pool, name, &want, share, &mut out);
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
        want: &Name,
        replicas: usize,
        out: &mut Vec<Order>,
    ) {
        let here = pool.targets.iter().filter(|t| t.domain == *view.domain);
        let staying: Vec<&Name> =
            here.filter(|t| !view.leaves(t) && view.ready(&t.name)).map(|t| &t.name).collect();
        let chosen = hash::rendezvous(model, staying.iter().copied(), replicas);
        for t in chosen.iter().filter(|t| !view.holds(t, want)) {
            if self.loading() >= LOADS_MAX {
                break;
            }
            self.send(now, epoch, view.number, t, Task::Load(want.clone()), out);
        }
        let serving = staying.iter().filter(|t| view.holds(t, want)).count();
        if serving < replicas.min(staying.len()) || serving == 0 {
            return;
        }
        // The successor serves: retire the former versions of this model.
        for t in staying {
            let Some(news) = view.news.get(t) else {
                continue;
            };
            let former = |v: &&Name| *v != want && v.split('@').next() == Some(model);
            for v in news.report.models.iter().filter(former) {
                self.send(now, epoch, view.number, t, Task::Unload(v.clone()), out);
            }
        }
    }

    /// Drains leaving targets whose models serve elsewhere by now.
    fn drain(&mut self, now: Time, epoch: u64, view: View, out: &mut Vec<Order>) {
        for pool in view.set.pools.values() {
            let here = pool.targets.iter().filter(|t| t.domain == *view.domain);
            for t in here.filter(|t| view.leaves(t)) {
                let Some(news) = view.news.get(&t.name).filter(|n| n.ready) else {
                    continue;
                };
                let elsewhere = |m: &Name| {
                    pool.targets.iter().any(|o| !view.leaves(o) && view.holds(&o.name, m))
                };
                let replaced = news.report.models.iter().all(elsewhere);
                if replaced && !news.report.leaving {
                    self.send(now, epoch, view.number, &t.name, Task::Drain, out);
                }
            }
        }
    }

    fn loading(&self) -> usize {
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

/// A failure domain's part of a model's replicas: by its part of the pool, at
/// least one where it has a target.
fn domain_share(pool: &Pool, domain: &Name, replicas: u32) -> usize {
    let here = pool.targets.iter().filter(|t| t.domain == *domain).count();
    (replicas as usize * here).div_ceil(pool.targets.len().max(1)).min(here)
}
