//! The system under measurement: entry nodes and stand-in targets on loopback,
//! with a poller in the place of control nodes.

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

/// Any free port.
const ANY: &str = "127.0.0.1:0";
/// Milliseconds between two reports of a target.
const REPORT: u64 = 250;
/// The same under a lag.
const LAG: u64 = 2000;
/// Targets of each small stage.
const SMALL: usize = 3;
/// Cost of an engine's second, and of another target's.
const ENGINE_COST: f64 = 1.0;
const SMALL_COST: f64 = 0.1;

/// A running system.
pub struct Fleet {
    /// Entry nodes.
    pub entries: Vec<entry::Running>,
    /// Engines.
    pub engines: Vec<Arc<TargetServer>>,
    /// Targets of the encode stage.
    pub encoders: Vec<Arc<TargetServer>>,
    tasks: Vec<JoinHandle<()>>,
    /// Held so that the targets go on.
    stopper: Stopper,
}

struct Started {
    server: Arc<TargetServer>,
    target: Target,
    task: JoinHandle<()>,
}

impl Fleet {
    /// Starts everything cold.
    pub async fn start(plan: &Plan, cell: &Cell, policy: &PolicyPlan) -> anyhow::Result<Fleet> {
        let (stopper, stop) = stop::channel();
        let mut tasks = Vec::new();
        let mut change = Change { number: 1, upserts: Vec::new(), removed: Vec::new() };
        let mut servers: Vec<Vec<Arc<TargetServer>>> = Vec::new();
        let pools = [
            ("engines", Role::Engine, plan.engines),
            ("encoders", Role::Encoder, SMALL),
            ("stores", Role::Plain, SMALL),
        ];
        for (name, role, count) in pools {
            let mut targets = Vec::new();
            let mut list = Vec::new();
            for i in 0..count {
                let s = start_target(plan, name, role, i, stop.clone()).await?;
                tasks.push(s.task);
                targets.push(s.target);
                list.push(s.server);
            }
            let cost = if role == Role::Engine { ENGINE_COST } else { SMALL_COST };
            let pool = Pool { role, cost, fenced: false, targets };
            change.upserts.push((format!("Pool/{name}").into(), Spec::Pool(pool)));
            servers.push(list);
        }
        declare(plan, &mut change);
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

    /// Passes the targets' reports on to every entry node, as control nodes would.
    pub async fn report(&self, cell: &Cell) {
        let every = if cell.fault == Fault::Lag { LAG } else { REPORT };
        let mut seq = 0;
        loop {
            seq += 1;
            for t in self.engines.iter().chain(&self.encoders) {
                let mut report = t.report().await;
                report.seq = seq;
                let news = TargetStatus { report, seq, ready: true, polled: true };
                for e in &self.entries {
                    e.fleet().hear(e.now(), &news);
                }
            }
            tokio::time::sleep(Duration::from_millis(every)).await;
        }
    }

    /// Where callers come in.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.callers).collect()
    }

    /// Switches the cell's fault on.
    pub fn fault(&self, fault: Fault) {
        let f = TargetFaults::default;
        match fault {
            Fault::Killed => self.engines[0].set_faults(TargetFaults { fail: true, ..f() }),
            Fault::Slow => self.engines[0].set_faults(TargetFaults { slow: 10.0, ..f() }),
            Fault::Half => {
                for e in self.engines.iter().step_by(2) {
                    e.set_faults(TargetFaults { refuse: true, ..f() });
                }
            }
            Fault::StageDown => {
                for e in &self.encoders {
                    e.set_faults(TargetFaults { fail: true, ..f() });
                }
            }
            Fault::None | Fault::Lag | Fault::Burst => {}
        }
    }

    /// Prompt tokens asked for, and those found cached.
    pub async fn cache(&self) -> (u64, u64) {
        let mut sum = (0, 0);
        for e in &self.engines {
            let (prompt, cached) = e.cache_tokens().await;
            sum.0 += prompt;
            sum.1 += cached;
        }
        sum
    }

    /// Calls at engines and encoders, refused and failed ones included.
    pub fn runs(&self) -> usize {
        self.engines.iter().chain(&self.encoders).map(|t| t.call_count()).sum()
    }

    /// Stops everything.
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
) -> anyhow::Result<Started> {
    let name: Name = format!("{pool}-{i}").into();
    let spec = TargetSpec {
        name: name.clone(),
        address: ANY.into(),
        role,
        width: 32,
        service: 2.0,
        engine: EngineSpec { ..plan.engine },
        models: vec!["m@v1".into()],
        fenced: false,
        faults: TargetFaults::default(),
    };
    let (at, server, task) = standin::run::start_target(spec, stop).await?;
    let target = Target {
        name,
        address: at.to_string().into(),
        domain: "a".into(),
        host: format!("{pool}-h{i}").into(),
    };
    Ok(Started { server, target, task })
}

fn declare(plan: &Plan, change: &mut Change) {
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
