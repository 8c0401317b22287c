//! What an entry node knows of configuration, pools and targets, shared by all
//! requests. Tables are locked for the microseconds of one decision.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use decide::config::Change;
use decide::deadline::{self, StepTimes};
use decide::request::StepPlan;
use decide::retry::RetryBudget;
use decide::route::{Policy, PolicyKind, PoolTable, RouteQuery, TargetInfo, make_policy};
use model::load::TargetStatus;
use model::object::{ObjectSet, Pipeline, Role};
use model::{Name, Time};

/// Most steps of a pipeline.
const STEPS_MAX: usize = 16;

/// Configuration in force.
#[derive(Debug, Default)]
pub struct Config {
    /// Manifest.
    pub number: u64,
    /// Objects.
    pub set: ObjectSet,
}

/// One pool's table, policy and retry budget.
#[derive(Debug)]
pub struct Pool {
    /// Cost of a target's second.
    pub cost: f64,
    /// What the targets do.
    pub role: Role,
    /// Targets and their addresses.
    pub addresses: HashMap<Name, Name>,
    inner: Arc<Mutex<PoolInner>>,
}

/// The part of a pool that decisions change.
#[derive(Debug)]
pub struct PoolInner {
    /// Targets.
    pub table: PoolTable,
    /// Routing policy.
    pub policy: Box<dyn Policy>,
    /// Retry budget.
    pub budget: RetryBudget,
}

impl Pool {
    /// Locks the pool for one decision.
    pub fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().expect("no panic while held")
    }
}

type TimesKey = (Name, usize);

/// Configuration, pools and times.
#[derive(Debug)]
pub struct Fleet {
    domain: Name,
    near: BTreeSet<Name>,
    policy: PolicyKind,
    seed: u64,
    config: ArcSwap<Config>,
    pools: RwLock<HashMap<Name, Arc<Pool>>>,
    owners: RwLock<HashMap<Name, Name>>,
    times: Mutex<HashMap<TimesKey, StepTimes>>,
    leaving: Mutex<BTreeSet<Name>>,
}

