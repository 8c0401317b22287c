//! Lease actor: drives the [`LeaseClient`] state machine of one lease and its store calls.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use decide::lease::{Action, Event, LeaseClient};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use model::store::kind;
use model::{Name, Time};
use store::{ErrorKind, Reason, Store};
use tokio::sync::watch;

use crate::shared::Shared;

/// Interval at which a node that is not a relay checks whether it became one.
const NON_RELAY_INTERVAL: Duration = Duration::from_millis(500);

/// Arguments of the lease actor.
pub struct Args {
    pub shared: Arc<Shared>,
    /// Name of the lease object.
    pub name: Name,
    /// Holder id, unique to this start of the node.
    pub holder: Name,
    /// Receives each acquired epoch, and `None` when the lease is lost.
    pub epoch: watch::Sender<Option<u64>>,
}

/// Actor around [`LeaseClient`].
pub struct Lease {
    shared: Arc<Shared>,
    name: Name,
    machine: LeaseClient,
    epoch: watch::Sender<Option<u64>>,
    scheduled_tick: Option<Time>,
}

impl Actor for Lease {
    type Args = Args;
    type Error = Infallible;

    async fn on_start(args: Args, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let period = Duration::from_millis(args.shared.settings.lease_period);
        let machine = LeaseClient::new(args.holder, period, rand::random());
        let mut actor = Lease {
            shared: args.shared,
            name: args.name,
            machine,
            epoch: args.epoch,
            scheduled_tick: None,
        };
        actor.schedule_tick(&me);
        Ok(actor)
    }
}

struct HandleEvent(Event);

/// Requests the epoch, if the lease stays valid for at least this long.
pub struct GetEpoch(pub Duration);

impl Message<GetEpoch> for Lease {
    type Reply = Option<u64>;

    async fn handle(&mut self, g: GetEpoch, _: &mut Context<Self, Option<u64>>) -> Option<u64> {
        self.machine.epoch(self.shared.clock.now(), g.0)
    }
}

impl Message<HandleEvent> for Lease {
    type Reply = ();

    async fn handle(&mut self, h: HandleEvent, ctx: &mut Context<Self, ()>) {
        let me = ctx.actor_ref().clone();
        if h.0 == Event::Tick {
            self.scheduled_tick = None;
            let held = self.epoch.borrow().is_some();
            if !held && !self.shared.is_relay() {
                return self.schedule_idle_tick(&me);
            }
        }
        for action in self.machine.handle_event(self.shared.clock.now(), h.0) {
            self.start_action(action, &me);
        }
        self.schedule_tick(&me);
    }
}

impl Lease {
    fn start_action(&mut self, action: Action, me: &ActorRef<Self>) {
        match action {
            Action::Acquired(epoch) => {
                log::info!("lease: acquired {} with epoch {epoch}.", self.name);
                self.epoch.send_replace(Some(epoch));
            }
            Action::Lost => {
                log::warn!("lease: lost {}.", self.name);
                self.epoch.send_replace(None);
            }
            call => {
                let (shared, name, me) = (self.shared.clone(), self.name.clone(), me.clone());
                tokio::spawn(async move {
                    let event = perform(&shared, &name, call).await;
                    let _ = me.tell(HandleEvent(event)).await;
                });
            }
        }
    }

    fn schedule_idle_tick(&mut self, me: &ActorRef<Self>) {
        let at = self.shared.clock.now() + NON_RELAY_INTERVAL;
        self.schedule_tick_at(at, me);
    }

    fn schedule_tick(&mut self, me: &ActorRef<Self>) {
        let at = self.machine.next_tick();
        if self.scheduled_tick.is_none_or(|t| t > at) {
            self.schedule_tick_at(at, me);
        }
    }

    fn schedule_tick_at(&mut self, at: Time, me: &ActorRef<Self>) {
        self.scheduled_tick = Some(at);
        let (clock, me) = (self.shared.clock, me.clone());
        tokio::spawn(async move {
            // The machine stays due while a call is in flight; the delay avoids a busy loop.
            tokio::time::sleep(Duration::from_millis(20)).await;
            clock.sleep_until(at).await;
            let _ = me.tell(HandleEvent(Event::Tick)).await;
        });
    }
}

async fn perform(shared: &Shared, name: &str, action: Action) -> Event {
    let store = shared.store.for_reason(Reason::Lease);
    match action {
        Action::Read => match store.get(kind::LEASE, name).await {
            Ok(s) => {
                let lease = s.value.and_then(|v| serde_json::from_value(v).ok());
                Event::Read { version: s.version, lease }
            }
            Err(_) => Event::ReadFailed,
        },
        Action::Write { expect, lease } => {
            let value = serde_json::to_value(&lease).expect("leases encode");
            match store.put(kind::LEASE, name, expect, Some(value)).await {
                Ok(version) => Event::Written(version),
                Err(e) if e.kind == ErrorKind::Conflict => Event::Conflict,
                Err(e) => {
                    log::debug!("lease: {e}");
                    Event::WriteLost
                }
            }
        }
        Action::Acquired(_) | Action::Lost => Event::Tick,
    }
}
