//! The parts of the quick start, started and stopped together.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use cli::declare::Declaration;
use model::Name;
use model::object::{Pool, Role, Spec};
use standin::engine::EngineSpec;
use standin::faults::TargetFaults;
use standin::target::TargetSpec;
use tokio::task::JoinHandle;
use util::http::Client;
use util::stop::{self, Stop, Stopper};

use crate::examples;

/// Failure domains that get a node.
const DOMAINS: [&str; 2] = ["hall-a", "hall-b"];
/// Any free port.
const ANY: &str = "127.0.0.1:0";
/// Looks for readiness, and the wait between them.
const LOOKS: u32 = 300;
const LOOK: Duration = Duration::from_millis(50);

/// Everything in one process.
pub struct Stack {
    /// The Object API.
    pub store: SocketAddr,
    /// Declarations with the stand-ins' addresses.
    pub declarations: Vec<Declaration>,
    entries: Vec<entry::Running>,
    controls: Vec<control::Running>,
    stopper: Stopper,
    tasks: Vec<JoinHandle<()>>,
}

impl Stack {
    /// Starts all parts on free loopback ports.
    pub async fn start() -> anyhow::Result<Stack> {
        let (stopper, stop) = stop::pair();
        let (store, _, task) = standin::run::start_api(ANY, stop.clone()).await?;
        let mut tasks = vec![task];
        let mut declarations = examples::parabaas()?;
        for d in &mut declarations {
            if let Spec::Pool(pool) = &mut d.spec {
                tasks.extend(start_targets(pool, &stop).await?);
            }
        }
        let mut stack = Stack {
            store,
            declarations,
            entries: Vec::new(),
            controls: Vec::new(),
            stopper,
            tasks,
        };
        for domain in DOMAINS {
            stack.add_node(domain).await?;
        }
        Ok(stack)
    }

    async fn add_node(&mut self, domain: &str) -> anyhow::Result<()> {
        let near = DOMAINS
            .iter()
            .filter(|d| **d != domain)
            .map(|d| Name::from(*d));
        let peers = free_port()?;
        let control = control::Settings {
            name: format!("{domain}-1").into(),
            domain: domain.into(),
            address: ANY.parse().expect("a valid address"),
            entry: peers,
            seeds: Vec::new(),
            links: self.controls.iter().map(|c| c.address).collect(),
            store: self.store,
            store_rate: 100.0,
            lease_period: 2000,
            poll_period: 500,
            logs: Default::default(),
        };
        let control = control::Control::start(control).await?;
        let entry = entry::Settings {
            name: format!("{domain}-1").into(),
            domain: domain.into(),
            near: near.collect(),
            callers: ANY.into(),
            peers: peers.to_string(),
            control: Some(control.address.to_string()),
            store: Some(self.store.to_string()),
            store_rate: 100.0,
            width: 256,
            depth: 512,
            body_max: 1 << 20,
            body_time: 5000,
            balancer_lag: 0,
            policy: Default::default(),
            admission: true,
            hedging: true,
            logs: Default::default(),
        };
        self.entries.push(entry::Entry::start(entry).await?);
        self.controls.push(control);
        Ok(())
    }

    /// Waits until every entry node is ready; returns the first one's address.
    pub async fn ready(&self) -> anyhow::Result<SocketAddr> {
        let client = Client::new(Duration::from_secs(1));
        for e in &self.entries {
            let address = e.callers.to_string();
            let mut looks = 0;
            while client
                .text(&address, "/readyz", Duration::from_secs(1))
                .await
                .is_err()
            {
                looks += 1;
                anyhow::ensure!(looks < LOOKS, "entry node {address} did not become ready");
                tokio::time::sleep(LOOK).await;
            }
        }
        self.entries
            .first()
            .map(|e| e.callers)
            .context("no entry node was started")
    }

    /// Addresses of all entry nodes.
    pub fn callers(&self) -> String {
        let all: Vec<String> = self.entries.iter().map(|e| e.callers.to_string()).collect();
        all.join(", ")
    }

    /// Stops all parts, callers' side first.
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

/// Starts a pool's targets and puts their addresses into its declaration.
async fn start_targets(pool: &mut Pool, stop: &Stop) -> anyhow::Result<Vec<JoinHandle<()>>> {
    let mut tasks = Vec::new();
    for t in &mut pool.targets {
        let models = match pool.role {
            Role::Engine => vec!["para-notes@v1".into()],
            _ => Vec::new(),
        };
        let spec = TargetSpec {
            name: t.name.clone(),
            address: ANY.into(),
            role: pool.role,
            width: 8,
            service: 4.0,
            engine: EngineSpec {
                step: 5.0,
                ..EngineSpec::default()
            },
            models,
            fenced: pool.fenced,
            faults: TargetFaults::default(),
        };
        let (at, _, task) = standin::run::start_target(spec, stop.clone()).await?;
        t.address = at.to_string().into();
        tasks.push(task);
    }
    Ok(tasks)
}

/// A port that was free a moment ago: control must know its entry node's port
/// before that node is started.
fn free_port() -> anyhow::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(ANY).context("could not find a free port")?;
    listener.local_addr().context("could not read a port")
}
