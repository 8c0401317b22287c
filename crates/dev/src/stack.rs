//! Stand-ins and nodes in one process, started and stopped together, for the quick start and for
//! tests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use cli::Remote;
use cli::declare::Declaration;
use model::Name;
use model::object::{Pool, Role, Spec};
use standin::api::Api;
use standin::engine::EngineSpec;
use standin::faults::TargetFaults;
use standin::target::{TargetServer, TargetSpec};
use tokio::task::JoinHandle;
use util::http::Client;
use util::stop::{self, Stop, Stopper};

/// Loopback with a free port.
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
/// Readiness polls of one node before startup fails.
const MAX_READY_POLLS: u32 = 600;
/// Delay between two readiness polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the configuration to be in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a stack consists of.
#[derive(Debug, Clone)]
pub struct Options {
    /// Declarations; target addresses are replaced by those of the stand-ins.
    pub declarations: Vec<Declaration>,
    /// Failure domains, with one node each.
    pub domains: Vec<Name>,
    /// Rates and capacities of engines.
    pub engine: EngineSpec,
    /// Model versions that engines have loaded.
    pub models: Vec<Name>,
    /// Duration in milliseconds of one call on targets that are not engines.
    pub service_ms: f64,
    /// Time in milliseconds until a load balancer notices that a node is not ready.
    pub balancer_lag_ms: u64,
}

impl Options {
    /// One node in each of `domains`, and engines with no model loaded.
    pub fn new(declarations: Vec<Declaration>, domains: &[&str]) -> Self {
        Options {
            declarations,
            domains: domains.iter().map(|d| Name::from(*d)).collect(),
            engine: EngineSpec { step: 5.0, ..EngineSpec::default() },
            models: Vec::new(),
            service_ms: 4.0,
            balancer_lag_ms: 0,
        }
    }

    /// Sets the model versions that engines have loaded.
    pub fn with_models(mut self, models: &[&str]) -> Self {
        self.models = models.iter().map(|m| Name::from(*m)).collect();
        self
    }

    /// Sets the duration of an engine step in milliseconds.
    pub fn with_step(mut self, step: f64) -> Self {
        self.engine.step = step;
        self
    }
}

/// A running stack in this process.
pub struct Stack {
    /// Listen address of the Object API.
    pub store: SocketAddr,
    /// Stand-in of the Object API.
    pub api: Arc<Api>,
    /// Stand-in targets by name.
    pub targets: BTreeMap<Name, Arc<TargetServer>>,
    /// Declarations with the addresses of the stand-ins.
    pub declarations: Vec<Declaration>,
    entries: Vec<entry::Running>,
    controls: Vec<control::Running>,
    stopper: Stopper,
    tasks: Vec<JoinHandle<()>>,
}

impl Stack {
    /// Starts all components on free loopback ports.
    pub async fn start(options: Options) -> anyhow::Result<Stack> {
        let (stopper, stop) = stop::channel();
        let (store, api, task) = standin::run::start_api(LOOPBACK_ANY_PORT, stop.clone()).await?;
        let mut stack = Stack {
            store,
            api,
            targets: BTreeMap::new(),
            declarations: options.declarations.clone(),
            entries: Vec::new(),
            controls: Vec::new(),
            stopper,
            tasks: vec![task],
        };
        let mut declarations = options.declarations.clone();
        for d in &mut declarations {
            if let Spec::Pool(pool) = &mut d.spec {
                stack.start_targets(&options, pool, &stop).await?;
            }
        }
        stack.declarations = declarations;
        for domain in &options.domains {
            stack.add_node(&options, domain).await?;
        }
        Ok(stack)
    }

    /// Starts a pool's targets and writes their addresses into its declaration.
    async fn start_targets(
        &mut self,
        options: &Options,
        pool: &mut Pool,
        stop: &Stop,
    ) -> anyhow::Result<()> {
        for t in &mut pool.targets {
            let spec = TargetSpec {
                name: t.name.clone(),
                address: LOOPBACK_ANY_PORT.into(),
                role: pool.role,
                width: 8,
                service: options.service_ms,
                engine: options.engine,
                models: if pool.role == Role::Engine { options.models.clone() } else { Vec::new() },
                fenced: pool.fenced,
                faults: TargetFaults::default(),
            };
            let (at, target, task) = standin::run::start_target(spec, stop.clone()).await?;
            t.address = at.to_string().into();
            self.targets.insert(t.name.clone(), target);
            self.tasks.push(task);
        }
        Ok(())
    }

    async fn add_node(&mut self, options: &Options, domain: &Name) -> anyhow::Result<()> {
        let near = options.domains.iter().filter(|d| *d != domain).cloned();
        let count = self.entries.len() + 1;
        let name: Name = format!("{domain}-{count}").into();
        let settings = entry::Settings {
            near: near.collect(),
            store: Some(self.store.to_string()),
            store_rate: 100.0,
            width: 256,
            depth: 512,
            balancer_lag: options.balancer_lag_ms,
            ..entry::Settings::local(name.clone(), domain.clone())
        };
        let bound = entry::Bound::new(settings).await?;
        let settings = control::Settings {
            name,
            domain: domain.clone(),
            address: LOOPBACK_ANY_PORT.parse().context("a loopback address")?,
            entry: bound.peers(),
            seeds: Vec::new(),
            links: self.controls.iter().map(|c| c.address).collect(),
            store: self.store,
            store_rate: 100.0,
            lease_period: 2000,
            poll_period: 500,
            logs: Default::default(),
        };
        let control = control::Control::start(settings).await?;
        self.entries.push(bound.with_control(control.address).start());
        self.controls.push(control);
        Ok(())
    }

    /// Applies the declarations and waits until they are in force on every node and every entry
    /// node is ready; returns the manifest number.
    pub async fn apply(&self) -> anyhow::Result<u64> {
        let remote = Remote::new(&self.store.to_string())?;
        let written = cli::cmd::write_all(&remote, self.declarations.clone()).await?;
        let number = cli::cmd::wait_in_force(&remote, &written, IN_FORCE_TIMEOUT).await?;
        self.wait_ready().await?;
        Ok(number)
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let client = Client::new(Duration::from_secs(1));
        for address in self.callers() {
            let address = address.to_string();
            let mut polls = 0;
            while client.text(&address, "/readyz", Duration::from_secs(1)).await.is_err() {
                polls += 1;
                anyhow::ensure!(
                    polls < MAX_READY_POLLS,
                    "entry node {address} did not become ready"
                );
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Caller address of each entry node.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.callers).collect()
    }

    /// Gracefully stops the first entry node, which completes its open requests.
    pub async fn stop_entry(&mut self) {
        if !self.entries.is_empty() {
            self.entries.remove(0).stop().await;
        }
    }

    /// Removes the first entry node and returns it, to be stopped while the others run.
    pub fn take_entry(&mut self) -> Option<entry::Running> {
        (!self.entries.is_empty()).then(|| self.entries.remove(0))
    }

    /// Stops all components, entry nodes first.
    pub async fn stop(self) {
        for e in self.entries {
            e.stop().await;
        }
        for c in self.controls {
            c.stop().await;
        }
        self.stopper.stop();
        for t in self.tasks {
            t.abort();
        }
    }
}
