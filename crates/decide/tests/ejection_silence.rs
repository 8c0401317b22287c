//! Ejections of targets that paused while they ran several requests.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use decide::fleet::{Fleet, Observation};
use model::forward::TargetId;
use support::{at, target};

/// Fails runs of a target at these times.
fn interrupt(fleet: &mut Fleet, id: &TargetId, times: impl IntoIterator<Item = u64>) {
    for ms in times {
        fleet.observe(id, Observation::Interrupted, at(ms));
    }
}

fn is_ejected(fleet: &Fleet, id: &TargetId, ms: u64) -> bool {
    fleet.get(id).is_some_and(|t| t.is_ejected(at(ms)))
}

#[test]
fn runs_that_fail_during_an_ejection_do_not_prolong_it() {
    let mut fleet = Fleet::default();
    fleet.upsert(target("t0", "a"), at(0));
    let id = target("t0", "a").id;
    interrupt(&mut fleet, &id, (1000..1300).step_by(20));
    assert!(is_ejected(&fleet, &id, 1300));
    assert!(!is_ejected(&fleet, &id, 1500), "0.4 s after the runs that ejected it");
    interrupt(&mut fleet, &id, [1600]);
    assert!(is_ejected(&fleet, &id, 2300), "for longer each time");
    assert!(!is_ejected(&fleet, &id, 2500));
}
