//! Evidence from one node's own requests for a trial version.

use std::time::Duration;

use decide::rollout::{Cause, Evidence};
use model::forward::Side;
use model::{Name, Time};

/// Records answers of one side: failures, and successful ones that took `ms`.
fn record(evidence: &mut Evidence, side: Side, bad: u32, good: u32, ms: u64) {
    let (service, route): (Name, Name) = ("s".into(), "r".into());
    for _ in 0..bad {
        evidence.record_sent(&service, &route, side, 1);
        evidence.record_bad(&service, &route, side);
    }
    for _ in 0..good {
        evidence.record_sent(&service, &route, side, 1);
        evidence.record_good(&service, &route, side, Duration::from_millis(ms));
    }
}

#[test]
fn local_verdict_needs_failures_beyond_the_serving_version() {
    // Failures, successful answers and their time, of the serving and of the trial version; and the
    // cause that this proves.
    let cases = [
        ((0, 50, 40), (0, 50, 40), None),
        ((0, 50, 40), (2, 20, 40), None),
        ((0, 50, 40), (8, 0, 40), Some(Cause::Failures)),
        ((25, 25, 40), (8, 8, 40), None),
        ((0, 50, 40), (0, 50, 70), None),
        ((0, 50, 40), (0, 20, 150), Some(Cause::Slow)),
        ((0, 0, 40), (0, 50, 150), None),
        ((0, 0, 40), (20, 0, 40), Some(Cause::Failures)),
    ];
    for (serving, trial, expected) in cases {
        let mut evidence = Evidence::default();
        record(&mut evidence, Side::Serving, serving.0, serving.1, serving.2);
        record(&mut evidence, Side::Trial, trial.0, trial.1, trial.2);
        let verdict = evidence.proves_bad("s");
        assert_eq!(verdict.as_ref().map(|v| v.cause), expected, "{serving:?} {trial:?}");
        let Some(verdict) = verdict else {
            continue;
        };
        assert_eq!(verdict.trial.sent, u64::from(trial.0 + trial.1));
        assert_eq!(verdict.serving.sent, u64::from(serving.0 + serving.1));
    }
}

#[test]
fn late_answers_in_one_burst_count_once() {
    let (service, route): (Name, Name) = ("s".into(), "r".into());
    let (typical, late) = (Duration::from_millis(40), Duration::from_millis(150));
    let mut evidence = Evidence::default();
    let mut record_late = |took, ms| {
        evidence.record_late(&service, &route, took, Time::ZERO + Duration::from_millis(ms))
    };
    assert!(![0, 1].map(|ms| record_late(late, ms))[1], "without a baseline nothing is late");
    record(&mut evidence, Side::Serving, 0, 50, 40);
    let cases = [
        (typical, 100, false),
        (late, 101, false),
        (late, 102, true),
        (typical, 102, false),
        (late, 121, true),
        (late, 141, false),
    ];
    for (took, ms, expected) in cases {
        let now = Time::ZERO + Duration::from_millis(ms);
        assert_eq!(evidence.record_late(&service, &route, took, now), expected, "{took:?} at {ms}");
    }
}

#[test]
fn a_report_holds_cumulative_counts_until_the_order_ends() {
    let mut evidence = Evidence::default();
    record(&mut evidence, Side::Serving, 1, 9, 1);
    record(&mut evidence, Side::Trial, 2, 3, 2);
    let [seen] = &evidence.report("s")[..] else {
        panic!("one route");
    };
    assert_eq!((seen.serving.sent, seen.serving.bad, &seen.serving.times[..]), (10, 1, &[9][..]));
    assert_eq!((seen.trial.sent, seen.trial.bad, &seen.trial.times[..]), (5, 2, &[0, 0, 3][..]));
    assert_eq!(evidence.report("other"), []);
    evidence.forget("s");
    assert_eq!(evidence.report("s"), []);
}

#[test]
fn a_call_counts_as_a_failure_in_proportion_to_its_failed_pieces() {
    let (service, route): (Name, Name) = ("s".into(), "r".into());
    // Part of each call that failed, number of calls, and how many of them count as failures.
    for (part, calls, expected) in [(0.0, 50, 0), (1.0, 7, 7), (1.0 / 12.0, 120, 10), (0.5, 9, 4)] {
        let mut evidence = Evidence::default();
        for _ in 0..calls {
            evidence.record_sent(&service, &route, Side::Serving, 12);
            evidence.record_partial(
                &service,
                &route,
                Side::Serving,
                part,
                Duration::from_millis(5),
            );
        }
        let [seen] = &evidence.report("s")[..] else {
            panic!("one route");
        };
        let good: u32 = seen.serving.times.iter().sum();
        assert_eq!((seen.serving.bad, good), (expected, calls - expected), "{part}");
    }
}
