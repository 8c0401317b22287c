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

mod pace;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::forward::{PrefillAsk, TargetId};
use model::{Name, Time};

use pace::Pace;

/// Engines of a home's order that are weighed against each other. Few, so that another
/// scheduler finds a home again; with a quarter of the engines reading, one in 250 prompts
/// finds all four at work.
const WEIGHED: usize = 4;
/// Tokens that wait at an engine from which on all others are weighed too.
const OVERLOADED: u64 = 40_000;
/// What a token counts that is read although another engine keeps it: its reading is work
/// that nobody would have had.
const READ_AGAIN: f64 = 1.5;
/// Part of a prompt's slack that its reading may take by what is expected, so that it is in
/// time: what other engines do meanwhile is not known to the millisecond.
const SLACK_USED: f64 = 0.6;
/// Time after which a prompt whose reading has not been told of is forgotten: the longest
/// take an engine a second or two.
const FORGOTTEN: Duration = Duration::from_secs(4);
/// Time for which a new scheduler takes it that prompts are kept at their first home.
const NEW: Duration = Duration::from_secs(10);
/// Homes remembered; 11,000 workspaces in 6 failure domains, several prompts each.
const HOMES: usize = 16_384;

#[derive(Debug)]
struct Reading {
    tokens: u64,
    /// Tokens that were to be read before.
    ahead: u64,
    since: Time,
}

#[derive(Debug)]
struct Kept {
    engine: TargetId,
    used: Time,
}

/// The engine chosen for a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// Engine.
    pub engine: TargetId,
    /// Prompt tokens that it has to read before.
    pub ahead: u64,
    /// Whether it is expected to keep the prompt's shared parts.
    pub kept: bool,
}

/// Schedules the prompts of one service over the engines of one failure domain.
#[derive(Debug)]
pub struct Scheduler {
    began: Time,
    reading: BTreeMap<TargetId, HashMap<Name, Reading>>,
    kept: HashMap<u64, Kept>,
    pace: Pace,
}

impl Scheduler {
    /// A scheduler that knows what was placed since `began`.
    pub fn new(began: Time) -> Self {
        Scheduler { began, reading: BTreeMap::new(), kept: HashMap::new(), pace: Pace::default() }
    }

    /// Prompt tokens that an engine has still to read.
    pub fn waiting(&self, engine: &TargetId) -> u64 {
        self.reading.get(engine).map_or(0, |r| r.values().map(|p| p.tokens).sum())
    }

    /// Chooses among engines in the order of the prompt's home.
    pub fn place(&mut self, ask: &PrefillAsk, order: &[TargetId], now: Time) -> Option<Placed> {
        self.forget(now);
        let keeps = self.keeper(ask, order, now);
        if let Some(keeper) = keeps.as_ref().filter(|k| self.is_in_time(ask, k)) {
            return Some(self.note(ask, keeper.clone(), true, now));
        }
        let few = &order[..order.len().min(WEIGHED)];
        let is_free = |e: &TargetId| self.waiting(e) < OVERLOADED;
        let weighed = if few.iter().any(is_free) { few } else { order };
        let all = weighed.iter().chain(keeps.as_ref().filter(|k| !weighed.contains(k)));
        // The first of equals: all schedulers know the order.
        let engine = all.min_by_key(|e| self.cost(ask, e, keeps.as_ref()))?.clone();
        let kept = keeps.as_ref() == Some(&engine);
        Some(self.note(ask, engine, kept, now))
    }

    /// Whether the first event is expected in time at the engine that keeps the shared parts.
    fn is_in_time(&self, ask: &PrefillAsk, keeper: &TargetId) -> bool {
        let tokens = self.waiting(keeper) + ask.tokens.saturating_sub(ask.shared);
        let slack = Duration::from_millis(ask.slack_ms).mul_f64(SLACK_USED);
        self.pace.time_of(tokens).is_some_and(|time| time <= slack)
    }

    /// The engine that keeps the shared parts of a prompt, as far as is known.
    fn keeper(&self, ask: &PrefillAsk, order: &[TargetId], now: Time) -> Option<TargetId> {
        match self.kept.get(&ask.home) {
            Some(kept) => Some(kept.engine.clone()).filter(|e| order.contains(e)),
            None if now.since(self.began) < NEW => order.first().cloned(),
            None => None,
        }
    }

    /// Tokens until the prompt is read at an engine, those read again for the worse.
    fn cost(&self, ask: &PrefillAsk, engine: &TargetId, keeps: Option<&TargetId>) -> u64 {
        let shared = match keeps {
            Some(keeper) if keeper == engine => 0,
            Some(_) => (ask.shared as f64 * READ_AGAIN) as u64,
            None => ask.shared,
        };
        self.waiting(engine) + shared
    }

    fn note(&mut self, ask: &PrefillAsk, engine: TargetId, kept: bool, now: Time) -> Placed {
        let shared = if kept { ask.shared } else { 0 };
        let ahead = self.waiting(&engine);
        let reading = Reading { tokens: ask.tokens.saturating_sub(shared), ahead, since: now };
        let at_engine = self.reading.entry(engine.clone()).or_default();
        at_engine.insert(ask.attempt.clone(), reading);
        self.kept.insert(ask.home, Kept { engine: engine.clone(), used: now });
        if self.kept.len() > HOMES {
            self.forget_half();
        }
        Placed { engine, ahead, kept }
    }

    /// Forgets the homes that were not used for the longest time.
    fn forget_half(&mut self) {
        let mut used: Vec<Time> = self.kept.values().map(|k| k.used).collect();
        let middle = used.len() / 2;
        let (_, middle, _) = used.select_nth_unstable(middle);
        let middle = *middle;
        self.kept.retain(|_, k| k.used > middle);
    }

    /// An engine has read a prompt.
    pub fn read(&mut self, engine: &TargetId, attempt: &Name, now: Time) {
        if let Some(reading) = self.take(engine, attempt) {
            self.pace.note(reading.ahead + reading.tokens, now.since(reading.since));
        }
    }

    /// An engine will not read a prompt any more.
    pub fn given_up(&mut self, engine: &TargetId, attempt: &Name) {
        self.take(engine, attempt);
    }

    fn take(&mut self, engine: &TargetId, attempt: &Name) -> Option<Reading> {
        self.reading.get_mut(engine)?.remove(attempt)
    }

    fn forget(&mut self, now: Time) {
        for at_engine in self.reading.values_mut() {
            at_engine.retain(|_, r| now.since(r.since) < FORGOTTEN);
        }
        self.reading.retain(|_, at_engine| !at_engine.is_empty());
    }
}
