//! When a forwarded request may be sent again, and what its outcome guarantees.

use std::time::Duration;

use decide::resend::{Attempts, BudgetTuning, Ending, Execution, Next, RepeatBudget};
use model::Time;
use model::forward::Repeat;

const LEFT: Duration = Duration::from_millis(500);

fn attempts(repeat: Repeat, max_targets: u32, seen: &[Execution]) -> Attempts {
    let mut tries = Attempts::new(repeat, max_targets);
    for ran in seen {
        tries.connected();
        tries.record(*ran);
    }
    tries
}

#[test]
fn a_run_once_request_is_resent_only_if_it_certainly_did_not_run() {
    use Execution::{Excluded, Possible};
    let cases: &[(Repeat, u32, &[Execution], Next)] = &[
        (Repeat::Once, 1, &[], Next::Resend),
        (Repeat::Once, 1, &[Excluded], Next::Resend),
        (Repeat::Once, 3, &[Possible], Next::End(Ending::Unknown)),
        (Repeat::Once, 3, &[Excluded, Possible], Next::End(Ending::Unknown)),
        (Repeat::StreamOnce, 3, &[Possible], Next::End(Ending::Unknown)),
        (Repeat::Idempotent, 2, &[Possible], Next::Resend),
        (Repeat::Idempotent, 1, &[Possible], Next::End(Ending::Unknown)),
        (Repeat::Idempotent, 2, &[Possible, Possible], Next::End(Ending::Unknown)),
        (Repeat::StreamResumable, 2, &[Possible], Next::Resend),
        (Repeat::Once, 1, &[Excluded, Excluded], Next::End(Ending::NotRun)),
        (Repeat::Idempotent, 2, &[Excluded, Excluded], Next::End(Ending::NotRun)),
    ];
    for (repeat, max_targets, seen, expected) in cases {
        let next = attempts(*repeat, *max_targets, seen).next(LEFT, || true);
        assert_eq!(next, *expected, "{repeat:?}, max_targets {max_targets}, after {seen:?}");
    }
}

#[test]
fn an_attempt_in_flight_may_have_run() {
    let mut tries = Attempts::new(Repeat::Once, 1);
    assert_eq!(tries.ending(), Ending::NotRun);
    tries.connected();
    assert_eq!(tries.ending(), Ending::Unknown, "bytes may be at the target");
    tries.record(Execution::Excluded);
    assert_eq!(tries.ending(), Ending::NotRun, "the target reported that it did not run it");
}

#[test]
fn a_begun_response_is_closed_or_resumed() {
    let mut once = attempts(Repeat::StreamOnce, 3, &[Execution::Possible]);
    once.response_begun = true;
    assert_eq!(once.next(LEFT, || true), Next::End(Ending::BreakOff));
    let mut resumable = attempts(Repeat::StreamResumable, 3, &[Execution::Possible]);
    resumable.response_begun = true;
    assert_eq!(resumable.next(LEFT, || true), Next::Resend);
}

#[test]
fn no_repeat_without_budget_or_time() {
    let tried = attempts(Repeat::Idempotent, 2, &[Execution::Possible]);
    assert_eq!(tried.next(LEFT, || false), Next::End(Ending::Unknown));
    assert_eq!(tried.next(Duration::ZERO, || true), Next::End(Ending::Unknown));
    let first = Attempts::new(Repeat::Once, 1);
    assert_eq!(first.next(LEFT, || false), Next::Resend, "a first attempt needs no budget");
}

fn budgets_of(tuning: BudgetTuning, is_first: bool, nodes: usize) -> Vec<RepeatBudget> {
    (0..nodes as u64).map(|seed| RepeatBudget::new(tuning, is_first, seed)).collect()
}

