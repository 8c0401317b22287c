//! Chooses the engine of a failure domain that prefills a long prompt.
//!
//! A prompt goes to its home, the engine most likely to have its shared prefix cached. Homes are
//! assigned by a hash that ignores load, so some engine always has twice the average work. No node
//! sees this on its own, since each sends an engine only a few prompts a minute. So nodes ask one
//! of them, the scheduler, which tracks the tokens queued at each engine of one service in one
//! failure domain.
//!
//! The scheduler needs no lease: two schedulers each see part of the work, nodes can do without one
//! that is lost, and a prompt whose end is not reported expires. Work is counted in prompt tokens,
//! and engine throughput is learned from finished prompts. A prompt whose first event is in time at
//! the engine with its prefix goes there even if another engine would be sooner, which avoids
//! reading the prefix twice.

mod throughput;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::forward::{PrefillAsk, TargetId};
use model::{Name, Time};

use throughput::Throughput;

/// Number of engines compared in the order of a home. It is small so that another scheduler finds a
/// home again; with a quarter of the engines busy, one prompt in 250 finds all four busy.
const CANDIDATES: usize = 4;
/// Queued tokens at all candidates from which the other engines are compared too.
const OVERLOAD_TOKENS: u64 = 40_000;
/// Cost factor for tokens read although another engine has them cached, since that is additional
/// work.
const REREAD_FACTOR: f64 = 1.5;
/// Fraction of a prompt's slack that its expected prefill may take to count as in time, since the
/// other load of an engine is not known exactly.
const SLACK_FRACTION: f64 = 0.6;
/// Time after which a prompt without a reported end is dropped; the longest take an engine one or
/// two seconds.
const PROMPT_TTL: Duration = Duration::from_secs(4);
/// Time for which a new scheduler assumes that prefixes are cached at their first home.
const WARMUP: Duration = Duration::from_secs(10);
/// Maximum number of remembered homes, for 11,000 workspaces in 6 failure domains with several
/// prompts each.
const MAX_HOMES: usize = 16_384;

#[derive(Debug)]
struct PendingPrompt {
    tokens: u64,
    /// Tokens queued ahead at the engine.
    tokens_ahead: u64,
    placed_at: Time,
}

#[derive(Debug)]
struct CachedPrefix {
    engine: TargetId,
    last_used: Time,
}

/// The engine chosen for a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Engine that prefills the prompt.
    pub engine: TargetId,
    /// Prompt tokens queued ahead at the engine.
    pub tokens_ahead: u64,
    /// Whether the prompt's shared prefix is expected to be cached there.
    pub is_cached: bool,
}

/// Schedules the prompts of one service over the engines of one failure domain.
#[derive(Debug)]
pub struct Scheduler {
    started_at: Time,
    pending: BTreeMap<TargetId, HashMap<Name, PendingPrompt>>,
    cached: HashMap<u64, CachedPrefix>,
    throughput: Throughput,
}

impl Scheduler {
    /// Creates a scheduler that knows the placements since `started_at`.
    pub fn new(started_at: Time) -> Self {
        Scheduler {
            started_at,
            pending: BTreeMap::new(),
            cached: HashMap::new(),
            throughput: Throughput::default(),
        }
    }

    /// Prompt tokens queued at an engine.
    pub fn queued_tokens(&self, engine: &TargetId) -> u64 {
        self.pending.get(engine).map_or(0, |r| r.values().map(|p| p.tokens).sum())
    }

    /// Places a prompt on one of the engines, given in the order of its home.
    pub fn place(&mut self, ask: &PrefillAsk, order: &[TargetId], now: Time) -> Option<Placement> {
        self.expire_prompts(now);
        let holder = self.cache_holder(ask, order, now);
        if let Some(engine) = holder.as_ref().filter(|k| self.is_in_time(ask, k)) {
            return Some(self.assign(ask, engine.clone(), true, now));
        }
        let first = &order[..order.len().min(CANDIDATES)];
        let is_below_limit = |e: &TargetId| self.queued_tokens(e) < OVERLOAD_TOKENS;
        let candidates = if first.iter().any(is_below_limit) { first } else { order };
        let all = candidates.iter().chain(holder.as_ref().filter(|k| !candidates.contains(k)));
        // Ties go to the first engine, since all schedulers know the order.
        let engine = all.min_by_key(|e| self.cost(ask, e, holder.as_ref()))?.clone();
        let is_cached = holder.as_ref() == Some(&engine);
        Some(self.assign(ask, engine, is_cached, now))
    }

