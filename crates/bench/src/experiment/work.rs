//! Seeded arrivals: turns of conversations with long prefixes and Zipf-distributed popularity,
//! catalogue rewrites of patient priority, and stock checks.

use std::time::Duration;

use decide::rng::Rng;
use serde_json::{Value, json};

use super::plan::{Cell, Fault, Mix, Plan};

/// New words of a turn, after its prefix.
const TURN_WORDS: usize = 12;
/// Share of arrivals with long answers during a burst.
const BURST_SHARE: f64 = 0.25;
/// Length of a long answer relative to an ordinary one.
const BURST_LENGTH_FACTOR: usize = 4;
/// Stock checks per second.
const STOCK_RATE: f64 = 40.0;
/// Length of a catalogue rewrite relative to an ordinary answer.
const CATALOGUE_LENGTH_FACTOR: usize = 3;

/// A request to send.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Send time, from the start of the run.
    pub at: Duration,
    /// Pipeline to request.
    pub pipeline: &'static str,
    /// Workspace of the request.
    pub workspace: &'static str,
    /// Session id, one per conversation.
    pub session: String,
    /// JSON body.
    pub body: Value,
}

/// Conversations with their popularity.
pub struct Sessions {
    /// Cumulative Zipf weights.
    cumulative: Vec<f64>,
    prefix: usize,
    seed: u64,
}

impl Sessions {
    /// Creates as many conversations as fill the cell's `working_set` share of all caches.
    pub fn new(plan: &Plan, cell: &Cell) -> Self {
        let tokens = (plan.engines * plan.engine.cache) as f64 * cell.working_set;
        let count = ((tokens / (plan.prefix + TURN_WORDS) as f64) as usize).max(1);
        let mut sum = 0.0;
        let weight = |i: usize| 1.0 / ((i + 1) as f64).powf(cell.skew);
        let cumulative = (0..count)
            .map(|i| {
                sum += weight(i);
                sum
            })
            .collect();
        Sessions { cumulative, prefix: plan.prefix, seed: plan.seed }
    }

    fn sample(&self, rng: &mut Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let x = rng.next_f64() * total;
        self.cumulative.partition_point(|c| *c < x).min(self.cumulative.len() - 1)
    }

    /// Prompt of a turn: the conversation's prefix, which is the same each time, and new words.
    fn prompt(&self, session: usize, rng: &mut Rng) -> String {
        let mut prefix_rng = Rng::new(self.seed ^ (session as u64) << 20);
        let mut text = String::with_capacity((self.prefix + TURN_WORDS) * 7);
        for _ in 0..self.prefix {
            text.push_str(&format!("{:05x} ", prefix_rng.next_u64() & 0xf_ffff));
        }
        for _ in 0..TURN_WORDS {
            text.push_str(&format!("{:05x} ", rng.next_u64() & 0xf_ffff));
        }
        text
    }

    /// Session id and body of a turn in a randomly chosen conversation.
    pub fn turn(&self, rng: &mut Rng, words: usize) -> (String, Value) {
        let session = self.sample(rng);
        let prompt = self.prompt(session, rng);
        (format!("s{session}"), json!({ "prompt": prompt, "text": "a b c", "tokens": words }))
    }
}

/// All arrivals of a run in the order of time, the same for each policy.
pub fn arrivals(plan: &Plan, cell: &Cell, repetition: usize, rate: f64) -> Vec<Arrival> {
    let mut rng = Rng::new(plan.seed ^ (repetition as u64 + 1) << 40);
    let sessions = Sessions::new(plan, cell);
    let end = plan.warmup + plan.seconds;
    let mut out = Vec::new();
    if cell.mix != Mix::Stock {
        poisson(&mut rng, rate, end, |rng, at| {
            let (words, workspace) = match cell.mix {
                Mix::Catalogue => (plan.words * CATALOGUE_LENGTH_FACTOR, "patient"),
                _ => (answer_words(plan, cell, rng, at), "turns"),
            };
            let (session, body) = sessions.turn(rng, words);
            out.push(arrival(at, "chat", workspace, session, body));
        });
    }
    if cell.mix != Mix::Turns {
        poisson(&mut rng, STOCK_RATE, end, |rng, at| {
            let body = json!({ "text": format!("item {}", rng.below(1000)) });
            let session = format!("stock{}", rng.below(1000));
            out.push(arrival(at, "stock-check", "stock", session, body));
        });
    }
    out.sort_by_key(|a| a.at);
    out
}

/// Words in the answer to a turn: a share of the turns in the middle third of the run get long
/// answers under [`Fault::Burst`].
fn answer_words(plan: &Plan, cell: &Cell, rng: &mut Rng, at: f64) -> usize {
    let third = plan.seconds / 3.0;
    let in_burst = at >= plan.warmup + third && at < plan.warmup + 2.0 * third;
    let long = cell.fault == Fault::Burst && in_burst && rng.next_f64() < BURST_SHARE;
    if long { plan.words * BURST_LENGTH_FACTOR } else { plan.words }
}

fn arrival(
    at: f64,
    pipeline: &'static str,
    workspace: &'static str,
    session: String,
    body: Value,
) -> Arrival {
    Arrival { at: Duration::from_secs_f64(at), pipeline, workspace, session, body }
}

/// Calls `on_arrival` with the times of a Poisson process of `rate` per second, before `end`.
fn poisson(rng: &mut Rng, rate: f64, end: f64, mut on_arrival: impl FnMut(&mut Rng, f64)) {
    if rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.next_f64()).ln() / rate;
        if at >= end {
            return;
        }
        on_arrival(rng, at);
    }
}
