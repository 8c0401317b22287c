//! Which engine of a failure domain reads a long prompt.
//!
//! A prompt goes to its home, the engine that most likely keeps its shared parts. Homes are
//! dealt out by a hash that knows no load, so some engine always has twice the usual work,
//! and no node alone sees it: each sends an engine a few prompts a minute. So the nodes ask
//! one of them, the scheduler, which knows what each engine of one service in one failure
//! domain has still to read.
//!
//! It is asked and told without a lease: two schedulers each see a part of the work, a lost
//! one is done without, and a prompt whose end is not told of is forgotten in time. Work is
//! counted in prompt tokens. How fast engines read is learned from the ends: a prompt whose
//! first event is in time at the engine that keeps its shared parts goes there, also when it
//! would be read sooner elsewhere, since that would be reading twice.

mod throughput;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::forward::{PrefillAsk, TargetId};
use model::{Name, Time};

use throughput::Throughput;

/// Engines of a home's order that are weighed against each other. Few, so that another
/// scheduler finds a home again; with a quarter of the engines reading, one in 250 prompts
/// finds all four at work.
const CANDIDATES: usize = 4;
/// Tokens that wait at an engine from which on all others are weighed too.
const OVERLOAD_TOKENS: u64 = 40_000;
/// What a token counts that is read although another engine keeps it: its reading is work
/// that nobody would have had.
const REREAD_FACTOR: f64 = 1.5;
/// Part of a prompt's slack that its reading may take by what is expected, so that it is in
/// time: what other engines do meanwhile is not known to the millisecond.
const SLACK_FRACTION: f64 = 0.6;
/// Time after which a prompt whose reading has not been told of is forgotten: the longest
/// take an engine a second or two.
const PROMPT_TTL: Duration = Duration::from_secs(4);
/// Time for which a new scheduler takes it that prompts are kept at their first home.
const WARMUP: Duration = Duration::from_secs(10);
/// Homes remembered; 11,000 workspaces in 6 failure domains, several prompts each.
const MAX_HOMES: usize = 16_384;

#[derive(Debug)]
struct PendingPrompt {
    tokens: u64,
    /// Tokens that were to be read before.
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
    /// Engine.
    pub engine: TargetId,
    /// Prompt tokens that it has to read before.
    pub tokens_ahead: u64,
    /// Whether it is expected to keep the prompt's shared parts.
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
    /// A scheduler that knows what was placed since `began`.
    pub fn new(started_at: Time) -> Self {
        Scheduler {
            started_at,
            pending: BTreeMap::new(),
            cached: HashMap::new(),
            throughput: Throughput::default(),
        }
    }

    /// Prompt tokens that an engine has still to read.
    pub fn queued_tokens(&self, engine: &TargetId) -> u64 {
        self.pending.get(engine).map_or(0, |r| r.values().map(|p| p.tokens).sum())
    }

    /// Chooses among engines in the order of the prompt's home.
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
        // The first of equals: all schedulers know the order.
        let engine = all.min_by_key(|e| self.cost(ask, e, holder.as_ref()))?.clone();
        let is_cached = holder.as_ref() == Some(&engine);
        Some(self.assign(ask, engine, is_cached, now))
    }

    /// Whether the first event is expected in time at the engine that keeps the shared parts.
    fn is_in_time(&self, ask: &PrefillAsk, engine: &TargetId) -> bool {
        let tokens = self.queued_tokens(engine) + ask.tokens.saturating_sub(ask.shared);
        let slack = Duration::from_millis(ask.slack_ms).mul_f64(SLACK_FRACTION);
        self.throughput.read_time(tokens).is_some_and(|time| time <= slack)
    }

    /// The engine that keeps the shared parts of a prompt, as far as is known.
    fn cache_holder(&self, ask: &PrefillAsk, order: &[TargetId], now: Time) -> Option<TargetId> {
        match self.cached.get(&ask.home) {
            Some(prefix) => Some(prefix.engine.clone()).filter(|e| order.contains(e)),
            None if now.since(self.started_at) < WARMUP => order.first().cloned(),
            None => None,
        }
    }

    /// Tokens until the prompt is read at an engine, those read again for the worse.
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

    /// Forgets the homes that were not used for the longest time.
    fn evict_half(&mut self) {
        let mut used: Vec<Time> = self.cached.values().map(|k| k.last_used).collect();
        let middle = used.len() / 2;
        let (_, middle, _) = used.select_nth_unstable(middle);
        let middle = *middle;
        self.cached.retain(|_, k| k.last_used > middle);
    }

    /// An engine has read a prompt.
    pub fn finish_prompt(&mut self, engine: &TargetId, attempt: &Name, now: Time) {
        if let Some(prompt) = self.remove(engine, attempt) {
            self.throughput
                .record(prompt.tokens_ahead + prompt.tokens, now.since(prompt.placed_at));
        }
    }

    /// An engine will not read a prompt any more.
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
