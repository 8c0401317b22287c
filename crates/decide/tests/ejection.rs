//! Ejections that nodes agree on.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::ejection::{EjectionKeeper, KeeperAction};
use decide::fleet::{Fleet, Observation, max_probe_interval};
use decide::rng::Rng;
use model::Name;
use model::Time;
use model::forward::{Evidence, FailureKind, FailureReport, TargetId};
use support::{at, criteria, target};

fn report(since_ms: u64) -> FailureReport {
    FailureReport { target: "t0".into(), kind: FailureKind::NotRun, since_ms }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for name in ["t0", "t1"] {
        fleet.upsert(target(name, "a"), at(0));
    }
    fleet
}

fn answered(ms: u64) -> Observation {
    Observation::Answered(Duration::from_millis(ms))
}

#[test]
fn target_is_ejected_only_if_a_second_node_saw_it_fail_and_it_served_none() {
    use Evidence::{Failed, Served, Unknown};
    let cases: [(&[(&str, Evidence)], bool); 6] = [
        (&[("n1", Failed)], false),
        (&[("n1", Failed), ("n2", Unknown)], false),
        (&[("n1", Failed), ("n2", Failed)], true),
        (&[("n1", Unknown), ("n2", Failed), ("n3", Unknown)], true),
        (&[("n1", Failed), ("n2", Failed), ("n3", Served)], false),
        (&[], false),
    ];
    for (evidence, eject) in cases {
        let mut keeper = EjectionKeeper::default();
        assert_eq!(keeper.report(&"n1".into(), &report(300), at(1000)), KeeperAction::Query);
        let named: Vec<(Name, Evidence)> =
            evidence.iter().map(|(name, found)| ((*name).into(), *found)).collect();
        assert_eq!(keeper.decide(&"t0".into(), &named).eject, eject, "{evidence:?}");
    }
}

#[test]
fn nodes_are_asked_ever_more_rarely_about_a_target_that_keeps_failing() {
    let mut keeper = EjectionKeeper::default();
    let (mut queries, mut confirmed) = (0, 0);
    for ms in (0..60_000).step_by(50) {
        let reporter = if ms % 100 == 0 { "n1" } else { "n2" };
        match keeper.report(&reporter.into(), &report(300), at(ms)) {
            KeeperAction::Query => queries += 1,
            KeeperAction::Confirm => confirmed += 1,
            KeeperAction::Wait => {}
        }
        keeper.decide(&"t0".into(), &[("n3".into(), Evidence::Failed)]);
    }
    assert!(queries <= 10, "{queries}");
    assert!(confirmed > 1000, "{confirmed}");
    assert!(keeper.recovered(&"t0".into()), "the others are told");
    assert!(!keeper.recovered(&"t0".into()), "once");
}

#[test]
fn recovery_is_told_even_if_the_target_served_some_nodes_before() {
    let mut keeper = EjectionKeeper::default();
    let id = TargetId::from("t0");
    keeper.report(&"n1".into(), &report(300), at(1000));
    let evidence = [("n2".into(), Evidence::Failed)];
    assert!(keeper.decide(&id, &evidence).eject);
    keeper.report(&"n1".into(), &report(300), at(2000));
    assert!(!keeper.decide(&id, &[("n2".into(), Evidence::Served)]).eject);
    assert_eq!(keeper.report(&"n1".into(), &report(300), at(2001)), KeeperAction::Wait);
    assert!(keeper.recovered(&id));
}

#[test]
fn failures_at_different_times_do_not_add_up() {
    let mut keeper = EjectionKeeper::default();
    keeper.report(&"n1".into(), &report(300), at(1_000));
    keeper.report(&"n2".into(), &report(300), at(20_000));
    assert!(!keeper.decide(&"t0".into(), &[]).eject);
}

#[test]
fn a_burst_of_rejections_leaves_time_for_contrary_evidence() {
    let mut keeper = EjectionKeeper::default();
    keeper.report(&"n1".into(), &report(1), at(1000));
    let since_ms = keeper.current(&"t0".into(), at(1000)).map(|r| r.since_ms);
    assert!(since_ms >= Some(250), "{since_ms:?}");
}

#[test]
fn evidence_is_what_happened_since_the_first_failure() {
    let id = TargetId::from("t0");
    let mut fleet = fleet();
    assert_eq!(fleet.evidence(&id, at(0), at(10)), Evidence::Unknown);
    fleet.observe(&id, answered(20), at(100));
    assert_eq!(fleet.evidence(&id, at(100), at(110)), Evidence::Served);
    assert_eq!(fleet.evidence(&id, at(101), at(110)), Evidence::Unknown);
    fleet.observe(&id, Observation::Rejected, at(200));
    assert_eq!(fleet.evidence(&id, at(101), at(210)), Evidence::Failed);
    assert_eq!(fleet.evidence(&id, at(101), at(9_000)), Evidence::Unknown, "long ago");
    fleet.request_sent(&id, 0);
    fleet.record_attempt(&id, at(220));
    assert_eq!(fleet.evidence(&id, at(190), at(230)), Evidence::Failed);
    assert_eq!(fleet.evidence(&id, at(190), at(400)), Evidence::Served, "it has accepted one");
    fleet.request_sent(&id, 0);
    fleet.record_attempt(&id, at(395));
    assert_eq!(fleet.evidence(&id, at(190), at(400)), Evidence::Served, "it runs beside another");
}

