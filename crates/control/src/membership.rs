//! Membership actor: drives the [`Member`] state machine, its UDP socket and its timer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use decide::config::{FollowerEvent, Source};
use decide::member::{Action, Event, Member, Tuning};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use model::Time;
use model::member::{Node, Packet};
use tokio::net::UdpSocket;

use crate::config::Config;
use crate::shared::{Members, Shared};

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 9000;

/// Arguments of the membership actor.
pub struct Args {
    pub shared: Arc<Shared>,
    /// This node.
    pub me: Node,
    pub socket: Arc<UdpSocket>,
    /// Configuration actor, notified of higher manifest numbers.
    pub config: ActorRef<Config>,
}

/// Actor around [`Member`].
pub struct Membership {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    config: ActorRef<Config>,
    machine: Member,
    scheduled_tick: Option<Time>,
}

impl Actor for Membership {
    type Args = Args;
    type Error = Infallible;

    async fn on_start(args: Args, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let settings = &args.shared.settings;
        let mut machine = Member::new(args.me, Tuning::default(), rand::random());
        let now = args.shared.clock.now();
        machine.handle_event(now, Event::Seeds(settings.seeds.clone()));
        machine.handle_event(now, Event::Links(settings.links.clone()));
        tokio::spawn(receive(args.socket.clone(), me.clone()));
        let mut actor = Membership {
            shared: args.shared,
            socket: args.socket,
            config: args.config,
            machine,
            scheduled_tick: None,
        };
        actor.process(Event::Tick, &me).await;
        Ok(actor)
    }
}

/// Passes an event to the state machine.
pub struct HandleEvent(pub Event);

impl Message<HandleEvent> for Membership {
    type Reply = ();

    async fn handle(&mut self, h: HandleEvent, ctx: &mut Context<Self, ()>) {
        if h.0 == Event::Tick {
            self.scheduled_tick = None;
        }
        self.process(h.0, &ctx.actor_ref().clone()).await;
    }
}

impl Membership {
    async fn process(&mut self, event: Event, me: &ActorRef<Self>) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.machine.handle_event(self.shared.clock.now(), event) {
                if let Some(next) = self.perform(action).await {
                    events.push(next);
                }
            }
        }
        self.publish();
        self.schedule_tick(me);
    }

    async fn perform(&self, action: Action) -> Option<Event> {
        match action {
            Action::Send(to, packet) => {
                let bytes = rmp_serde::to_vec(&packet).expect("packets encode");
                // Ignore send errors and losses: probes detect unreachable peers.
                let _ = self.socket.send_to(&bytes, to).await;
                None
            }
            Action::NewerManifest(number, from) => {
                let from = Source::Peer(from.to_string().into());
                let announced = FollowerEvent::Announced { number, from };
                let _ = self.config.tell(crate::config::HandleEvent(announced)).await;
                None
            }
            Action::Changed(r) => {
                log::info!("member: {} is {:?}.", r.node.id.name, r.health);
                None
            }
            Action::Load(load) => self.shared.load_table().merge_rumor(load).map(Event::Load),
        }
    }

    fn publish(&self) {
        let me = self.machine.me().clone();
        let mut nodes: Vec<Node> = self.machine.peers().map(|p| p.node.clone()).collect();
        nodes.push(me);
        let number = self.shared.applied.load().number;
        let members = Members {
            nodes,
            relays: self.machine.relays(),
            manifest_progress: self.machine.manifest_progress(number),
        };
        self.shared.members.store(Arc::new(members));
    }

    fn schedule_tick(&mut self, me: &ActorRef<Self>) {
        let at = self.machine.next_tick();
        if self.scheduled_tick.is_some_and(|t| t <= at) {
            return;
        }
        self.scheduled_tick = Some(at);
        let (clock, me) = (self.shared.clock, me.clone());
        tokio::spawn(async move {
            clock.sleep_until(at).await;
            let _ = me.tell(HandleEvent(Event::Tick)).await;
        });
    }
}

async fn receive(socket: Arc<UdpSocket>, me: ActorRef<Membership>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n, from): (usize, SocketAddr) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                // ICMP errors from unreachable peers surface here.
                log::debug!("member: receive: {e}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let Ok(packet) = rmp_serde::from_slice::<Packet>(&buffer[..n]) else {
            log::debug!("member: dropped a malformed packet from {from}.");
            continue;
        };
        if me.tell(HandleEvent(Event::Packet { from, packet })).await.is_err() {
            return;
        }
    }
}
