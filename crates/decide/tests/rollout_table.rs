//! How fast a bad version is detected, in simulated time: some cases as a check, all of them as a
//! report (`cargo test -p pumicevale-decide --test rollout_table -- --ignored --nocapture`).

#[path = "support/rollout/mod.rs"]
#[allow(dead_code, unused_imports, reason = "each test file uses its part")]
mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use model::forward::RolloutState;
use support::{Calls, Case, CountMode, Fault, FaultTiming, Method, Outcome, Simulation};

const FAULTS: [Fault; 4] =
    [Fault::Fails(0.2), Fault::Fails(0.4), Fault::Slow(3.0), Fault::Slow(8.0)];
const TIMES: [FaultTiming; 4] =
    [FaultTiming::AtOnce, FaultTiming::From(0.5), FaultTiming::Above(0.3), FaultTiming::OneRoute];
const RATES: [f64; 3] = [10.0, 100.0, 1000.0];
const NODES: [usize; 3] = [4, 82, 300];
/// Number of threads that run simulations.
const THREADS: usize = 3;

/// Runs the cases; the outcomes are in the order of the cases.
fn play(cases: &[Case]) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(vec![Outcome::default(); cases.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(i) =
                    Some(next.fetch_add(1, Ordering::Relaxed)).filter(|i| *i < cases.len())
                {
                    let outcome = Simulation::new(cases[i]).play();
                    outcomes.lock().expect("no thread failed")[i] = outcome;
                }
            });
        }
    });
    outcomes.into_inner().expect("no thread failed")
}

/// Median and maximum.
fn spread(mut numbers: Vec<f64>) -> (f64, f64) {
    numbers.sort_by(f64::total_cmp);
    (numbers[numbers.len() / 2], numbers[numbers.len() - 1])
}

/// Requests after the version turned bad and seconds until its last one (median and maximum each),
/// how often it was missed, and how often it exceeded the cap.
struct Summary {
    requests: (f64, f64),
    seconds: (f64, f64),
    missed: usize,
    over_cap: usize,
}

fn summarize(outcomes: &[Outcome]) -> Summary {
    let is_back = |o: &&Outcome| o.state() == Some(RolloutState::RolledBack);
    let after = |o: &Outcome| {
        o.last_tried_ms.saturating_sub(o.bad_from_ms.unwrap_or(o.last_tried_ms)) as f64 / 1000.0
    };
    Summary {
        requests: spread(outcomes.iter().map(|o| o.sent_while_bad as f64).collect()),
        seconds: spread(outcomes.iter().map(after).collect()),
        missed: outcomes.iter().filter(|o| !is_back(o)).count(),
        over_cap: outcomes.iter().filter(|o| o.trial_sent as f64 > o.cap()).count(),
    }
}

#[test]
fn a_bad_version_is_detected_within_few_requests() {
    // Maximum requests after the version turned bad, for the median of twelve rollouts.
    for (when, rate, most) in [
        (FaultTiming::AtOnce, 100.0, 60.0),
        (FaultTiming::AtOnce, 1000.0, 120.0),
        (FaultTiming::From(0.5), 100.0, 60.0),
        (FaultTiming::From(0.5), 1000.0, 150.0),
        (FaultTiming::OneRoute, 1000.0, 300.0),
    ] {
        for fault in FAULTS {
            let case = |seed| Case::plain(seed, rate, 82, when, fault);
            let cases: Vec<Case> = (0..12).map(case).collect();
            let summary = summarize(&play(&cases));
            assert_eq!((summary.missed, summary.over_cap), (0, 0), "{when:?} {fault:?} {rate}");
            assert!(
                summary.requests.0 <= most,
                "{when:?} {fault:?} {rate}: {:?}",
                summary.requests
            );
        }
    }
}

/// Pieces of a call of either version: the trial's share of the pieces fills its calls less.
const PIECES: [(u32, u32); 2] = [(16, 2), (2, 16)];

fn calls_case(seed: u64, calls: Calls, noise: f64, fault: Option<Fault>) -> Case {
    let (when, fault) = match fault {
        Some(fault) => (FaultTiming::AtOnce, fault),
        None => (FaultTiming::Never, Fault::Fails(0.0)),
    };
    Case { noise, calls: Some(calls), ..Case::plain(seed, 100.0, 82, when, fault) }
}

