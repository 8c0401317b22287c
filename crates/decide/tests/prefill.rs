//! Choice of the engine that prefills a long prompt.

use std::collections::{BTreeMap, BTreeSet};

use decide::prefill::{Placement, Scheduler};
use decide::rng::Rng;
use model::forward::{Allowed, PrefillAsk, Side, TargetId};
use model::{Name, Time, hash};

/// Tokens of a long prompt, and of its shared prefix.
const TOKENS: u64 = 17_000;
const SHARED: u64 = 13_000;
/// Age from which a scheduler no longer assumes that prefixes are at their first home.
const OLD_MS: u64 = 10_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn engine(i: usize) -> TargetId {
    TargetId::new(format!("engine-{i}"), 0)
}

fn attempt(i: usize) -> Name {
    format!("attempt-{i}").into()
}

fn ask(i: usize, home: u64) -> PrefillAsk {
    PrefillAsk {
        service: "pool".into(),
        domain: "d".into(),
        allowed: Allowed::ANY,
        side: Side::Serving,
        attempt: attempt(i),
        home,
        shared: SHARED,
        tokens: TOKENS,
        slack_ms: 0,
        but: Vec::new(),
    }
}

fn order(engines: usize, home: u64) -> Vec<TargetId> {
    let mut order: Vec<TargetId> = (0..engines).map(engine).collect();
    order.sort_by_key(|e| hash::mix(home, hash::hash64(e.name.as_bytes())));
    order
}

fn place(scheduler: &mut Scheduler, i: usize, home: u64, now_ms: u64) -> Placement {
    scheduler.place(&ask(i, home), &order(8, home), at(now_ms)).expect("there are engines")
}

#[test]
fn prompts_go_to_their_homes_when_engines_are_idle() {
    let mut scheduler = Scheduler::new(at(0));
    for home in 0..50 {
        let now = OLD_MS + home * 5_000;
        let placement = place(&mut scheduler, home as usize, home, now);
        assert_eq!((&placement.engine, placement.tokens_ahead), (&order(8, home)[0], 0));
    }
}

#[test]
fn a_new_prompt_goes_to_the_least_loaded_of_its_first_homes() {
    let mut scheduler = Scheduler::new(at(0));
    let homes = order(8, 1);
    let found: Vec<TargetId> =
        (0..5).map(|i| place(&mut scheduler, i, 1 << 40, OLD_MS).engine).collect();
    let distinct: BTreeSet<&TargetId> = found.iter().collect();
    assert!(distinct.len() >= 2, "prompts of one home are spread: {found:?}");
    let mut scheduler = Scheduler::new(at(0));
    for (i, busy) in homes.iter().take(2).enumerate() {
        let only = [busy.clone()];
        scheduler.place(&ask(i, 90 + i as u64), &only, at(OLD_MS)).expect("an engine");
    }
    let placement = place(&mut scheduler, 7, 1, OLD_MS + 1);
    assert_eq!(placement.engine, homes[2], "the first idle engine");
    assert!(!placement.is_cached);
}

#[test]
fn a_prompt_stays_with_its_cached_prefix_until_the_queue_costs_more() {
    let mut scheduler = Scheduler::new(at(0));
    let first = place(&mut scheduler, 0, 1, OLD_MS);
    scheduler.finish_prompt(&first.engine, &attempt(0), at(OLD_MS + 300));
    let second = place(&mut scheduler, 1, 1, OLD_MS + 500);
    assert_eq!((&second.engine, second.is_cached), (&first.engine, true));
    assert_eq!(
        scheduler.queued_tokens(&first.engine),
        TOKENS - SHARED,
        "only the tokens beyond its prefix are read"
    );
    let only = [first.engine.clone()];
    for i in 10..12 {
        scheduler.place(&ask(i, 100 + i as u64), &only, at(OLD_MS + 600)).expect("an engine");
    }
    let third = place(&mut scheduler, 2, 1, OLD_MS + 700);
    assert_ne!(third.engine, first.engine, "two whole prompts are queued there");
    assert_eq!((third.tokens_ahead, third.is_cached), (0, false));
}

#[test]
fn a_prompt_in_time_at_its_cached_prefix_stays_there() {
    let mut scheduler = Scheduler::new(at(0));
    let first = place(&mut scheduler, 0, 1, OLD_MS);
    scheduler.finish_prompt(&first.engine, &attempt(0), at(OLD_MS + 340));
    // The throughput is 50 tokens per millisecond. Two whole prompts are queued there now: 760 ms
    // with the prompt's own part.
    let only = [first.engine.clone()];
    for i in 10..12 {
        scheduler.place(&ask(i, 100 + i as u64), &only, at(OLD_MS + 400)).expect("an engine");
    }
    for (i, (slack_ms, stays)) in [(1_300, true), (1_000, false)].into_iter().enumerate() {
        let ask = PrefillAsk { slack_ms, ..ask(i, 1) };
        let placement = scheduler.place(&ask, &order(8, 1), at(OLD_MS + 410)).expect("an engine");
        assert_eq!(placement.is_cached, stays, "{slack_ms} ms left");
        scheduler.cancel_prompt(&placement.engine, &attempt(i));
    }
}

