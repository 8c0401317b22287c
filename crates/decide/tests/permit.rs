//! Limits that targets name, and permits to send them requests.

use std::time::Duration;

use decide::permit::{
    Grant, LimitChange, LimitObservation, Limits, PermitIssuer, RetryPacer, issue_rate,
};
use model::Time;
use model::forward::{LimitReport, ReportedLimit, TargetId};
use proptest::prelude::*;

/// Window over which the platform counts the requests to a target.
const WINDOW: Duration = Duration::from_secs(4);
/// Keepers that may issue permits for one target at once: one that some nodes still ask, and one
/// that others ask already.
const KEEPERS: usize = 2;
/// Maximum delay of one request after its permit relative to another: the lifetime of a permit.
const ARRIVAL_JITTER: Duration = Duration::from_millis(250);

fn target() -> TargetId {
    TargetId::new("i-1", 7)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn observation(per_s: Option<f64>, sent: u64, received: u64) -> LimitObservation {
    LimitObservation { per_s, sent_at: at(sent), received_at: at(received) }
}

/// Requests that the platform tolerates per window at a target that names this limit.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0).floor() as usize
}

/// Times at which one keeper issues permits to a node that asks continuously.
fn granted(per_s: f64, idle: Duration, time: Duration) -> Vec<Time> {
    let mut issuer = PermitIssuer::default();
    issuer.merge(&target(), observation(Some(per_s), 0, 1), at(1));
    let begin = at(1) + idle;
    let mut granted = Vec::new();
    let mut now = begin;
    while now < begin + time {
        if issuer.request(&target(), &"n-1".into(), 1, now) == Grant::Now {
            granted.push(now);
        }
        now = now + Duration::from_millis(1);
    }
    granted
}

#[test]
fn two_keepers_and_late_requests_stay_within_the_limit() {
    for per_s in [0.0, 0.01, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 50.0, 400.0] {
        for idle in [Duration::ZERO, Duration::from_secs(40)] {
            let times = granted(per_s, idle, Duration::from_secs(12));
            let span = WINDOW + ARRIVAL_JITTER;
            let count =
                |first: Time| times.iter().filter(|t| **t >= first && **t < first + span).count();
            let max = times.iter().map(|first| count(*first)).max().unwrap_or(0);
            let (all, allowed) = (KEEPERS * max, allowed(per_s));
            assert!(all <= allowed, "{per_s} per second, idle {idle:?}: {all} of {allowed}");
        }
    }
}

#[test]
fn at_least_half_of_a_limit_is_issued_and_never_nothing() {
    for per_s in [0.2, 0.5, 1.0, 5.0, 50.0] {
        let times = granted(per_s, Duration::ZERO, Duration::from_secs(60));
        let least = (0.5 * per_s * 60.0) as usize;
        assert!(times.len() >= least, "{per_s} per second: {} of {least} in a minute", times.len());
    }
    let times = granted(0.0, Duration::ZERO, Duration::from_secs(60));
    assert!(!times.is_empty(), "a target without requests cannot report the end of its limit");
}

#[test]
fn new_keeper_starts_without_accumulated_permits() {
    let mut issuer = PermitIssuer::default();
    issuer.merge(&target(), observation(Some(1.0), 0, 10), at(10));
    assert!(matches!(issuer.request(&target(), &"n-1".into(), 1, at(10)), Grant::Later(_)));
}

#[test]
fn rejected_nodes_retry_one_after_the_other() {
    let mut issuer = PermitIssuer::default();
    issuer.merge(&target(), observation(Some(2.0), 0, 10), at(10));
    let each = Duration::from_secs_f64(1.0 / issue_rate(2.0));
    let mut delays = Vec::new();
    for n in 0..20 {
        match issuer.request(&target(), &format!("n-{n}").into(), 1, at(10)) {
            Grant::Later(after) => delays.push(after),
            other => panic!("{other:?}"),
        }
    }
    assert!(delays[1] - delays[0] >= each - Duration::from_millis(1), "{delays:?}");
    let again = issuer.request(&target(), &"n-1".into(), 1, at(10));
    assert_eq!(again, Grant::Later(delays[1]), "a node has one place in the queue");
    let longest = *delays.last().expect("some were rejected");
    assert!(
        longest <= each + Duration::from_secs(2),
        "no longer than a node may still have requests"
    );
}

#[test]
fn call_takes_one_permit_per_piece() {
    let mut issuer = PermitIssuer::default();
    issuer.merge(&target(), observation(Some(1.0), 0, 10), at(10));
    assert_eq!(issuer.request(&target(), &"n-1".into(), 2, at(20_000)), Grant::Now);
    assert!(matches!(issuer.request(&target(), &"n-1".into(), 1, at(20_000)), Grant::Later(_)));
}