    /// Whether the first event is expected in time at the engine with the shared prefix.
    fn is_in_time(&self, ask: &PrefillAsk, engine: &TargetId) -> bool {
        let tokens = self.queued_tokens(engine) + ask.tokens.saturating_sub(ask.shared);
        let slack = Duration::from_millis(ask.slack_ms).mul_f64(SLACK_FRACTION);
        self.throughput.read_time(tokens).is_some_and(|time| time <= slack)
    }

    /// The engine that has the shared prefix of a prompt cached, if known.
    fn cache_holder(&self, ask: &PrefillAsk, order: &[TargetId], now: Time) -> Option<TargetId> {
        match self.cached.get(&ask.home) {
            Some(prefix) => Some(prefix.engine.clone()).filter(|e| order.contains(e)),
            None if now.since(self.started_at) < WARMUP => order.first().cloned(),
            None => None,
        }
    }

    /// Cost in tokens until the prompt is read; tokens read again are weighted higher.
    fn cost(&self, ask: &PrefillAsk, engine: &TargetId, holder: Option<&TargetId>) -> u64 {
        let shared = match holder {
            Some(holder) if holder == engine => 0,
            Some(_) => (ask.shared as f64 * REREAD_FACTOR) as u64,
            None => ask.shared,
        };
        self.queued_tokens(engine) + shared
    }

    fn assign(
        &mut self,
        ask: &PrefillAsk,
        engine: TargetId,
        is_cached: bool,
        now: Time,
    ) -> Placement {
        let shared = if is_cached { ask.shared } else { 0 };
        let tokens_ahead = self.queued_tokens(&engine);
        let prompt = PendingPrompt {
            tokens: ask.tokens.saturating_sub(shared),
            tokens_ahead,
            placed_at: now,
        };
        let at_engine = self.pending.entry(engine.clone()).or_default();
        at_engine.insert(ask.attempt.clone(), prompt);
        self.cached.insert(ask.home, CachedPrefix { engine: engine.clone(), last_used: now });
        if self.cached.len() > MAX_HOMES {
            self.evict_half();
        }
        Placement { engine, tokens_ahead, is_cached }
    }

    /// Evicts the least recently used half of the homes.
    fn evict_half(&mut self) {
        let mut used: Vec<Time> = self.cached.values().map(|k| k.last_used).collect();
        let middle = used.len() / 2;
        let (_, middle, _) = used.select_nth_unstable(middle);
        let middle = *middle;
        self.cached.retain(|_, k| k.last_used > middle);
    }

    /// Records that an engine has read a prompt.
    pub fn finish_prompt(&mut self, engine: &TargetId, attempt: &Name, now: Time) {
        if let Some(prompt) = self.remove(engine, attempt) {
            self.throughput
                .record(prompt.tokens_ahead + prompt.tokens, now.since(prompt.placed_at));
        }
    }

    /// Records that an engine will not read a prompt.
    pub fn cancel_prompt(&mut self, engine: &TargetId, attempt: &Name) {
        self.remove(engine, attempt);
    }

    fn remove(&mut self, engine: &TargetId, attempt: &Name) -> Option<PendingPrompt> {
        self.pending.get_mut(engine)?.remove(attempt)
    }

    fn expire_prompts(&mut self, now: Time) {
        for at_engine in self.pending.values_mut() {
            at_engine.retain(|_, r| now.since(r.placed_at) < PROMPT_TTL);
        }
        self.pending.retain(|_, at_engine| !at_engine.is_empty());
    }
}
