//! Runs that are replaced because their targets are silent, as evidence on a trial version.

use std::time::Duration;

use decide::rollout::{Cause, Evidence};
use model::forward::Side;
use model::{Name, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Evidence after good answers of both versions.
fn good_versions(service: &Name, route: &Name) -> Evidence {
    let mut evidence = Evidence::default();
    for side in [Side::Serving, Side::Trial] {
        for _ in 0..50 {
            evidence.record_sent(service, route, side, 1);
            evidence.record_good(service, route, side, Duration::from_millis(40));
        }
    }
    evidence
}

#[test]
fn one_pause_of_the_targets_of_a_good_version_does_not_prove_it_bad() {
    let (service, route): (Name, Name) = ("s".into(), "r".into());
    let mut evidence = good_versions(&service, &route);
    // Their targets pause from 1,000 to 2,000 ms; each run is replaced after a second of silence.
    for n in 0..40 {
        let begun = 100 + 20 * n;
        evidence.record_silence(&service, &route, Side::Trial, at(begun), at(2000 + n));
    }
    assert_eq!(evidence.proves_bad("s"), None);
}

#[test]
fn version_whose_targets_never_answer_is_proven_bad() {
    let (service, route): (Name, Name) = ("s".into(), "r".into());
    let mut evidence = good_versions(&service, &route);
    for n in 0..400 {
        let begun = 1000 + 50 * n;
        evidence.record_silence(&service, &route, Side::Trial, at(begun), at(begun + 1000));
    }
    let verdict = evidence.proves_bad("s");
    assert_eq!(verdict.map(|v| v.cause), Some(Cause::Failures));
}