#[test]
fn later_observation_wins_and_the_lower_if_unordered() {
    let table = [
        // The second observation is later.
        ((Some(1.0), 0, 10), (None, 10, 20), None),
        ((Some(1.0), 0, 10), (Some(5.0), 10, 20), Some(5.0)),
        ((None, 0, 10), (Some(5.0), 10, 20), Some(5.0)),
        // The order is unknown.
        ((Some(1.0), 0, 10), (None, 9, 20), Some(1.0)),
        ((Some(1.0), 0, 10), (Some(5.0), 5, 20), Some(1.0)),
        ((None, 0, 100), (Some(5.0), 50, 60), Some(5.0)),
        // The head of a stream, older than the observation of another request.
        ((None, 0, 1000), (Some(2.0), 500, 600), Some(2.0)),
    ];
    for ((a, a0, a1), (b, b0, b1), expected) in table {
        let (a, b) = (observation(a, a0, a1), observation(b, b0, b1));
        assert_eq!(a.merge(b).per_s, expected, "{a:?} {b:?}");
        assert_eq!(b.merge(a).per_s, expected, "in the reverse order: {b:?} {a:?}");
    }
}

#[test]
fn answers_set_change_and_end_a_limit() {
    let (mut limits, id) = (Limits::default(), target());
    let mut record = |report, sent, received| {
        let change = limits.record(&id, report, at(sent), at(received));
        (change, limits.get(&id))
    };
    use ReportedLimit::{None as Unnamed, PerSecond, Unreadable};
    assert_eq!(record(Unnamed, 0, 10), (None, None));
    assert_eq!(record(PerSecond(2.0), 10, 20), (Some(LimitChange::Named(2.0)), Some(2.0)));
    assert_eq!(record(Unnamed, 15, 30), (None, Some(2.0)), "sent before the limit was observed");
    assert_eq!(record(Unreadable, 30, 40), (Some(LimitChange::Unreadable), Some(2.0)));
    assert_eq!(record(Unreadable, 40, 50), (None, Some(2.0)), "reported once");
    assert_eq!(record(PerSecond(3.0), 50, 60), (Some(LimitChange::Named(3.0)), Some(3.0)));
    assert_eq!(record(Unnamed, 60, 70), (Some(LimitChange::Ended), None));
    let another = TargetId::new("i-1", 8);
    assert_eq!(limits.get(&another), None, "another start names no limit");
}

#[test]
fn limit_ends_despite_overlapping_requests() {
    let (mut limits, id) = (Limits::default(), target());
    limits.record(&id, ReportedLimit::PerSecond(50.0), at(0), at(100));
    let ended = (0..).find(|n| {
        let sent = at(20 * n);
        limits.record(&id, ReportedLimit::None, sent, sent + Duration::from_millis(100));
        limits.get(&id).is_none()
    });
    assert_eq!(ended, Some(5), "the first one sent after the limit was observed");
}

#[test]
fn old_observations_of_peers_have_no_effect() {
    let (mut limits, id) = (Limits::default(), target());
    let from_peer = |per_s, sent_ms, received_ms, now| {
        LimitObservation::from_peer(&LimitReport { per_s, sent_ms, received_ms }, at(now))
    };
    limits.record(&id, ReportedLimit::PerSecond(1.0), at(1000), at(1100));
    limits.record(&id, ReportedLimit::None, at(2000), at(2100));
    assert_eq!(limits.merge(&id, from_peer(Some(1.0), 2400, 2300, 3400)), None, "already ended");
    limits.record(&id, ReportedLimit::PerSecond(1.0), at(5000), at(5100));
    // Sent before the limit was named; reported as soon as the answer arrived, but 0.7 s in
    // transit.
    assert_eq!(limits.merge(&id, from_peer(None, 200, 0, 5800)), None, "transit time counts");
    assert_eq!(limits.get(&id), Some(1.0));
    assert_eq!(limits.merge(&id, from_peer(None, 200, 0, 6200)), Some(LimitChange::Ended));
}

#[test]
fn retry_delays_follow_the_permit_rate() {
    let mut pacer = RetryPacer::default();
    let soonest = Duration::from_millis(400);
    let delays: Vec<f64> =
        (0..5).map(|_| pacer.next(soonest, 2.0, 4, at(10_000)).as_secs_f64()).collect();
    assert_eq!(delays, [0.4, 2.4, 4.4, 6.4, 8.4], "four nodes share two permits per second");
    let delays: Vec<u64> =
        (0..100).map(|_| pacer.next(soonest, 2.0, 4, at(10_000)).as_secs()).collect();
    let at_once = (0..20).map(|s| delays.iter().filter(|t| **t == s).count()).max();
    assert!(at_once <= Some(20), "not all in the same second: {delays:?}");
    assert!(pacer.next(soonest, 0.1, 300, at(10_000)) <= Duration::from_secs(11));
}

proptest! {
    /// Observations of one target in any order, from any node: the result is the observation that
    /// is certainly later than all others, if there is one.
    #[test]
    fn latest_observation_wins_in_any_order(
        observations in prop::collection::vec((prop::option::of(1u8..4), 0u64..1000, 0u64..300), 1..12),
    ) {
        let observations: Vec<LimitObservation> = observations
            .into_iter()
            .map(|(per_s, sent, took)| observation(per_s.map(f64::from), sent, sent + took))
            .collect();
        let last = observations.iter().find(|w| {
            observations.iter().all(|o| o == *w || o.received_at <= w.sent_at)
        });
        if let Some(last) = last {
            let all = observations.iter().skip(1).fold(observations[0], |all, w| all.merge(*w));
            let back = observations.iter().rev().skip(1).fold(observations[observations.len() - 1], |all, w| all.merge(*w));
            prop_assert_eq!(all.per_s, last.per_s);
            prop_assert_eq!(back.per_s, last.per_s);
        }
    }
}