fn rollbacks(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|o| o.state() == Some(RolloutState::RolledBack)).count()
}

#[test]
fn call_size_does_not_bias_the_verdict() {
    for pieces in PIECES {
        for shared in [0.0, 1.0] {
            let calls = Calls { count: CountMode::Parts, pieces, shared };
            let good: Vec<Case> = (0..24).map(|s| calls_case(s, calls, 0.02, None)).collect();
            let most = 1;
            assert!(rollbacks(&play(&good)) <= most, "{calls:?}");
            if pieces != PIECES[0] {
                // The cap counts pieces, so few calls as large as these fit into it.
                continue;
            }
            let fault = Some(Fault::Fails(0.4));
            let bad: Vec<Case> = (0..12).map(|s| calls_case(s, calls, 0.02, fault)).collect();
            assert_eq!(rollbacks(&play(&bad)), bad.len(), "{calls:?}");
        }
    }
}

#[test]
#[ignore = "a report"]
fn compare_piece_counting_modes() {
    for pieces in PIECES {
        for shared in [0.0, 0.5, 1.0] {
            for count in [CountMode::Whole, CountMode::Pieces, CountMode::Parts] {
                let calls = Calls { count, pieces, shared };
                let good: Vec<Case> = (0..100).map(|s| calls_case(s, calls, 0.02, None)).collect();
                let mut row =
                    format!("| {pieces:?} | {shared} | {count:?} | {}", rollbacks(&play(&good)));
                for fault in [Fault::Fails(0.2), Fault::Fails(0.4)] {
                    let bad = (0..20).map(|s| calls_case(s, calls, 0.02, Some(fault)));
                    let summary = summarize(&play(&bad.collect::<Vec<_>>()));
                    row += &format!(
                        " | {:.0}, {:.1} s, {}",
                        summary.requests.0, summary.seconds.0, summary.missed
                    );
                }
                println!("{row} |");
            }
        }
    }
}

#[test]
#[ignore = "a report over the whole table, which takes some minutes"]
fn detection_table() {
    for when in TIMES {
        for fault in FAULTS {
            for rate in RATES {
                for method in [Method::Sequential, Method::FixedCounts] {
                    let mut row = format!("| {when:?} {fault:?} | {rate} | {method:?} |");
                    for nodes in NODES {
                        let case =
                            |seed| Case { method, ..Case::plain(seed, rate, nodes, when, fault) };
                        let cases: Vec<Case> = (0..20).map(case).collect();
                        let Summary { requests, seconds, missed, over_cap } =
                            summarize(&play(&cases));
                        row += &format!(
                            " {:.0} ({:.0}), {:.1} s ({:.1}), {missed}, {over_cap} |",
                            requests.0, requests.1, seconds.0, seconds.1
                        );
                    }
                    println!("{row}");
                }
            }
        }
    }
}

#[test]
#[ignore = "a report over thousands of rollouts, which takes some minutes"]
fn false_rollbacks_in_a_thousand_good_rollouts() {
    for method in [Method::Sequential, Method::FixedCounts] {
        for (noise, rate) in
            [(0.002, 10.0), (0.02, 10.0), (0.002, 100.0), (0.02, 100.0), (0.002, 1000.0)]
        {
            let case = |seed: u64| {
                let nodes = NODES[seed as usize % NODES.len()];
                let plain = Case::plain(seed, rate, nodes, FaultTiming::Never, Fault::Fails(0.0));
                Case { method, noise, ..plain }
            };
            let cases: Vec<Case> = (1000..2000).map(case).collect();
            let outcomes = play(&cases);
            let back = outcomes.iter().filter(|o| o.state() == Some(RolloutState::RolledBack));
            let in_time = |o: &&Outcome| matches!(o.ends[..], [(RolloutState::Completed, at, 0)] if at < 60_000);
            let completed = outcomes.iter().filter(in_time).count();
            println!("| {noise} | {rate} | {method:?} | {} | {completed} |", back.count());
        }
    }
}
