//! Claims of keys: forwarded to the shard's home node, which commits many at
//! once; committed here when the home does not answer. Both are safe, because
//! the same request wins whoever writes its claim.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use decide::claim::{Action, Committer, Event, ReadOutcome, WriteOutcome};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use model::claim::{ClaimOutcome, ClaimRequest, Claims, FLOOR, Floor};
use model::store::kind;
use model::view::path;
use model::{Name, Time, hash};
use store::{BudgetedStore, ErrorKind, Reason, Store};
use tokio::sync::oneshot;
use util::clock::{Clock, unix_ms};

use crate::node::Core;

/// Longest wait for the home node before this node commits by itself.
const HOME_WAIT: Duration = Duration::from_millis(400);

/// Front of the claims.
#[derive(Debug, Clone)]
pub struct ClaimDesk {
    keeper: Option<ActorRef<Keeper>>,
}

impl ClaimDesk {
    /// A desk over a store; without one every claim fails.
    pub fn new(store: Option<Arc<BudgetedStore>>, clock: Clock) -> Self {
        let keeper = store.map(|store| Keeper::spawn(KeeperArgs { store, clock }));
        ClaimDesk { keeper }
    }

    /// Claims at the shard's home node, else here.
    pub async fn claim(&self, core: &Core, ask: ClaimRequest, until: Time) -> ClaimOutcome {
        let object = ask.key.claim_object();
        let members = core.members.load();
        let home = hash::rendezvous(&object, members.iter().map(|m| &m.id.name), 1);
        let home = home.first().filter(|h| **h != core.settings.name);
        if let Some(node) = home.and_then(|h| members.iter().find(|m| m.id.name == *h)) {
            let peer = node.entry.to_string();
            let call = core.client.rmp::<_, ClaimOutcome>(&peer, path::CLAIM, &ask, HOME_WAIT);
            match call.await {
                Ok(end) if end != ClaimOutcome::Failed => return end,
                Ok(_) => {}
                Err(e) => log::debug!("claim: home did not answer: {e}"),
            }
        }
        self.commit(ask, until).await
    }

    /// Claims by this node's own write.
    pub async fn commit(&self, ask: ClaimRequest, until: Time) -> ClaimOutcome {
        let Some(keeper) = &self.keeper else {
            return ClaimOutcome::Failed;
        };
        let (answer, end) = oneshot::channel();
        if keeper.tell(Want { ask, until, answer }).await.is_err() {
            return ClaimOutcome::Failed;
        }
        end.await.unwrap_or(ClaimOutcome::Doubt)
    }
}

/// What the keeper starts with.
pub struct KeeperArgs {
    store: Arc<BudgetedStore>,
    clock: Clock,
}

struct Want {
    ask: ClaimRequest,
    until: Time,
    answer: oneshot::Sender<ClaimOutcome>,
}

struct Happened(Event);

/// Wraps the [`Committer`].
pub struct Keeper {
    store: Arc<BudgetedStore>,
    clock: Clock,
    committer: Committer,
    answers: HashMap<u64, oneshot::Sender<ClaimOutcome>>,
    ticket: u64,
    tick: Option<Time>,
}

impl Actor for Keeper {
    type Args = KeeperArgs;
    type Error = Infallible;

    async fn on_start(args: KeeperArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Keeper {
            store: args.store,
            clock: args.clock,
            committer: Committer::default(),
            answers: HashMap::new(),
            ticket: 0,
            tick: None,
        })
    }
}

impl Message<Want> for Keeper {
    type Reply = ();

    async fn handle(&mut self, w: Want, ctx: &mut Context<Self, ()>) {
        self.ticket += 1;
        self.answers.insert(self.ticket, w.answer);
        let event =
            Event::Claim { ask: w.ask, ticket: self.ticket, unix_ms: unix_ms(), expires: w.until };
        self.feed(event, ctx.actor_ref());
    }
}

impl Message<Happened> for Keeper {
    type Reply = ();

    async fn handle(&mut self, h: Happened, ctx: &mut Context<Self, ()>) {
        if h.0 == Event::Tick {
            self.tick = None;
        }
        self.feed(h.0, ctx.actor_ref());
    }
}

impl Keeper {
    fn feed(&mut self, event: Event, me: &ActorRef<Self>) {
        for action in self.committer.handle_event(self.clock.now(), event) {
            if let Action::Answer { ticket, end } = action {
                if let Some(answer) = self.answers.remove(&ticket) {
                    let _ = answer.send(end);
                }
                continue;
            }
            let (store, me) = (self.store.clone(), me.clone());
            tokio::spawn(async move {
                let event = perform(&store, action).await;
                let _ = me.tell(Happened(event)).await;
            });
        }
        self.wake(me);
    }

    fn wake(&mut self, me: &ActorRef<Self>) {
        let Some(at) = self.committer.next_tick() else {
            return;
        };
        if self.tick.is_some_and(|t| t <= at) {
            return;
        }
        self.tick = Some(at);
        let (clock, me) = (self.clock, me.clone());
        tokio::spawn(async move {
            clock.sleep_until(at).await;
            let _ = me.tell(Happened(Event::Tick)).await;
        });
    }
}

async fn perform(store: &BudgetedStore, action: Action) -> Event {
    let store = store.for_reason(Reason::Claim);
    match action {
        Action::Read(object) => {
            let found = read(&store, &object).await;
            Event::Read { object, found }
        }
        Action::ReadFloor => {
            let stored = store.get(kind::CLAIM, FLOOR).await.ok();
            Event::Floor(stored.map(|s| {
                let floor = s.value.and_then(|v| serde_json::from_value::<Floor>(v).ok());
                floor.unwrap_or_default().bucket
            }))
        }
        Action::Write { object, expect, claims } => {
            let value = serde_json::to_value(&claims).expect("claims encode");
            let end = match store.put(kind::CLAIM, &object, expect, Some(value)).await {
                Ok(version) => WriteOutcome::Done(version),
                Err(e) => match e.kind {
                    ErrorKind::Conflict => WriteOutcome::Conflict,
                    ErrorKind::Lost(_) => WriteOutcome::Lost,
                    _ => WriteOutcome::NotSent,
                },
            };
            Event::Written { object, end }
        }
        Action::Answer { .. } => Event::Tick,
    }
}

async fn read(store: &impl Store, object: &Name) -> ReadOutcome {
    match store.get(kind::CLAIM, object).await {
        Err(_) => ReadOutcome::Failed,
        Ok(s) => match s.value {
            Some(v) => match serde_json::from_value::<Claims>(v) {
                Ok(claims) => ReadOutcome::Found { version: s.version, claims },
                Err(e) => {
                    log::error!("claim: object {object} cannot be read: {e}");
                    ReadOutcome::Failed
                }
            },
            None if s.version == 0 => ReadOutcome::NeverWritten,
            None => ReadOutcome::Deleted,
        },
    }
}
