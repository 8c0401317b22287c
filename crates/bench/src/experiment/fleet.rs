//! The system under test: entry nodes and stand-in targets on loopback, with one poller in place
//! of the control nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decide::config::Change;
use model::Name;
use model::load::TargetStatus;
use model::object::{Model, Pipeline, Pool, Priority, Role, Spec, Stage, Target, Workspace};
use standin::engine::EngineSpec;
use standin::faults::TargetFaults;
use standin::target::{TargetServer, TargetSpec};
use tokio::task::JoinHandle;
use util::stop::{self, Stopper};

use super::plan::{Cell, Fault, Plan, PolicyPlan};

/// Loopback address with a port chosen by the operating system.
const ANY_PORT: &str = "127.0.0.1:0";
/// Interval of load reports.
const REPORT_INTERVAL_MS: u64 = 250;
/// Interval of load reports under [`Fault::Lag`].
const LAGGED_INTERVAL_MS: u64 = 2000;
/// Targets of each stage other than the engines'.
const SMALL_STAGE_TARGETS: usize = 3;
/// Cost of one second of an engine.
const ENGINE_COST: f64 = 1.0;
/// Cost of one second of any other target.
const OTHER_COST: f64 = 0.1;

/// Running entry nodes and targets.
pub struct Fleet {
    /// Entry nodes that receive the requests.
    pub entries: Vec<entry::Running>,
    /// Targets of the generate stage.
    pub engines: Vec<Arc<TargetServer>>,
    /// Targets of the encode stage and of the stock check's last stage.
    pub encoders: Vec<Arc<TargetServer>>,
    tasks: Vec<JoinHandle<()>>,
    /// Dropping it would stop the targets.
    stopper: Stopper,
}

struct StartedTarget {
    server: Arc<TargetServer>,
    target: Target,
    task: JoinHandle<()>,
}

impl Fleet {
    /// Starts all targets and entry nodes with empty caches.
    pub async fn start(plan: &Plan, cell: &Cell, policy: &PolicyPlan) -> anyhow::Result<Fleet> {
        let (stopper, stop) = stop::channel();
        let mut tasks = Vec::new();
        let mut change = Change { number: 1, upserts: Vec::new(), removed: Vec::new() };
        let mut servers: Vec<Vec<Arc<TargetServer>>> = Vec::new();
        let pools = [
            ("engines", Role::Engine, plan.engines),
            ("encoders", Role::Encoder, SMALL_STAGE_TARGETS),
            ("stores", Role::Plain, SMALL_STAGE_TARGETS),
        ];
        for (name, role, count) in pools {
            let mut targets = Vec::new();
            let mut pool_servers = Vec::new();
            for i in 0..count {
                let s = start_target(plan, name, role, i, stop.clone()).await?;
                tasks.push(s.task);
                targets.push(s.target);
                pool_servers.push(s.server);
            }
            let cost = if role == Role::Engine { ENGINE_COST } else { OTHER_COST };
            let pool = Pool { role, cost, fenced: false, targets };
            change.upserts.push((format!("Pool/{name}").into(), Spec::Pool(pool)));
            servers.push(pool_servers);
        }
        add_objects(plan, &mut change);
        let mut entries = Vec::new();
        for i in 0..cell.entries {
            let node = entry::Entry::start(settings(i, policy)).await?;
            node.apply(change.clone());
            entries.push(node);
        }
        let mut servers = servers.into_iter();
        let engines = servers.next().unwrap_or_default();
        let encoders = servers.next().unwrap_or_default();
        Ok(Fleet { entries, engines, encoders, tasks, stopper })
    }

