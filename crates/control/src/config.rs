//! Configuration actor: drives the [`Follower`] state machine and runs its fetches.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use decide::config::{Change, Follower, FollowerAction, FollowerEvent};
use decide::member::Event as MemberEvent;
use follow::Fetcher;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use model::Name;
use model::manifest::Delta;
use model::view::{Chunks, ChunksRequest, DeltaRequest};

use crate::membership::{self, Membership};
use crate::shared::{AppliedConfig, Shared};

/// Interval between checks for fetches that got no response.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Actor around [`Follower`].
pub struct Config {
    shared: Arc<Shared>,
    fetcher: Fetcher,
    machine: Follower,
    membership: Option<ActorRef<Membership>>,
}

impl Actor for Config {
    type Args = Arc<Shared>;
    type Error = Infallible;

    async fn on_start(shared: Arc<Shared>, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let fetcher = Fetcher::new(shared.client.clone(), Some(shared.store.clone()));
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                if me.tell(HandleEvent(FollowerEvent::Tick)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Config { shared, fetcher, machine: Follower::default(), membership: None })
    }
}

/// Passes an event to the state machine.
pub struct HandleEvent(pub FollowerEvent);

/// Sets the membership actor, which is notified of each applied manifest.
pub struct SetMembership(pub ActorRef<Membership>);

/// Requests the changes since a peer's manifest.
pub struct GetDelta(pub DeltaRequest);

/// Requests chunks by hash; the text of an unknown one is empty.
pub struct GetChunks(pub ChunksRequest);

/// Reply to [`GetDelta`].
#[derive(kameo::Reply)]
pub struct DeltaReply(pub Delta);

/// Reply to [`GetChunks`].
#[derive(kameo::Reply)]
pub struct ChunksReply(pub Chunks);

impl Message<SetMembership> for Config {
    type Reply = ();

    async fn handle(&mut self, m: SetMembership, _: &mut Context<Self, ()>) {
        self.membership = Some(m.0);
    }
}

impl Message<GetDelta> for Config {
    type Reply = DeltaReply;

    async fn handle(&mut self, g: GetDelta, _: &mut Context<Self, DeltaReply>) -> DeltaReply {
        DeltaReply(self.machine.delta(g.0.have))
    }
}

impl Message<GetChunks> for Config {
    type Reply = ChunksReply;

    async fn handle(&mut self, g: GetChunks, _: &mut Context<Self, ChunksReply>) -> ChunksReply {
        let text = |h: &Name| self.machine.chunk(h).cloned().unwrap_or_else(|| "".into());
        ChunksReply(Chunks { texts: g.0.hashes.iter().map(text).collect() })
    }
}

impl Message<HandleEvent> for Config {
    type Reply = ();

    async fn handle(&mut self, h: HandleEvent, ctx: &mut Context<Self, ()>) {
        for action in self.machine.handle_event(self.shared.clock.now(), h.0) {
            match action {
                FollowerAction::Applied(change) => self.apply_change(change).await,
                fetch => {
                    let (fetcher, me) = (self.fetcher.clone(), ctx.actor_ref().clone());
                    tokio::spawn(async move {
                        for event in fetcher.fetch(fetch).await {
                            let _ = me.tell(HandleEvent(event)).await;
                        }
                    });
                }
            }
        }
    }
}

impl Config {
    async fn apply_change(&mut self, change: Change) {
        let number = change.number;
        let mut set = self.shared.applied.load().set.clone();
        change.apply_to(&mut set);
        let targets = set.pools.values().flat_map(|p| &p.targets).map(|t| &t.name);
        self.shared.load_table().set_targets(targets);
        self.shared.applied.store(Arc::new(AppliedConfig { number, set }));
        log::info!("config: applied manifest {number}.");
        if let Some(m) = &self.membership {
            let _ = m.tell(membership::HandleEvent(MemberEvent::Applied(number))).await;
        }
    }
}
