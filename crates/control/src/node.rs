//! Assembly, start and stop of a control node.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use arc_swap::ArcSwap;
use decide::member::Event as MemberEvent;
use kameo::actor::{ActorRef, Spawn};
use model::Name;
use model::member::{Node, NodeId};
use store::{BudgetedStore, HttpHosts, HttpStore};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use util::clock::Clock;
use util::http::{Client, Server};
use util::stop::{self, Stopper};

use crate::args::Args;
use crate::config::{self, Config};
use crate::lease::{self, Lease};
use crate::membership::{self, Membership};
use crate::publish::PublishTask;
use crate::server::ControlHandler;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{domain, poll, relay};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum attempts to bind a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: usize = 16;

/// The program `pumicevale-control`.
#[derive(Debug)]
pub struct Control;

/// A running control node.
pub struct Running {
    /// Listen address, TCP and UDP.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    membership: ActorRef<Membership>,
    stopper: Stopper,
    tasks: Vec<JoinHandle<()>>,
}

impl Control {
    /// Runs the program until a signal, on two threads: control work needs no more.
    pub fn main(args: Args) -> anyhow::Result<()> {
        util::cli::serve(
            &args.settings,
            args.check,
            2,
            |s: &Settings| &s.logs,
            |settings| async {
                let running = Control::start(settings).await?;
                log::info!("node: control listening on {}.", running.address);
                stop::signal().await.context("could not wait for signals")?;
                running.stop().await;
                Ok(())
            },
        )
    }

    /// Binds the address and starts a node.
    pub async fn start(mut settings: Settings) -> anyhow::Result<Running> {
        let (server, socket) = bind(settings.address).await?;
        settings.address = server.address();
        let client = Client::new(CONNECT_TIMEOUT);
        let store: Name = settings.store.to_string().into();
        let http = HttpStore::new(client.clone(), store.clone());
        let shared = Arc::new(Shared {
            clock: Clock::default(),
            store: Arc::new(BudgetedStore::new(Box::new(http), settings.store_rate)),
            hosts: Box::new(HttpHosts::new(client.clone(), store)),
            client,
            members: ArcSwap::default(),
            applied: ArcSwap::default(),
            load_table: Mutex::default(),
            leaving: ArcSwap::default(),
            settings,
        });
        Ok(Running::start(shared, server, socket).await)
    }
}

/// Binds one port for TCP and UDP.
async fn bind(address: SocketAddr) -> anyhow::Result<(Server, UdpSocket)> {
    for _ in 0..MAX_BIND_ATTEMPTS {
        let server = Server::bind(&address.to_string()).await?;
        match UdpSocket::bind(server.address()).await {
            Ok(socket) => return Ok((server, socket)),
            Err(e) if address.port() != 0 => {
                return Err(e).with_context(|| format!("could not bind UDP port {address}"));
            }
            Err(_) => {}
        }
    }
    anyhow::bail!("could not find a port that is free for TCP and UDP at {}", address.ip())
}

impl Running {
    async fn start(shared: Arc<Shared>, server: Server, socket: UdpSocket) -> Running {
        let start = rand::random::<u64>().max(1);
        let s = &shared.settings;
        let me = Node {
            id: NodeId { name: s.name.clone(), start },
            address: s.address,
            entry: s.entry,
            domain: s.domain.clone(),
            capacity: 0,
        };
        let holder: Name = format!("{}-{start:x}", s.name).into();
        let config = Config::spawn(shared.clone());
        let membership = Membership::spawn(membership::Args {
            shared: shared.clone(),
            me,
            socket: Arc::new(socket),
            config: config.clone(),
        });
        let _ = config.tell(config::SetMembership(membership.clone())).await;
        let (epoch_tx, epoch_rx) = watch::channel(None);
        let (domain_epoch, _) = watch::channel(None);
        let spawn_lease = |name: Name, epoch| {
            let (shared, holder) = (shared.clone(), holder.clone());
            Lease::spawn(lease::Args { shared, name, holder, epoch })
        };
        let _manifest_lease = spawn_lease("manifest".into(), epoch_tx);
        let domain_lease = spawn_lease(format!("domain-{}", s.domain).into(), domain_epoch);
        let handler = ControlHandler {
            shared: shared.clone(),
            config: config.clone(),
            membership: membership.clone(),
        };
        let address = server.address();
        let (stopper, stopped) = stop::channel();
        let tasks = vec![
            tokio::spawn(server.run(Arc::new(handler), stopped)),
            tokio::spawn(relay::watch_manifest(shared.clone(), config.clone())),
            tokio::spawn(relay::watch_hosts(shared.clone(), membership.clone())),
            tokio::spawn(poll::run(shared.clone(), membership.clone())),
            tokio::spawn(PublishTask::new(shared.clone(), config).run(epoch_rx)),
            tokio::spawn(domain::run(shared.clone(), domain_lease)),
        ];
        Running { address, shared, membership, stopper, tasks }
    }

    /// Number of the applied manifest, and names of the nodes that are up.
    pub fn status(&self) -> (u64, Vec<Name>) {
        let members = self.shared.members.load();
        let names = members.nodes.iter().map(|n| n.id.name.clone()).collect();
        (self.shared.applied.load().number, names)
    }

    /// Graceful stop: announces it to the peers, then ends all tasks.
    pub async fn stop(self) {
        let _ = self.membership.ask(membership::HandleEvent(MemberEvent::Leave)).await;
        self.stopper.stop();
        for task in self.tasks {
            task.abort();
        }
        log::info!("stop: announced to peers.");
    }
}