    /// Polls the targets' load reports and forwards them to every entry node, as control nodes do.
    /// Never returns.
    pub async fn forward_reports(&self, cell: &Cell) {
        let interval_ms =
            if cell.fault == Fault::Lag { LAGGED_INTERVAL_MS } else { REPORT_INTERVAL_MS };
        let mut seq = 0;
        loop {
            seq += 1;
            for t in self.engines.iter().chain(&self.encoders) {
                let mut report = t.report().await;
                report.seq = seq;
                let status = TargetStatus { report, seq, ready: true, polled: true };
                for e in &self.entries {
                    e.fleet().update_target(e.now(), &status);
                }
            }
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    /// Addresses at which the entry nodes serve callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.callers).collect()
    }

    /// Injects a fault at the targets. Lag and burst are applied elsewhere: in the report interval
    /// and in the arrivals.
    pub fn inject_fault(&self, fault: Fault) {
        let defaults = TargetFaults::default;
        match fault {
            Fault::Killed => self.engines[0].set_faults(TargetFaults { fail: true, ..defaults() }),
            Fault::Slow => self.engines[0].set_faults(TargetFaults { slow: 10.0, ..defaults() }),
            Fault::Half => {
                for e in self.engines.iter().step_by(2) {
                    e.set_faults(TargetFaults { refuse: true, ..defaults() });
                }
            }
            Fault::StageDown => {
                for e in &self.encoders {
                    e.set_faults(TargetFaults { fail: true, ..defaults() });
                }
            }
            Fault::None | Fault::Lag | Fault::Burst => {}
        }
    }

    /// Prompt tokens requested at the engines, and those of them found cached.
    pub async fn cache_tokens(&self) -> (u64, u64) {
        let mut sum = (0, 0);
        for e in &self.engines {
            let (prompt, cached) = e.cache_tokens().await;
            sum.0 += prompt;
            sum.1 += cached;
        }
        sum
    }

    /// Calls to engines and encoders, including refused and failed ones.
    pub fn target_calls(&self) -> usize {
        self.engines.iter().chain(&self.encoders).map(|t| t.call_count()).sum()
    }

    /// Stops all targets and entry nodes.
    pub async fn stop(self) {
        self.stopper.stop();
        for t in self.tasks {
            t.abort();
        }
        for e in self.entries {
            e.abort();
        }
    }
}

async fn start_target(
    plan: &Plan,
    pool: &str,
    role: Role,
    i: usize,
    stop: util::stop::Stop,
) -> anyhow::Result<StartedTarget> {
    let name: Name = format!("{pool}-{i}").into();
    let spec = TargetSpec {
        name: name.clone(),
        address: ANY_PORT.into(),
        role,
        width: 32,
        service: 2.0,
        engine: EngineSpec { ..plan.engine },
        models: vec!["m@v1".into()],
        fenced: false,
        faults: TargetFaults::default(),
    };
    let (address, server, task) = standin::run::start_target(spec, stop).await?;
    let target = Target {
        name,
        address: address.to_string().into(),
        domain: "a".into(),
        host: format!("{pool}-h{i}").into(),
    };
    Ok(StartedTarget { server, target, task })
}

fn add_objects(plan: &Plan, change: &mut Change) {
    let stage = |name: &str, pool: &str, model: Option<&str>| Stage {
        name: name.into(),
        pool: pool.into(),
        model: model.map(Name::from),
        repeatable: true,
    };
    let workspace = |deadline: u64, priority: Priority| {
        Spec::Workspace(Workspace { deadline, grace: deadline, priority, limits: Vec::new() })
    };
    let chat = vec![stage("encode", "encoders", None), stage("generate", "engines", Some("m"))];
    let stock = vec![stage("look", "stores", None), stage("confirm", "encoders", None)];
    let model = Model { pool: "engines".into(), version: "v1".into(), replicas: 1 };
    change.upserts.extend([
        ("Model/m".into(), Spec::Model(model)),
        ("Pipeline/chat".into(), Spec::Pipeline(Pipeline { stages: chat })),
        ("Pipeline/stock-check".into(), Spec::Pipeline(Pipeline { stages: stock })),
        ("Workspace/turns".into(), workspace(plan.deadline, Priority::Normal)),
        ("Workspace/patient".into(), workspace(60_000, Priority::Patient)),
        ("Workspace/stock".into(), workspace(300, Priority::Urgent)),
    ]);
}

fn settings(i: usize, policy: &PolicyPlan) -> entry::Settings {
    entry::Settings {
        width: if policy.admission { 256 } else { 100_000 },
        depth: if policy.admission { 512 } else { 100_000 },
        policy: policy.routing,
        admission: policy.admission,
        hedging: policy.hedging,
        ..entry::Settings::local(format!("n{i}").into(), "a".into())
    }
}