/// Share of the requested repeats that is granted in a fleet whose nodes send no other requests.
/// Some nodes ask, each once in `every_s`; no window of ten seconds may hold more than the budget.
fn granted_share(nodes: usize, asking: usize, every_s: f64, is_first: bool) -> f64 {
    let tuning = BudgetTuning { ratio: 0.2, window: Duration::from_secs(10), slack: 1040.0 };
    let mut budgets = budgets_of(tuning, is_first, nodes);
    let mut granted: Vec<u64> = Vec::new();
    let step = every_s * 1000.0 / asking as f64;
    let asks = (60_000.0 / step) as usize;
    for i in 0..asks {
        let ms = (i as f64 * step) as u64;
        if budgets[i % asking].withdraw(Time::from_millis(ms), nodes) {
            granted.push(ms);
        }
    }
    let within = |end: &u64| granted.iter().filter(|t| **t <= *end && **t + 10_000 > *end).count();
    let worst = granted.iter().map(within).max().unwrap_or(0);
    assert!(worst <= 1040, "{worst} repeats in one window, {nodes} nodes");
    granted.len() as f64 / asks as f64
}

#[test]
fn a_large_fleet_with_fractional_repeats_can_use_its_budget() {
    for nodes in [300, 986, 2000] {
        for is_first in [true, false] {
            granted_share(nodes, nodes, 2.0, is_first);
        }
        // A tenth of the nodes ask. Seven tenths of the slack are used.
        let part: f64 = 0.7 * 1040.0 / nodes as f64;
        let share = granted_share(nodes, nodes / 10, 12.0, true);
        assert!(share > part.min(1.0) * 0.85, "{share} of {part} at {nodes} nodes");
    }
}

/// Nine nodes on which every request fails and is repeated as far as the budget allows.
#[test]
fn summed_repeats_of_all_nodes_stay_within_the_shared_budget() {
    let (ratio, slack, nodes) = (0.2, 58.0, 9);
    let window = Duration::from_secs(10);
    let tuning = BudgetTuning { ratio, window, slack };
    let mut budgets = budgets_of(tuning, true, nodes);
    let mut sent: Vec<(Time, bool)> = Vec::new();
    for ms in (0..40_000).step_by(20) {
        let now = Time::from_millis(ms);
        let node = (ms / 20) as usize % nodes;
        budgets[node].record_request(now);
        sent.push((now, false));
        for _ in 0..2 {
            if budgets[node].withdraw(now, nodes) {
                sent.push((now, true));
            }
        }
    }
    for end in (10_000..40_000).step_by(500) {
        let end = Time::from_millis(end);
        let within: Vec<_> =
            sent.iter().filter(|(t, _)| *t <= end && end.since(*t) < window).collect();
        let repeats = within.iter().filter(|(_, r)| *r).count() as f64;
        let requests = within.len() as f64 - repeats;
        assert!(repeats <= requests * ratio + slack, "{repeats} repeats of {requests} requests");
        assert!(repeats > 0.0, "the budget must be usable");
    }
}

/// A restarted node does not know what it spent before. When all nodes were killed together while
/// targets rejected many requests, they spent the slack a second time within one window.
#[test]
fn restarted_nodes_spend_no_more_than_the_shared_budget() {
    let (ratio, slack, nodes) = (0.2, 56.0, 8);
    let window = Duration::from_secs(10);
    let tuning = BudgetTuning { ratio, window, slack };
    for killed_at in (2_000..16_000).step_by(500) {
        let mut sent: Vec<(u64, bool)> = Vec::new();
        for (from, to) in [(0, killed_at), (killed_at + 500, 40_000)] {
            let mut budgets = budgets_of(tuning, false, nodes);
            for ms in (from..to).step_by(25) {
                // Each process counts time from its own start.
                let now = Time::from_millis(ms - from);
                let node = (ms / 25) as usize % nodes;
                budgets[node].record_request(now);
                sent.push((ms, false));
                for _ in 0..2 {
                    if budgets[node].withdraw(now, nodes) {
                        sent.push((ms, true));
                    }
                }
            }
        }
        for end in (10_000..30_000).step_by(250) {
            let within: Vec<_> =
                sent.iter().filter(|(t, _)| *t < end && *t + 10_000 >= end).collect();
            let repeats = within.iter().filter(|(_, r)| *r).count() as f64;
            let requests = within.len() as f64 - repeats;
            let allowed = requests * ratio + slack;
            assert!(repeats <= allowed, "{repeats} of {allowed}, killed at {killed_at} ms");
        }
    }
}
