//! Claims of idempotency keys. A claim is forwarded to the home node of its shard, which commits
//! claims in batches, or committed here if the home node does not respond. Both are safe: the
//! same request wins whichever node writes its claim.

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

/// Timeout for the home node, after which this node commits the claim itself.
const HOME_TIMEOUT: Duration = Duration::from_millis(400);

/// Claims keys through the home node or this node's commit actor.
#[derive(Debug, Clone)]
pub struct ClaimClient {
    actor: Option<ActorRef<CommitActor>>,
}

impl ClaimClient {
    /// Creates a client over a store; without a store every claim fails.
    pub fn new(store: Option<Arc<BudgetedStore>>, clock: Clock) -> Self {
        let actor = store.map(|store| CommitActor::spawn(CommitArgs { store, clock }));
        ClaimClient { actor }
    }

    /// Claims at the shard's home node, or here if that fails.
    pub async fn claim(&self, core: &Core, claim: ClaimRequest, expires: Time) -> ClaimOutcome {
        let object = claim.key.claim_object();
        let members = core.members.load();
        let home = hash::rendezvous(&object, members.iter().map(|m| &m.id.name), 1);
        let home = home.first().filter(|h| **h != core.settings.name);
        if let Some(node) = home.and_then(|h| members.iter().find(|m| m.id.name == *h)) {
            let peer = node.entry.to_string();
            let call = core.client.rmp::<_, ClaimOutcome>(&peer, path::CLAIM, &claim, HOME_TIMEOUT);
            match call.await {
                Ok(outcome) if outcome != ClaimOutcome::Failed => return outcome,
                Ok(_) => {}
                Err(e) => log::debug!("claim: home node did not respond: {e}"),
            }
        }
        self.commit(claim, expires).await
    }

    /// Claims by a write of this node.
    pub async fn commit(&self, claim: ClaimRequest, expires: Time) -> ClaimOutcome {
        let Some(actor) = &self.actor else {
            return ClaimOutcome::Failed;
        };
        let (reply, outcome) = oneshot::channel();
        if actor.tell(CommitRequest { claim, expires, reply }).await.is_err() {
            return ClaimOutcome::Failed;
        }
        outcome.await.unwrap_or(ClaimOutcome::Doubt)
    }
}

/// Arguments of the commit actor.
pub struct CommitArgs {
    store: Arc<BudgetedStore>,
    clock: Clock,
}

struct CommitRequest {
    claim: ClaimRequest,
    expires: Time,
    reply: oneshot::Sender<ClaimOutcome>,
}

struct HandleEvent(Event);

/// Actor around [`Committer`].
pub struct CommitActor {
    store: Arc<BudgetedStore>,
    clock: Clock,
    committer: Committer,
    replies: HashMap<u64, oneshot::Sender<ClaimOutcome>>,
    last_ticket: u64,
    scheduled_tick: Option<Time>,
}

impl Actor for CommitActor {
    type Args = CommitArgs;
    type Error = Infallible;

    async fn on_start(args: CommitArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(CommitActor {
            store: args.store,
            clock: args.clock,
            committer: Committer::default(),
            replies: HashMap::new(),
            last_ticket: 0,
            scheduled_tick: None,
        })
    }
}

impl Message<CommitRequest> for CommitActor {
    type Reply = ();

    async fn handle(&mut self, w: CommitRequest, ctx: &mut Context<Self, ()>) {
        self.last_ticket += 1;
        self.replies.insert(self.last_ticket, w.reply);
        let event = Event::Claim {
            ask: w.claim,
            ticket: self.last_ticket,
            unix_ms: unix_ms(),
            expires: w.expires,
        };
        self.handle_event(event, ctx.actor_ref());
    }
}

impl Message<HandleEvent> for CommitActor {
    type Reply = ();

    async fn handle(&mut self, h: HandleEvent, ctx: &mut Context<Self, ()>) {
        if h.0 == Event::Tick {
            self.scheduled_tick = None;
        }
        self.handle_event(h.0, ctx.actor_ref());
    }
}

impl CommitActor {
    fn handle_event(&mut self, event: Event, me: &ActorRef<Self>) {
        for action in self.committer.handle_event(self.clock.now(), event) {
            if let Action::Answer { ticket, end: outcome } = action {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(outcome);
                }
                continue;
            }
            let (store, me) = (self.store.clone(), me.clone());
            tokio::spawn(async move {
                let event = perform(&store, action).await;
                let _ = me.tell(HandleEvent(event)).await;
            });
        }
        self.schedule_tick(me);
    }

    fn schedule_tick(&mut self, me: &ActorRef<Self>) {
        let Some(at) = self.committer.next_tick() else {
            return;
        };
        if self.scheduled_tick.is_some_and(|t| t <= at) {
            return;
        }
        self.scheduled_tick = Some(at);
        let (clock, me) = (self.clock, me.clone());
        tokio::spawn(async move {
            clock.sleep_until(at).await;
            let _ = me.tell(HandleEvent(Event::Tick)).await;
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
            let outcome = match store.put(kind::CLAIM, &object, expect, Some(value)).await {
                Ok(version) => WriteOutcome::Done(version),
                Err(e) => match e.kind {
                    ErrorKind::Conflict => WriteOutcome::Conflict,
                    ErrorKind::Lost(_) => WriteOutcome::Lost,
                    _ => WriteOutcome::NotSent,
                },
            };
            Event::Written { object, end: outcome }
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
                    log::error!("claim: could not decode object {object}: {e}");
                    ReadOutcome::Failed
                }
            },
            None if s.version == 0 => ReadOutcome::NeverWritten,
            None => ReadOutcome::Deleted,
        },
    }
}
