//! Which engine reads a long prompt: asks the scheduler of the engine's failure domain, and
//! schedules those services of which this node is the scheduler.
//!
//! Without an answer in time a prompt goes to its home, as if there were no scheduler.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use decide::fleet::{ColdStarts, Home, PickCriteria, Terms};
use decide::prefill::Scheduler;
use model::forward::{Allowed, PrefillAnswer, PrefillAsk, PrefillEnd, Side, Target, TargetId};
use model::member::Node as PeerNode;
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, PREFILL, PREFILL_END, PeerBackoff};

/// Prompt tokens from which on the scheduler is asked. Fewer are read in some milliseconds,
/// but may wait hundreds of them behind others.
const LONG: u64 = 500;
/// Time for the scheduler's answer: a few times what it takes between failure domains.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for the news of an end; what is not told of is forgotten there.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a scheduler that did not answer is done without.
const REST: Duration = Duration::from_millis(500);

/// A service and a failure domain of its engines.
type Group = (Name, Name);

/// Schedulers at this node, and those elsewhere that did not answer.
#[derive(Default)]
pub struct Schedulers {
    own: RefCell<HashMap<Group, Scheduler>>,
    resting: PeerBackoff,
}

impl Schedulers {
    /// Chooses an engine as the scheduler.
    pub fn place(&self, node: &Node, ask: &PrefillAsk) -> PrefillAnswer {
        let now = node.now();
        let map = node.peers.roster(|r| r.map());
        let wanted = PickCriteria {
            service: &ask.service,
            domain: &ask.domain,
            map: &map,
            home_region: None,
            terms: Terms { allowed: &ask.allowed, side: ask.side },
            exclude: &ask.but,
            max_per_target: u32::MAX,
            home_weights: &[],
            cold_limit: node.cold_limit(&ask.service),
            // Cold engines are left to the nodes that own them.
            cold_starts: ColdStarts::Avoid,
            may_repeat: true,
        };
        let home = Home { key: ask.home, shared_tokens: ask.shared };
        let order = node.fleet(|f| f.local_homes(wanted, home, now));
        let group = (ask.service.clone(), ask.domain.clone());
        let mut own = self.own.borrow_mut();
        // At the first start of all no engine keeps anything that was not placed since.
        let began = if node.settings().first_start { Time::ZERO } else { now };
        let scheduler = own.entry(group).or_insert_with(|| Scheduler::new(began));
        let placed = scheduler.place(ask, &order, now);
        let ahead = placed.as_ref().map_or(0, |p| p.tokens_ahead);
        PrefillAnswer { engine: placed.map(|p| p.engine), ahead }
    }

    /// A prompt that this node placed has been read, or will not be.
    pub fn end(&self, end: PrefillEnd, now: Time) {
        let group = (end.service, end.domain);
        if let Some(scheduler) = self.own.borrow_mut().get_mut(&group) {
            match end.was_read {
                true => scheduler.finish_prompt(&end.engine, &end.attempt, now),
                false => scheduler.cancel_prompt(&end.engine, &end.attempt),
            }
        }
    }
}

/// Tells the scheduler, once it goes, that the prompt has been read or will not be.
pub struct Ticket {
    node: Rc<Node>,
    /// Where the scheduler is; `None` is this node.
    at: Option<SocketAddr>,
    end: PrefillEnd,
}

impl Ticket {
    /// The prompt has been read.
    pub fn read(mut self) {
        self.end.was_read = true;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let end = self.end.clone();
        match self.at {
            None => self.node.schedulers.end(end, self.node.now()),
            Some(at) => _ = tokio::task::spawn_local(tell(self.node.clone(), at, end)),
        }
    }
}

async fn tell(node: Rc<Node>, at: SocketAddr, end: PrefillEnd) {
    let told = peers::call::<_, ()>(&node, at, PREFILL_END, &end, END_TIMEOUT).await;
    if let Err(e) = told {
        log::debug!("scheduler: {e}");
    }
}

/// What the scheduler chose.
pub struct Scheduled {
    /// Engine.
    pub engine: TargetId,
    /// Prompt tokens that it has to read before.
    pub ahead: u64,
    /// Held until the prompt has been read.
    pub ticket: Ticket,
}

/// A prompt to be read.
pub struct Prompt {
    /// Attempt that it belongs to.
    pub attempt: Name,
    /// Regions in which it may be read.
    pub allowed: Allowed,
    /// Version that it goes to.
    pub side: Side,
    /// Its home.
    pub home: Home,
    /// Tokens of all of it.
    pub tokens: u64,
    /// Milliseconds until its first event is due.
    pub slack_ms: u64,
    /// Engines that it was sent to before.
    pub but: Vec<TargetId>,
}

/// Asks which engine near `first`, the prompt's home, is to read it. `None` if the prompt is
/// short, no scheduler answers, or it knows no engine that may.
pub async fn schedule(node: &Rc<Node>, first: &Target, prompt: Prompt) -> Option<Scheduled> {
    let Prompt { attempt, allowed, side, home, tokens, slack_ms, but } = prompt;
    let Home { key: home, shared_tokens: shared } = home;
    if tokens < LONG {
        return None;
    }
    let (service, domain) = (first.service.clone(), first.domain.clone());
    let scheduler = node.peers.roster(|r| r.scheduler(&service, &domain, node.now()))?;
    let ask =
        PrefillAsk { service, domain, attempt, allowed, side, home, shared, tokens, slack_ms, but };
    let answer = match &scheduler {
        None => node.schedulers.place(node, &ask),
        Some(peer) => ask_peer(node, peer, &ask).await?,
    };
    let PrefillAsk { service, domain, attempt, .. } = ask;
    let engine = answer.engine?;
    let end = PrefillEnd { service, domain, attempt, engine: engine.clone(), was_read: false };
    let at = scheduler.map(|peer| peer.entry);
    let ticket = Ticket { node: node.clone(), at, end };
    Some(Scheduled { engine, ahead: answer.ahead, ticket })
}

async fn ask_peer(node: &Rc<Node>, peer: &PeerNode, ask: &PrefillAsk) -> Option<PrefillAnswer> {
    if node.schedulers.resting.is_backed_off(&peer.id, node.now()) {
        return None;
    }
    match peers::call(node, peer.entry, PREFILL, ask, ASK_TIMEOUT).await {
        Ok(answer) => Some(answer),
        Err(e) => {
            node.schedulers.resting.record_failure(&peer.id, REST, node.now());
            Event::Scheduler {
                service: &ask.service,
                domain: &ask.domain,
                scheduler: &peer.id.name,
                why: &e.to_string(),
            }
            .emit();
            None
        }
    }
}
