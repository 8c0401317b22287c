//! Targets that are silent while they run requests, and what may replace their runs.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::fleet::{Fleet, Observation};
use decide::resend::{Attempts, BudgetTuning, Ending, Execution, RepeatBudget};
use model::Time;
use model::forward::{Repeat, TargetId};
use support::{at, target};

/// Targets of the service, of which those named run a request sent at time 0.
fn fleet(busy: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    for name in ["t0", "t1", "t2"] {
        fleet.upsert(target(name, "a"), at(0));
    }
    for name in busy {
        fleet.request_sent(&id(name), 0);
        fleet.record_attempt(&id(name), at(0));
    }
    fleet
}

fn id(name: &str) -> TargetId {
    target(name, "a").id
}

fn is_service_silent(fleet: &Fleet, since: Time) -> bool {
    fleet.is_service_silent(&target("t0", "a").service, since)
}

#[test]
fn a_target_with_a_request_and_without_a_sign_of_life_is_silent() {
    let mut fleet = fleet(&["t0", "t1"]);
    let service = target("t0", "a").service;
    fleet.record_sign(&id("t1"), at(600));
    let silent = |fleet: &Fleet, since| {
        fleet.silent_targets(&service, at(since)).map(|id| id.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(silent(&fleet, 500), ["t0"], "idle targets are not silent");
    fleet.observe(&id("t0"), Observation::Answered(Duration::from_millis(1)), at(700));
    assert_eq!(silent(&fleet, 500), [""; 0]);
}

#[test]
fn silence_is_general_if_several_targets_are_silent_and_none_is_heard() {
    assert!(!is_service_silent(&fleet(&["t0"]), at(500)), "a single target is silent");
    let mut several = fleet(&["t0", "t1"]);
    assert!(is_service_silent(&several, at(500)));
    several.record_sign(&id("t2"), at(600));
    assert!(!is_service_silent(&several, at(500)), "another one is heard");
    assert!(is_service_silent(&several, at(700)), "it was heard earlier");
}

#[test]
fn rejection_of_a_replacement_does_not_prove_that_the_silent_run_did_not_run() {
    let mut attempts = Attempts::new(Repeat::Idempotent, 2);
    attempts.connected();
    attempts.connected();
    attempts.record(Execution::Excluded);
    assert_eq!(attempts.ending(), Ending::Unknown);
    assert!(!attempts.may_resend(Duration::from_secs(1)), "two targets were reached");
}

#[test]
fn repeat_that_is_not_sent_returns_to_the_budget() {
    let tuning = BudgetTuning { ratio: 0.0, window: Duration::from_secs(10), slack: 2.0 };
    let mut budget = RepeatBudget::new(tuning, true, 1);
    assert!(budget.withdraw(at(0), 1));
    assert!(!budget.withdraw(at(0), 1), "70 % of the slack is one repeat");
    budget.give_back();
    assert!(budget.withdraw(at(0), 1));
}
