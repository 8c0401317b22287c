//! Choice of the engine that prefills a long prompt: asks the scheduler of the engine's failure
//! domain, and schedules for those services of which this node is the scheduler.
//!
//! Without a response in time a prompt goes to its home, as if there were no scheduler.

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

/// Minimum prompt tokens for which the scheduler is asked. Shorter prompts are read within a few
/// milliseconds, but may wait hundreds of milliseconds behind others.
const MIN_SCHEDULED_TOKENS: u64 = 500;
/// Timeout of a request to the scheduler, a few times a round trip between failure domains.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of the report that a prompt's prefill ended; the scheduler expires prompts without one.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a scheduler that did not respond is not asked.
const SCHEDULER_BACKOFF: Duration = Duration::from_millis(500);

/// A service, and a failure domain of its engines.
type Group = (Name, Name);

/// Schedulers on this node, and peers whose schedulers did not respond.
#[derive(Default)]
pub struct Schedulers {
    local: RefCell<HashMap<Group, Scheduler>>,
    unresponsive: PeerBackoff,
}

impl Schedulers {
    /// Places a prompt on an engine, as the scheduler of its service and failure domain.
    pub fn place(&self, node: &Node, ask: &PrefillAsk) -> PrefillAnswer {
        let now = node.now();
        let map = node.peers.roster(|r| r.map());
        let criteria = PickCriteria {
            service: &ask.service,
            domain: &ask.domain,
            map: &map,
            home_region: None,
            terms: Terms { allowed: &ask.allowed, side: ask.side, version: None },
            exclude: &ask.but,
            max_per_target: u32::MAX,
            home_weights: &[],
            cold_limit: node.cold_limit(&ask.service),
            // Only the nodes that own cold engines start requests there.
            cold_starts: ColdStarts::Avoid,
            may_repeat: true,
        };
        let home = Home { key: ask.home, shared_tokens: ask.shared };
        let order = node.fleet(|f| f.local_homes(criteria, home, now));
        let group = (ask.service.clone(), ask.domain.clone());
        let mut local = self.local.borrow_mut();
        // At the very first start, no engine has cached anything but what is placed from now on.
        let started_at = if node.settings().first_start { Time::ZERO } else { now };
        let scheduler = local.entry(group).or_insert_with(|| Scheduler::new(started_at));
        let placed = scheduler.place(ask, &order, now);
        let ahead = placed.as_ref().map_or(0, |p| p.tokens_ahead);
        PrefillAnswer { engine: placed.map(|p| p.engine), ahead }
    }

    /// Records that a prompt that this node placed has been read, or never will be.
    pub fn record_end(&self, end: PrefillEnd, now: Time) {
        let group = (end.service, end.domain);
        if let Some(scheduler) = self.local.borrow_mut().get_mut(&group) {
            match end.was_read {
                true => scheduler.finish_prompt(&end.engine, &end.attempt, now),
                false => scheduler.cancel_prompt(&end.engine, &end.attempt),
            }
        }
    }
}

/// Reports to the scheduler, when dropped, that the prompt has been read or never will be.
pub struct PromptGuard {
    node: Rc<Node>,
    /// Address of the scheduler; `None` if it is this node.
    scheduler: Option<SocketAddr>,
    end: PrefillEnd,
}

impl PromptGuard {
    /// Reports the prompt as read.
    pub fn mark_read(mut self) {
        self.end.was_read = true;
    }
}

impl Drop for PromptGuard {
    fn drop(&mut self) {
        let end = self.end.clone();
        match self.scheduler {
            None => self.node.schedulers.record_end(end, self.node.now()),
            Some(address) => {
                _ = tokio::task::spawn_local(report_end(self.node.clone(), address, end))
            }
        }
    }
}

async fn report_end(node: Rc<Node>, address: SocketAddr, end: PrefillEnd) {
    let result = peers::call::<_, ()>(&node, address, PREFILL_END, &end, END_TIMEOUT).await;
    if let Err(e) = result {
        log::debug!("scheduler: {e}");
    }
}

/// What the scheduler chose.
pub struct Scheduled {
    pub engine: TargetId,
    /// Prompt tokens queued ahead at the engine.
    pub tokens_ahead: u64,
    /// Held until the prompt has been read.
    pub prompt_guard: PromptGuard,
}

/// A prompt to be scheduled.
pub struct Prompt {
    /// Id of the attempt that it belongs to.
    pub attempt: Name,
    /// Regions in which it may be read.
    pub allowed: Allowed,
    /// Side of the rollout that may read it.
    pub side: Side,
    pub home: Home,
    /// Total tokens of the prompt.
    pub tokens: u64,
    /// Milliseconds until its first event is due.
    pub slack_ms: u64,
    /// Engines that must not be chosen.
    pub excluded: Vec<TargetId>,
}

/// Asks the scheduler for an engine in the failure domain of `first`, the prompt's home. `None` if
/// the prompt is short, no scheduler responds, or no engine is eligible.
pub async fn schedule(node: &Rc<Node>, first: &Target, prompt: Prompt) -> Option<Scheduled> {
    let Prompt { attempt, allowed, side, home, tokens, slack_ms, excluded } = prompt;
    let Home { key: home, shared_tokens: shared } = home;
    if tokens < MIN_SCHEDULED_TOKENS {
        return None;
    }
    let (service, domain) = (first.service.clone(), first.domain.clone());
    let scheduler = node.peers.roster(|r| r.scheduler(&service, &domain, node.now()))?;
    let ask = PrefillAsk {
        service,
        domain,
        attempt,
        allowed,
        side,
        home,
        shared,
        tokens,
        slack_ms,
        but: excluded,
    };
    let answer = match &scheduler {
        None => node.schedulers.place(node, &ask),
        Some(peer) => ask_peer(node, peer, &ask).await?,
    };
    let PrefillAsk { service, domain, attempt, .. } = ask;
    let engine = answer.engine?;
    let end = PrefillEnd { service, domain, attempt, engine: engine.clone(), was_read: false };
    let address = scheduler.map(|peer| peer.entry);
    let prompt_guard = PromptGuard { node: node.clone(), scheduler: address, end };
    Some(Scheduled { engine, tokens_ahead: answer.ahead, prompt_guard })
}

async fn ask_peer(node: &Rc<Node>, peer: &PeerNode, ask: &PrefillAsk) -> Option<PrefillAnswer> {
    if node.schedulers.unresponsive.is_backed_off(&peer.id, node.now()) {
        return None;
    }
    match peers::call(node, peer.entry, PREFILL, ask, SCHEDULER_TIMEOUT).await {
        Ok(answer) => Some(answer),
        Err(e) => {
            node.schedulers.unresponsive.record_failure(&peer.id, SCHEDULER_BACKOFF, node.now());
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
