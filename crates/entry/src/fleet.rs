//! Configuration, pools and targets as an entry node knows them, shared by all requests. A pool's
//! table is locked only for one decision, which takes microseconds.

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

/// Maximum steps of a pipeline.
const MAX_STEPS: usize = 16;

/// The applied configuration.
#[derive(Debug, Default)]
pub struct Config {
    /// Manifest number.
    pub number: u64,
    pub set: ObjectSet,
}

/// One pool's table, policy and retry budget.
#[derive(Debug)]
pub struct Pool {
    /// Cost of one target for one second.
    pub cost: f64,
    /// Role of the targets.
    pub role: Role,
    /// Address of each target.
    pub addresses: HashMap<Name, Name>,
    state: Arc<Mutex<PoolState>>,
}

/// State of a pool that routing decisions change.
#[derive(Debug)]
pub struct PoolState {
    pub table: PoolTable,
    pub policy: Box<dyn Policy>,
    pub budget: RetryBudget,
}

impl Pool {
    /// Locks the pool for one decision.
    pub fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no panic while held")
    }
}

type StepKey = (Name, usize);

/// Applied configuration, pools and step times of one entry node.
#[derive(Debug)]
pub struct Fleet {
    domain: Name,
    region_domains: BTreeSet<Name>,
    policy: PolicyKind,
    seed: u64,
    config: ArcSwap<Config>,
    pools: RwLock<HashMap<Name, Arc<Pool>>>,
    target_pools: RwLock<HashMap<Name, Name>>,
    step_times: Mutex<HashMap<StepKey, StepTimes>>,
    leaving: Mutex<BTreeSet<Name>>,
}

impl Fleet {
    /// Creates an empty fleet as seen from `domain`; `near` holds the other domains of its region.
    pub fn new(domain: Name, near: &[Name], policy: PolicyKind, seed: u64) -> Self {
        Fleet {
            domain,
            region_domains: near.iter().cloned().collect(),
            policy,
            seed,
            config: ArcSwap::default(),
            pools: RwLock::default(),
            target_pools: RwLock::default(),
            step_times: Mutex::default(),
            leaving: Mutex::default(),
        }
    }

    /// The applied configuration.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// The pool `name`, if the applied configuration has it.
    pub fn pool(&self, name: &str) -> Option<Arc<Pool>> {
        self.pools.read().expect("no panic while held").get(name).cloned()
    }

    /// All pools.
    pub fn pools(&self) -> Vec<(Name, Arc<Pool>)> {
        let pools = self.pools.read().expect("no panic while held");
        pools.iter().map(|(n, p)| (n.clone(), p.clone())).collect()
    }

    /// Applies a new manifest; ignored unless its number is higher than the current one.
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
            self.rebuild_pools(&set);
        }
        self.config.store(Arc::new(Config { number, set }));
        let leaving = self.leaving.lock().expect("no panic while held").clone();
        self.mark_leaving(leaving);
    }

    fn rebuild_pools(&self, set: &ObjectSet) {
        let mut pools = self.pools.write().expect("no panic while held");
        let mut target_pools = HashMap::new();
        let mut rebuilt = HashMap::new();
        for (name, spec) in &set.pools {
            let infos = spec.targets.iter().map(|t| TargetInfo {
                name: t.name.clone(),
                address: t.address.clone(),
                domain: t.domain.clone(),
                distance: self.distance(&t.domain),
            });
            let state = match pools.get(name) {
                Some(old) if old.role == spec.role => old.state.clone(),
                _ => Arc::new(Mutex::new(PoolState {
                    table: PoolTable::default(),
                    policy: make_policy(
                        self.policy,
                        self.seed ^ model::hash::hash64(name.as_bytes()),
                    ),
                    budget: RetryBudget::default(),
                })),
            };
            state.lock().expect("no panic while held").table.set_targets(infos.collect());
            target_pools.extend(spec.targets.iter().map(|t| (t.name.clone(), name.clone())));
            let addresses = spec.targets.iter().map(|t| (t.name.clone(), t.address.clone()));
            let pool =
                Pool { cost: spec.cost, role: spec.role, addresses: addresses.collect(), state };
            rebuilt.insert(name.clone(), Arc::new(pool));
        }
        *pools = rebuilt;
        *self.target_pools.write().expect("no panic while held") = target_pools;
    }

    fn distance(&self, domain: &Name) -> u8 {
        if *domain == self.domain {
            0
        } else if self.region_domains.contains(domain) {
            1
        } else {
            2
        }
    }

    /// Updates a target's state from a report; reports of unknown targets are ignored.
    pub fn update_target(&self, now: Time, status: &TargetStatus) {
        let pool_name = self
            .target_pools
            .read()
            .expect("no panic while held")
            .get(&status.report.target)
            .cloned();
        if let Some(pool) = pool_name.and_then(|o| self.pool(&o)) {
            pool.lock().table.update(now, status);
        }
    }

    /// Sets the hosts that are leaving and marks their targets.
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

    /// Picks a target and counts the attempt as sent. Returns the target and its expected wait in
    /// milliseconds.
    pub fn pick(&self, pool: &Pool, query: &RouteQuery) -> Option<(Name, f64)> {
        let mut state = pool.lock();
        let state = &mut *state;
        let i = state.policy.pick(query, &state.table)?;
        let name = state.table.slots()[i].info.name.clone();
        let wait = state.table.record_sent(query.now, &name);
        Some((name, wait))
    }

    /// Plans of a pipeline's steps, based on the step times recorded so far.
    pub fn step_plans(&self, name: &Name, pipeline: &Pipeline, hedging: bool) -> Vec<StepPlan> {
        let times = self.step_times.lock().expect("no panic while held");
        let plan = |(i, s): (usize, &model::object::Stage)| {
            let pool = self.pool(&s.pool);
            let engine = pool.as_ref().is_some_and(|p| p.role == Role::Engine);
            let observed = times.get(&(name.clone(), i));
            StepPlan {
                name: s.name.clone(),
                repeatable: s.repeatable,
                continuable: engine,
                timeout: observed
                    .map_or_else(|| StepTimes::default().timeout(), StepTimes::timeout),
                hedge: observed.filter(|_| hedging && !engine).and_then(StepTimes::hedge_after),
                cost: pool.map_or(0.0, |p| p.cost),
            }
        };
        pipeline.stages.iter().enumerate().map(plan).collect()
    }

    /// Records how long a step took.
    pub fn record_step(&self, pipeline: &Name, step: usize, took: Duration) {
        let mut times = self.step_times.lock().expect("no panic while held");
        times.entry((pipeline.clone(), step)).or_default().record(took);
    }

    /// Time that a request of `pipeline` must have left when it is admitted.
    pub fn required_time(&self, pipeline: &Name, steps: usize, left: Duration) -> Duration {
        let times = self.step_times.lock().expect("no panic while held");
        let observed: Vec<&StepTimes> =
            (0..steps).filter_map(|i| times.get(&(pipeline.clone(), i))).collect();
        deadline::required_time(&observed, left)
    }

    /// Budget of a step: the time left, less what later steps need.
    pub fn step_budget(&self, pipeline: &Name, step: usize, now: Time, deadline: Time) -> Duration {
        let times = self.step_times.lock().expect("no panic while held");
        let later_steps: Vec<&StepTimes> =
            (step + 1..MAX_STEPS).filter_map(|i| times.get(&(pipeline.clone(), i))).collect();
        let later = deadline::median_total(&later_steps);
        deadline::budget(now, deadline, later)
    }
}
