//! Assembly, start and stop of an entry node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use arc_swap::ArcSwap;
use decide::admit::AdmissionQueue;
use decide::config::Change;
use model::Name;
use model::member::Node;
use model::view::{Refusal, path};
use store::{BudgetedStore, HttpStore};
use tokio::task::JoinHandle;
use util::clock::Clock;
use util::http::{Client, Server};
use util::stop::{self, Stopper};

use crate::args::Args;
use crate::claims::ClaimClient;
use crate::fleet::Fleet;
use crate::front::CallerHandler;
use crate::metrics::Metrics;
use crate::peer::PeerHandler;
use crate::rates::{self, Rates};
use crate::settings::Settings;
use crate::sync;

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// State shared by all requests.
pub struct Core {
    pub settings: Settings,
    pub clock: Clock,
    pub fleet: Fleet,
    pub client: Client,
    pub claims: ClaimClient,
    pub rates: Rates,
    pub metrics: Metrics,
    /// Entry nodes that are up.
    pub members: ArcSwap<Vec<Node>>,
    pub admission: crate::front::AdmissionController,
    /// Whether a graceful stop has begun.
    pub stopping: AtomicBool,
    start: u64,
    next_request: AtomicU64,
}

impl Core {
    /// Returns a new request id, unique across nodes and restarts.
    pub fn request_id(&self) -> Name {
        let n = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:08x}-{n}", self.settings.name, self.start as u32).into()
    }

    /// Reports to the control node that a target refused a call because it is draining.
    pub fn report_refusal(&self, target: Name) {
        let Some(control) = self.settings.control.clone() else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_secs(1);
            let refusal = Refusal { target };
            let _ = client.rmp::<_, ()>(&control, path::REFUSED, &refusal, timeout).await;
        });
    }
}

/// The program `pumicevale-entry`.
#[derive(Debug)]
pub struct Entry;

/// A running entry node.
pub struct Running {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other entry nodes.
    pub peers: SocketAddr,
    core: Arc<Core>,
    caller_stopper: Stopper,
    peer_stopper: Stopper,
    servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Runs the program until a signal.
    pub fn main(args: Args) -> anyhow::Result<()> {
        util::cli::serve(
            &args.settings,
            args.check,
            0,
            |s: &Settings| &s.logs,
            |settings| async {
                let running = Entry::start(settings).await?;
                log::info!(
                    "node: listening for callers on {}, for peers on {}.",
                    running.callers,
                    running.peers
                );
                stop::signal().await.context("could not wait for signals")?;
                running.stop().await;
                Ok(())
            },
        )
    }

    /// Binds, then starts a node.
    pub async fn start(settings: Settings) -> anyhow::Result<Running> {
        Ok(Bound::new(settings).await?.start())
    }
}

/// A node that has bound its ports and does not serve yet.
#[derive(Debug)]
pub struct Bound {
    settings: Settings,
    caller_server: Server,
    peer_server: Server,
}

impl Bound {
    /// Binds the addresses in the settings; port 0 picks a free port.
    pub async fn new(settings: Settings) -> anyhow::Result<Bound> {
        let caller_server = Server::bind(&settings.callers).await?;
        let peer_server = Server::bind(&settings.peers).await?;
        Ok(Bound { settings, caller_server, peer_server })
    }

    /// Listen address for other entry nodes.
    pub fn peers(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// Sets the address of the control node, for callers that learn it only after binding.
    pub fn with_control(mut self, control: SocketAddr) -> Self {
        self.settings.control = Some(control.to_string());
        self
    }

    /// Starts the node.
    pub fn start(self) -> Running {
        let Bound { settings, caller_server, peer_server } = self;
        let clock = Clock::default();
        let client = Client::new(CONNECT_TIMEOUT);
        let start = rand::random::<u64>();
        let store = settings.store.as_ref().map(|address| {
            let http = HttpStore::new(client.clone(), address.as_str().into());
            Arc::new(BudgetedStore::new(Box::new(http), settings.store_rate))
        });
        let fleet = Fleet::new(settings.domain.clone(), &settings.near, settings.policy, start);
        let queue = AdmissionQueue::new(settings.width, settings.depth);
        let queue = if settings.admission { queue } else { queue.with_fixed_limit() };
        let core = Arc::new(Core {
            clock,
            fleet,
            client,
            claims: ClaimClient::new(store, clock),
            rates: Rates::default(),
            metrics: Metrics::new(),
            members: ArcSwap::default(),
            admission: crate::front::AdmissionController::new(queue),
            stopping: AtomicBool::new(false),
            start,
            next_request: AtomicU64::new(0),
            settings,
        });
        Running::start(core, caller_server, peer_server)
    }
}

impl Running {
    fn start(core: Arc<Core>, caller_server: Server, peer_server: Server) -> Running {
        let (callers, peers) = (caller_server.address(), peer_server.address());
        let (caller_stopper, caller_stopped) = stop::channel();
        let (peer_stopper, peer_stopped) = stop::channel();
        let servers = vec![
            tokio::spawn(caller_server.run(Arc::new(CallerHandler(core.clone())), caller_stopped)),
            tokio::spawn(peer_server.run(Arc::new(PeerHandler(core.clone())), peer_stopped)),
        ];
        let mut tasks = vec![
            tokio::spawn(rates::renew_slices(core.clone())),
            tokio::spawn(crate::front::AdmissionController::expire_waiting(core.clone())),
        ];
        if let Some(control) = &core.settings.control {
            tasks.push(tokio::spawn(sync::run(core.clone(), control.as_str().into())));
        }
        Running { callers, peers, core, caller_stopper, peer_stopper, servers, tasks }
    }

    /// The node's fleet, for tests and experiments without a control node.
    pub fn fleet(&self) -> &Fleet {
        &self.core.fleet
    }

    /// Current time of the node's clock.
    pub fn now(&self) -> model::Time {
        self.core.clock.now()
    }

    /// Applies a configuration directly, without a control node.
    pub fn apply(&self, change: Change) {
        self.core.fleet.apply(change);
    }

    /// Sets the entry nodes that are up.
    pub fn set_members(&self, members: Vec<Node>) {
        self.core.members.store(Arc::new(members));
    }

    /// Ends at once and cuts off open responses; for experiments only.
    pub fn abort(self) {
        for task in self.servers.into_iter().chain(self.tasks) {
            task.abort();
        }
    }

    /// Graceful stop: withdraws readiness at once, accepts no new connections after the load
    /// balancer's lag, and ends when all responses are sent.
    pub async fn stop(self) {
        self.core.stopping.store(true, Ordering::Relaxed);
        log::info!("stop: no longer ready, waiting for the load balancer.");
        tokio::time::sleep(Duration::from_millis(self.core.settings.balancer_lag)).await;
        self.caller_stopper.stop();
        let mut servers = self.servers.into_iter();
        if let Some(caller_server) = servers.next() {
            let _ = caller_server.await;
        }
        self.peer_stopper.stop();
        for server in servers {
            let _ = server.await;
        }
        for task in self.tasks {
            task.abort();
        }
        log::info!("stop: all responses sent.");
    }
}