#[test]
fn one_failure_is_not_reported_and_a_lost_connection_to_all_is() {
    let id = TargetId::from("t0");
    let mut fleet = fleet();
    fleet.observe(&id, Observation::Rejected, at(0));
    assert_eq!(fleet.failure_report(&id, at(5)), None);
    fleet.observe(&id, Observation::Interrupted, at(10));
    assert_eq!(fleet.failure_report(&id, at(25)).map(|r| r.since_ms), Some(25));
    fleet.observe(&id, answered(5), at(30));
    assert_eq!(fleet.failure_report(&id, at(40)), None);
    for ms in [50, 60, 70] {
        fleet.observe(&id, Observation::Unreachable, at(ms));
    }
    assert_eq!(fleet.failure_report(&id, at(80)), None, "each node tries such a target by itself");
}

/// Names of the targets picked for ten requests at a time, none of which is answered.
fn picked(fleet: &Fleet, now: Time) -> Vec<String> {
    let mut rng = Rng::new(1);
    let mut pick = || fleet.pick_by_wait(criteria(&[]), now, &mut rng).expect("targets are up");
    let mut names: Vec<String> = (0..10).map(|_| pick().id.name.to_string()).collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn shared_ejection_lasts_until_the_turn_of_the_node() {
    let id = TargetId::from("t0");
    let mut fleet = fleet();
    assert!(fleet.eject_shared(&id, FailureKind::NotRun, at(0), at(5_000), at(1_000)));
    assert_eq!(picked(&fleet, at(4_900)), ["t1"]);
    assert!(fleet.eject_shared(&id, FailureKind::NotRun, at(0), at(9_000), at(2_000)));
    assert_eq!(picked(&fleet, at(5_000)), ["t0"], "its turn stays");
    fleet.observe(&id, Observation::Rejected, at(5_010));
    fleet.defer_probe(&id, at(12_000));
    assert_eq!(picked(&fleet, at(11_900)), ["t1"], "the next turn");
}

#[test]
fn few_nodes_that_are_left_soon_probe_a_target_that_many_ejected() {
    let id = TargetId::from("t0");
    let mut rng = Rng::new(1);
    for turn in [500, 57_000] {
        let mut fleet = fleet();
        fleet.eject_shared(&id, FailureKind::NotRun, at(0), at(turn), at(100));
        fleet.redraw_turns(max_probe_interval(86), at(200), &mut rng);
        assert_eq!(picked(&fleet, at(turn - 1)), ["t1"], "all are up, {turn} ms");
        fleet.redraw_turns(max_probe_interval(2), at(200), &mut rng);
        assert_eq!(picked(&fleet, at(1_600)), ["t0"], "two are left, {turn} ms");
    }
}

#[test]
fn node_that_was_served_since_ignores_the_announcement() {
    let id = TargetId::from("t0");
    let mut fleet = fleet();
    fleet.observe(&id, answered(20), at(900));
    assert!(!fleet.eject_shared(&id, FailureKind::NotRun, at(900), at(5_000), at(1_000)));
    assert!(fleet.eject_shared(&id, FailureKind::NotRun, at(901), at(5_000), at(1_000)));
}

#[test]
fn recovery_shown_by_another_node_brings_the_probe_forward() {
    let id = TargetId::from("t0");
    let mut fleet = fleet();
    assert!(!fleet.end_shared_ejection(&id, at(10), at(5)), "was not ejected");
    fleet.eject_shared(&id, FailureKind::Failed, at(0), at(60_000), at(1_000));
    fleet.observe(&"t1".into(), answered(20), at(1_500));
    assert!(fleet.end_shared_ejection(&id, at(2_000), at(1_500)));
    assert_eq!(fleet.get(&id).and_then(|t| t.answer_ms(at(1_500))), Some(20.0), "as the others");
    assert_eq!(picked(&fleet, at(1_990)), ["t1"]);
    assert_eq!(picked(&fleet, at(2_000)), ["t0"]);
    fleet.observe(&id, answered(20), at(2_020));
    assert!(fleet.is_recovering(&id), "one answer is not enough");
    fleet.observe(&id, answered(20), at(2_200));
    assert!(!fleet.is_recovering(&id));
}

/// Guards against targets that count as busy, and so as silent, since long before a burst.
#[test]
fn a_burst_of_requests_does_not_make_its_target_silent() {
    let id = TargetId::from("t0");
    let mut fleet = fleet();
    fleet.observe(&id, Observation::Rejected, at(9_990));
    (0..3).for_each(|_| fleet.request_sent(&id, 0));
    assert_eq!(fleet.count_silent(at(9_000)), 0, "none is sent yet");
    assert_eq!(fleet.evidence(&id, at(9_000), at(10_000)), Evidence::Failed);
    for ms in [10_000, 10_001, 10_002] {
        fleet.record_attempt(&id, at(ms));
    }
    assert_eq!(fleet.count_silent(at(9_000)), 0);
    assert_eq!(fleet.count_silent(at(10_001)), 1, "in flight since the first was sent");
    assert_eq!(fleet.evidence(&id, at(9_000), at(10_010)), Evidence::Failed);
}
