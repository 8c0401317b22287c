//! Admission, time and retry budgets, concurrency limits and rate limits.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::admit::{AdmissionQueue, PendingRequest, Verdict};
use decide::deadline::{self, StepTimes};
use decide::limit::{ConcurrencyLimit, RateLender, RateSlice, TokenBucket};
use decide::load::{LoadTable, poll_rank};
use decide::retry::{RetryBudget, backoff};
use decide::rng::Rng;
use model::load::TargetReport;
use model::object::Priority;
use model::outcome::Reason;
use model::{Name, Time};

/// Duration of a run well within its deadline, and the time to the deadline.
const QUICK: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(1000);

fn waiter(name: &str, priority: Priority, deadline: u64) -> PendingRequest {
    PendingRequest {
        request: name.into(),
        priority,
        deadline: Time::from_millis(deadline),
        need: Duration::from_millis(100),
    }
}

#[test]
fn requests_run_by_priority_then_by_earliest_deadline() {
    let mut g = AdmissionQueue::new(1, 10);
    g.submit(Time::ZERO, waiter("first", Priority::Normal, 5000));
    g.submit(Time::ZERO, waiter("patient", Priority::Patient, 1000));
    g.submit(Time::ZERO, waiter("late", Priority::Urgent, 9000));
    g.submit(Time::ZERO, waiter("early", Priority::Urgent, 2000));
    let mut order = Vec::new();
    let mut last: Name = "first".into();
    for _ in 0..3 {
        let out = g.complete(Time::ZERO, &last, QUICK, DEADLINE);
        let [Verdict::Run(next)] = &out[..] else { panic!("{out:?}") };
        last = next.clone();
        order.push(last.to_string());
    }
    assert_eq!(order, ["early", "late", "patient"]);
}

