//! An entry node: its parts put together, started and stopped.

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

/// Longest wait for a target to take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// What every request shares.
pub struct Core {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Configuration, pools, times.
    pub fleet: Fleet,
    /// HTTP client.
    pub client: Client,
    /// Claims.
    pub claims: ClaimClient,
    /// Workspace rates.
    pub rates: Rates,
    /// Metrics.
    pub metrics: Metrics,
    /// Entry nodes that are up.
    pub members: ArcSwap<Vec<Node>>,
    /// Admission.
    pub admission: crate::front::AdmissionController,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    start: u64,
    next_request: AtomicU64,
}

impl Core {
    /// A new request id, unique over nodes and their starts.
    pub fn request_id(&self) -> Name {
        let n = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:08x}-{n}", self.settings.name, self.start as u32).into()
    }

    /// Tells the control node that a target refused because it is leaving.
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

/// The program.
#[derive(Debug)]
pub struct Entry;

/// A running entry node.
pub struct Running {
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where other entry nodes come in.
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
                log::info!("node: callers at {}, peers at {}.", running.callers, running.peers);
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

/// A node that holds its ports and does not serve yet.
#[derive(Debug)]
pub struct Bound {
    settings: Settings,
    caller_server: Server,
    peer_server: Server,
}

impl Bound {
    /// Takes the ports that the settings name; port 0 picks free ones.
    pub async fn new(settings: Settings) -> anyhow::Result<Bound> {
        let caller_server = Server::bind(&settings.callers).await?;
        let peer_server = Server::bind(&settings.peers).await?;
        Ok(Bound { settings, caller_server, peer_server })
    }

    /// Where other entry nodes come in.
    pub fn peers(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// Names the control node, where it was not known before.
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

    /// The fleet as this node sees it, for tests and experiments without a control node.
    pub fn fleet(&self) -> &Fleet {
        &self.core.fleet
    }

    /// Time by the node's clock.
    pub fn now(&self) -> model::Time {
        self.core.clock.now()
    }

    /// Puts a configuration in force directly.
    pub fn apply(&self, change: Change) {
        self.core.fleet.apply(change);
    }

    /// Names the entry nodes that are up.
    pub fn set_members(&self, members: Vec<Node>) {
        self.core.members.store(Arc::new(members));
    }

    /// Ends at once, answers cut off: for experiments only.
    pub fn abort(self) {
        for task in self.servers.into_iter().chain(self.tasks) {
            task.abort();
        }
    }

    /// A planned stop: not ready at once, then no new connections, then the end
    /// once every answer is out.
    pub async fn stop(self) {
        self.core.stopping.store(true, Ordering::Relaxed);
        log::info!("stop: not ready, waiting for the balancer.");
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
        log::info!("stop: every answer is out.");
    }
}