impl Fleet {
    /// An empty fleet seen from one failure domain.
    pub fn new(domain: Name, near: &[Name], policy: PolicyKind, seed: u64) -> Self {
        Fleet {
            domain,
            near: near.iter().cloned().collect(),
            policy,
            seed,
            config: ArcSwap::default(),
            pools: RwLock::default(),
            owners: RwLock::default(),
            times: Mutex::default(),
            leaving: Mutex::default(),
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// A pool.
    pub fn pool(&self, name: &str) -> Option<Arc<Pool>> {
        self.pools.read().expect("no panic while held").get(name).cloned()
    }

    /// All pools.
    pub fn pools(&self) -> Vec<(Name, Arc<Pool>)> {
        let pools = self.pools.read().expect("no panic while held");
        pools.iter().map(|(n, p)| (n.clone(), p.clone())).collect()
    }

    /// Takes a new manifest; a lower number is ignored.
    pub fn apply(&self, change: Change) {
        let old = self.config.load();
        let number = change.number;
        if number <= old.number {
            return;
        }
        let mut set = old.set.clone();
        let pools_changed = change.upserts.iter().any(|(k, _)| k.starts_with("Pool/"))
            || change.removed.iter().any(|k| k.starts_with("Pool/"));
        change.apply_to(&mut set);
        if pools_changed {
            self.rebuild(&set);
        }
        self.config.store(Arc::new(Config { number, set }));
        let leaving = self.leaving.lock().expect("no panic while held").clone();
        self.mark_leaving(leaving);
    }

    fn rebuild(&self, set: &ObjectSet) {
        let mut pools = self.pools.write().expect("no panic while held");
        let mut owners = HashMap::new();
        let mut next = HashMap::new();
        for (name, spec) in &set.pools {
            let infos = spec.targets.iter().map(|t| TargetInfo {
                name: t.name.clone(),
                address: t.address.clone(),
                domain: t.domain.clone(),
                distance: self.distance(&t.domain),
            });
            let inner = match pools.get(name) {
                Some(old) if old.role == spec.role => old.inner.clone(),
                _ => Arc::new(Mutex::new(PoolInner {
                    table: PoolTable::default(),
                    policy: make_policy(
                        self.policy,
                        self.seed ^ model::hash::hash64(name.as_bytes()),
                    ),
                    budget: RetryBudget::default(),
                })),
            };
            inner.lock().expect("no panic while held").table.set_targets(infos.collect());
            owners.extend(spec.targets.iter().map(|t| (t.name.clone(), name.clone())));
            let addresses = spec.targets.iter().map(|t| (t.name.clone(), t.address.clone()));
            let pool =
                Pool { cost: spec.cost, role: spec.role, addresses: addresses.collect(), inner };
            next.insert(name.clone(), Arc::new(pool));
        }
        *pools = next;
        *self.owners.write().expect("no panic while held") = owners;
    }

    fn distance(&self, domain: &Name) -> u8 {
        if *domain == self.domain {
            0
        } else if self.near.contains(domain) {
            1
        } else {
            2
        }
    }

    /// Takes news of a target.
    pub fn hear(&self, now: Time, news: &TargetStatus) {
        let owner =
            self.owners.read().expect("no panic while held").get(&news.report.target).cloned();
        if let Some(pool) = owner.and_then(|o| self.pool(&o)) {
            pool.lock().table.update(now, news);
        }
    }

    /// Takes the hosts that are leaving.
    pub fn set_leaving(&self, hosts: BTreeSet<Name>) {
        *self.leaving.lock().expect("no panic while held") = hosts.clone();
        self.mark_leaving(hosts);
    }

    fn mark_leaving(&self, mut hosts: BTreeSet<Name>) {
        let config = self.config.load();
        hosts.extend(config.set.drains.values().map(|d| d.host.clone()));
        for (name, spec) in &config.set.pools {
            let Some(pool) = self.pool(name) else {
                continue;
            };
            for t in spec.targets.iter().filter(|t| hosts.contains(&t.host)) {
                pool.lock().table.mark_draining(&t.name);
            }
        }
    }

    /// Chooses a target and counts the attempt as sent; with the wait expected there.
    pub fn pick(&self, pool: &Pool, ask: &RouteQuery) -> Option<(Name, f64)> {
        let mut inner = pool.lock();
        let inner = &mut *inner;
        let i = inner.policy.pick(ask, &inner.table)?;
        let name = inner.table.slots()[i].info.name.clone();
        let wait = inner.table.record_sent(ask.now, &name);
        Some((name, wait))
    }

    /// Plans of a pipeline's steps, from the times seen so far.
    pub fn step_plans(&self, name: &Name, pipeline: &Pipeline, hedging: bool) -> Vec<StepPlan> {
        let times = self.times.lock().expect("no panic while held");
        let plan = |(i, s): (usize, &model::object::Stage)| {
            let pool = self.pool(&s.pool);
            let engine = pool.as_ref().is_some_and(|p| p.role == Role::Engine);
            let seen = times.get(&(name.clone(), i));
            StepPlan {
                name: s.name.clone(),
                repeatable: s.repeatable,
                continuable: engine,
                timeout: seen.map_or_else(|| StepTimes::default().timeout(), StepTimes::timeout),
                hedge: seen.filter(|_| hedging && !engine).and_then(StepTimes::hedge_after),
                cost: pool.map_or(0.0, |p| p.cost),
            }
        };
        pipeline.stages.iter().enumerate().map(plan).collect()
    }

    /// Notes how long a step took.
    pub fn step_took(&self, pipeline: &Name, step: usize, took: Duration) {
        let mut times = self.times.lock().expect("no panic while held");
        times.entry((pipeline.clone(), step)).or_default().record(took);
    }

    /// Time that a request of `pipeline` must have when its turn comes.
    pub fn need(&self, pipeline: &Name, steps: usize, left: Duration) -> Duration {
        let times = self.times.lock().expect("no panic while held");
        let seen: Vec<&StepTimes> =
            (0..steps).filter_map(|i| times.get(&(pipeline.clone(), i))).collect();
        deadline::required_time(&seen, left)
    }

    /// Budget of a step: what is left, less what later steps need.
    pub fn step_budget(&self, pipeline: &Name, step: usize, now: Time, due: Time) -> Duration {
        let times = self.times.lock().expect("no panic while held");
        let behind: Vec<&StepTimes> =
            (step + 1..STEPS_MAX).filter_map(|i| times.get(&(pipeline.clone(), i))).collect();
        let later = deadline::median_total(&behind);
        deadline::budget(now, due, later)
    }
}