#[test]
fn a_full_queue_sheds_the_lowest_ranked_request() {
    let mut g = AdmissionQueue::new(1, 1);
    g.submit(Time::ZERO, waiter("runs", Priority::Normal, 5000));
    g.submit(Time::ZERO, waiter("patient", Priority::Patient, 5000));
    let out = g.submit(Time::ZERO, waiter("urgent", Priority::Urgent, 5000));
    assert_eq!(out, vec![Verdict::Refuse("patient".into(), Reason::Overload)]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused() {
    let mut g = AdmissionQueue::new(1, 10);
    g.submit(Time::ZERO, waiter("runs", Priority::Normal, 5000));
    let out = g.submit(Time::ZERO, waiter("hopeless", Priority::Urgent, 50));
    assert_eq!(out, vec![Verdict::Refuse("hopeless".into(), Reason::Hopeless)]);
    g.submit(Time::ZERO, waiter("waits", Priority::Urgent, 300));
    assert!(g.tick(Time::from_millis(150)).is_empty());
    let out = g.tick(Time::from_millis(201));
    assert_eq!(out, vec![Verdict::Refuse("waits".into(), Reason::Hopeless)]);
}

#[test]
fn an_idle_node_admits_a_request_expected_to_miss_its_deadline() {
    // Durations observed under load must not make an idle node refuse requests.
    let mut g = AdmissionQueue::new(4, 10);
    let out = g.submit(Time::ZERO, waiter("only", Priority::Normal, 50));
    assert_eq!(out, vec![Verdict::Run("only".into())]);
}

#[test]
fn the_admission_limit_shrinks_under_congestion_and_recovers() {
    let mut g = AdmissionQueue::new(64, 10);
    let mut now = Time::ZERO;
    for i in 0..1000 {
        now = now + Duration::from_millis(5);
        let name: Name = format!("r{i}").into();
        g.submit(now, waiter(&name, Priority::Normal, u64::MAX / 2000));
        g.complete(now, &name, DEADLINE, DEADLINE);
    }
    let narrow = g.limit();
    assert!(narrow <= 8, "{narrow}");
    let mut names = std::collections::VecDeque::new();
    for i in 0..4000 {
        let name: Name = format!("s{i}").into();
        g.submit(now, waiter(&name, Priority::Normal, u64::MAX / 2000));
        names.push_back(name);
        if names.len() > g.limit() {
            let old = names.pop_front().expect("one runs");
            g.complete(now, &old, QUICK, DEADLINE);
        }
    }
    assert!(g.limit() > narrow * 3, "{}", g.limit());
}

#[test]
fn a_request_behind_a_long_queue_is_refused_on_arrival() {
    let mut g = AdmissionQueue::new(1, 100);
    let mut now = Time::ZERO;
    // A slot is released every 100 ms.
    for i in 0..30 {
        let name: Name = format!("r{i}").into();
        g.submit(now, waiter(&name, Priority::Normal, 1_000_000));
        now = now + Duration::from_millis(100);
        g.complete(now, &name, QUICK, DEADLINE);
    }
    let at = |ms: u64| now.0 / 1000 + ms;
    g.submit(now, waiter("runs", Priority::Normal, at(10_000)));
    let mut admitted = 0;
    for i in 0..50 {
        let out = g.submit(now, waiter(&format!("w{i}"), Priority::Normal, at(1000)));
        admitted += usize::from(out.is_empty());
    }
    assert!((7..=10).contains(&admitted), "ten slots fit the deadline: {admitted} wait");
}

#[test]
fn patient_requests_leave_capacity_for_urgent_ones() {
    let mut g = AdmissionQueue::new(10, 100);
    for i in 0..20 {
        g.submit(Time::ZERO, waiter(&format!("p{i}"), Priority::Patient, 50_000));
    }
    assert_eq!(g.running(), 7, "70 % of the capacity");
    let out = g.submit(Time::ZERO, waiter("stock", Priority::Urgent, 800));
    assert_eq!(out, vec![Verdict::Run("stock".into())]);
}

#[test]
fn retries_are_limited_to_a_fraction_of_successes() {
    let mut b = RetryBudget::new(0.1, 10.0);
    let (mut sent, mut retried) = (0, 0);
    // A stage that always fails: no retry is left once the reserve is used up.
    for _ in 0..1000 {
        sent += 1;
        retried += u32::from(b.withdraw());
    }
    assert_eq!(retried, 10);
    assert!(f64::from(sent + retried) / f64::from(sent) <= 1.2);
    for _ in 0..50 {
        b.deposit();
    }
    assert!(b.withdraw());
}

#[test]
fn backoff_is_jittered_under_a_growing_bound() {
    let mut rng = Rng::new(1);
    for attempts in 1..10 {
        for _ in 0..100 {
            assert!(backoff(attempts, &mut rng) <= Duration::from_millis(200));
        }
    }
    let first: Vec<_> = (0..20).map(|_| backoff(1, &mut rng)).collect();
    assert!(first.iter().any(|d| *d != first[0]), "jitter makes the delays differ");
}

#[test]
fn a_step_budget_leaves_time_for_the_later_steps() {
    let mut slow = StepTimes::default();
    for _ in 0..100 {
        slow.record(Duration::from_millis(200));
    }
    let quick = StepTimes::default();
    let times = [&quick, &slow, &slow];
    let later = deadline::median_total(&times[1..]);
    assert!((395..=410).contains(&later.as_millis()), "{later:?}");
    let budget = deadline::budget(Time::ZERO, Time::from_millis(1000), later);
    assert!((590..=605).contains(&budget.as_millis()), "{budget:?}");
    // The need is the time that most runs take, capped at half of the time left.
    let need = deadline::required_time(&times, Duration::from_secs(10));
    assert!((395..=410).contains(&need.as_millis()), "{need:?}");
    assert_eq!(
        deadline::required_time(&times, Duration::from_millis(300)),
        Duration::from_millis(150)
    );
}

#[test]
fn timeouts_follow_the_observed_durations() {
    let mut t = StepTimes::default();
    assert_eq!(t.hedge_after(), None, "no hedge without samples");
    for i in 0..1000 {
        t.record(Duration::from_millis(20 + i % 10));
    }
    let timeout = t.timeout().as_millis();
    assert!((80..100).contains(&timeout), "{timeout}");
    assert!(t.hedge_after().is_some_and(|h| h >= Duration::from_millis(28)));
}

#[test]
fn the_concurrency_limit_decreases_under_queueing_but_keeps_a_minimum() {
    let mut c = ConcurrencyLimit::default();
    let start = c.max_in_flight();
    let mut now = Time::from_millis(1);
    for i in 0..200 {
        now = now + Duration::from_millis(250);
        c.record_latency(now, if i == 0 { 10.0 } else { 500.0 }, 32);
    }
    assert!(c.max_in_flight() < start && c.max_in_flight() >= 4, "{}", c.max_in_flight());
    for _ in 0..5000 {
        c.record_latency(now, 10.0, c.max_in_flight());
    }
    assert!(c.max_in_flight() > 16, "{}", c.max_in_flight());
}

#[test]
fn an_empty_bucket_returns_the_time_until_the_next_token() {
    let mut b = TokenBucket::new(2.0, Time::ZERO);
    assert!(b.try_acquire(Time::ZERO).is_ok());
    let wait = b.try_acquire(Time::ZERO).expect_err("empty");
    assert!((490..=510).contains(&wait.as_millis()), "{wait:?}");
    assert!(b.try_acquire(Time::ZERO + wait).is_ok());
}

/// Simulates nodes that borrow slices from a home; returns the requests admitted in ten seconds.
fn admitted_in_10s(
    nodes: usize,
    home_reachable: impl Fn(u64) -> bool,
    demand: impl Fn(usize) -> u64,
) -> u64 {
    const RATE: f64 = 100.0;
    let mut home = RateLender::new(RATE);
    let mut slices: Vec<RateSlice> =
        (0..nodes).map(|_| RateSlice::new(RATE, nodes, Time::ZERO)).collect();
    let mut admitted = 0;
    for ms in 0..12_000u64 {
        let now = Time::from_millis(ms);
        for (i, s) in slices.iter_mut().enumerate() {
            if ms % 500 == i as u64 && home_reachable(ms) {
                let d = s.demand(now);
                let slice = home.lend(now, &format!("n{i}").into(), d, nodes);
                s.renew(now, now, slice);
            }
            let per_second = demand(i);
            if per_second > 0 && ms % (1000 / per_second) == 0 && s.try_acquire(now, nodes).is_ok()
            {
                admitted += u64::from(ms >= 2000);
            }
        }
    }
    admitted
}

#[test]
fn a_workspace_rate_holds_across_all_nodes() {
    // With even and uneven demand and in a partition, the rate is exceeded by at most the error
    // bound of the limiter.
    let cases: [(&str, u64); 3] = [
        ("even", admitted_in_10s(8, |_| true, |_| 50)),
        ("one node has it all", admitted_in_10s(8, |_| true, |i| if i == 0 { 200 } else { 0 })),
        ("home unreachable", admitted_in_10s(8, |ms| ms < 3000, |_| 50)),
    ];
    for (name, admitted) in cases {
        assert!(admitted <= 1100, "{name}: {admitted} in ten seconds at 100 a second");
    }
    let (even, uneven) = (cases[0].1, cases[1].1);
    assert!(even >= 850, "even demand uses nearly the whole rate: {even}");
    assert!(uneven >= 700, "one busy node gets most of the rate: {uneven}");
}

#[test]
fn each_target_has_two_pollers_spread_over_the_nodes() {
    let nodes: Vec<Name> = (0..57).map(|i| format!("n{i}").into()).collect();
    let mut load: BTreeMap<&Name, usize> = BTreeMap::new();
    for t in 0..217 {
        let target = format!("t{t}");
        let pollers: Vec<_> =
            nodes.iter().filter(|n| poll_rank(&target, n, &nodes).is_some()).collect();
        assert_eq!(pollers.len(), 2);
        for p in pollers {
            *load.entry(p).or_default() += 1;
        }
    }
    assert!(load.values().all(|n| *n <= 20), "{load:?}");
}

#[test]
fn only_significant_load_changes_are_gossiped_and_stale_ones_are_dropped() {
    let name: Name = "t1".into();
    let report = |wait: u32, seq: u64, leaving: bool| TargetReport {
        target: name.clone(),
        wait,
        seq,
        leaving,
        ..TargetReport::default()
    };
    let mut a = LoadTable::default();
    let mut b = LoadTable::default();
    a.set_targets([&name].into_iter());
    b.set_targets([&name].into_iter());
    let first = a.record_poll(report(100, 10, false)).expect("new");
    assert!(a.record_poll(report(101, 11, false)).is_none(), "a small change is not gossiped");
    let leaving = a.record_poll(report(101, 12, true)).expect("leaving is gossiped");
    assert!(b.merge_rumor(leaving).is_some());
    assert!(b.merge_rumor(first).is_none(), "a stale report is dropped");
    assert!(b.merge_rumor(leaving).is_none(), "a known report is not forwarded");
    assert!(b.get("t1").is_some_and(|n| n.report.leaving));
}