#[test]
fn finished_and_expired_prompts_no_longer_count() {
    let mut scheduler = Scheduler::new(at(0));
    let placement = place(&mut scheduler, 0, 1, OLD_MS);
    assert_eq!(scheduler.queued_tokens(&placement.engine), TOKENS);
    scheduler.finish_prompt(&placement.engine, &attempt(9), at(OLD_MS + 50));
    assert_eq!(scheduler.queued_tokens(&placement.engine), TOKENS, "another attempt's end");
    scheduler.finish_prompt(&placement.engine, &attempt(0), at(OLD_MS + 60));
    assert_eq!(scheduler.queued_tokens(&placement.engine), 0);
    let lost = place(&mut scheduler, 1, 1, OLD_MS + 100);
    place(&mut scheduler, 2, 55, OLD_MS + 100 + 4_000);
    assert!(scheduler.queued_tokens(&lost.engine) < TOKENS, "it has expired");
}

#[test]
fn a_new_scheduler_assumes_prefixes_are_cached_at_the_first_home() {
    let mut scheduler = Scheduler::new(at(60_000));
    let homes = order(8, 1);
    scheduler.place(&ask(0, 99), &homes[..1], at(60_001)).expect("an engine");
    let placement = place(&mut scheduler, 1, 1, 60_002);
    assert_eq!(
        (&placement.engine, placement.is_cached),
        (&homes[0], true),
        "despite another prompt queued there"
    );
}

#[test]
fn no_engines_give_no_placement_and_busy_ones_are_balanced() {
    let mut scheduler = Scheduler::new(at(0));
    assert_eq!(scheduler.place(&ask(0, 1), &[], at(OLD_MS)), None);
    for i in 0..100 {
        place(&mut scheduler, i, i as u64, OLD_MS + 1);
    }
    let waiting: Vec<u64> = (0..8).map(|i| scheduler.queued_tokens(&engine(i))).collect();
    let (least, most) = (waiting.iter().min(), waiting.iter().max());
    assert!(most.unwrap() - least.unwrap() <= 2 * TOKENS, "{waiting:?}");
}

/// Engines that read one prompt at a time, all at the same speed.
struct Engines {
    free_at: Vec<f64>,
    cached: BTreeSet<(usize, u64)>,
    read: u64,
}

/// Speed of an engine in tokens per millisecond.
const SPEED: f64 = 61.2;

impl Engines {
    fn new(n: usize) -> Self {
        Engines { free_at: vec![0.0; n], cached: BTreeSet::new(), read: 0 }
    }

    /// When a prompt that arrives now has been read.
    fn read_prompt(&mut self, i: usize, home: u64, now: f64) -> f64 {
        let is_cached = !self.cached.insert((i, home));
        let tokens = if is_cached { TOKENS - SHARED } else { TOKENS };
        self.read += tokens;
        self.free_at[i] = self.free_at[i].max(now) + tokens as f64 / SPEED;
        self.free_at[i]
    }
}

/// Simulates a burst. `choose` picks the engine of each prompt from its number, home and arrival
/// time. Returns the 90th percentile of the read times in milliseconds, and the tokens read.
fn burst(choose: impl Fn(&mut Scheduler, usize, u64, u64) -> usize) -> (f64, u64) {
    const ENGINES: usize = 32;
    const PROMPTS: usize = 1_500;
    /// Mean arrival interval: 64 prompts a second for 32 engines, a burst of the users' benchmark.
    const GAP_MS: f64 = 15.6;
    /// Enough homes that most are read for the first time, as in the first burst of a day.
    const HOMES: usize = 3_000;
    let mut rng = Rng::new(11);
    let mut engines = Engines::new(ENGINES);
    let mut scheduler = Scheduler::new(at(0));
    let mut ends: BTreeMap<(u64, usize), usize> = BTreeMap::new();
    let (mut now, mut took) = (OLD_MS as f64, Vec::new());
    for i in 0..PROMPTS {
        now += GAP_MS * 2.0 * rng.below(1000) as f64 / 1000.0;
        while let Some((&(end, j), &at_engine)) = ends.first_key_value() {
            if end as f64 > now {
                break;
            }
            scheduler.finish_prompt(&engine(at_engine), &attempt(j), at(end));
            ends.pop_first();
        }
        let home = rng.below(HOMES) as u64;
        let chosen = choose(&mut scheduler, i, home, now as u64);
        let end = engines.read_prompt(chosen, home, now);
        ends.insert((end as u64, i), chosen);
        took.push(end - now);
    }
    took.sort_by(f64::total_cmp);
    (took[PROMPTS * 9 / 10], engines.read)
}

fn engine_index(id: &TargetId) -> usize {
    id.name.trim_start_matches("engine-").parse().expect("a number")
}

#[test]
fn a_burst_is_read_sooner_than_at_homes_with_few_extra_tokens() {
    let (home, read_at_home) = burst(|_, _, home, _| engine_index(&order(32, home)[0]));
    let (scheduled, read) = burst(|scheduler, i, home, now| {
        let placement = scheduler.place(&ask(i, home), &order(32, home), at(now));
        engine_index(&placement.expect("there are engines").engine)
    });
    assert!(scheduled < home * 0.7, "90th percentile {scheduled:.0} ms, {home:.0} ms at home");
    assert!(read as f64 <= read_at_home as f64 * 1.05, "{read} tokens, {read_at_home} at home");
}
