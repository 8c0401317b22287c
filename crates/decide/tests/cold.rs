//! Cold targets: which node may start requests there, and at which rate.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::fleet::{ColdBounds, ColdLimit, ColdStarts, Fleet, PickCriteria};
use decide::rng::Rng;
use model::Time;
use model::forward::{ColdTargets, Evacuations, Target, TargetId};
use proptest::prelude::*;
use support::{at, criteria, target};

fn cold_target(cold_ms: u64) -> Target {
    Target { cold_ms, ..target("t0", "a") }
}

const BOUNDS: ColdBounds = ColdBounds { overrun: 1.5, slack: 5.0 };

fn limit(per_s: f64) -> ColdLimit {
    let cold = ColdTargets { lasts_ms: 3000, per_s };
    ColdLimit::for_service(&cold, BOUNDS).expect("cold targets are limited")
}

fn pick(fleet: &Fleet, per_s: f64, cold_starts: ColdStarts<'_>, now: Time) -> Option<TargetId> {
    let criteria = PickCriteria { cold_limit: Some(limit(per_s)), cold_starts, ..criteria(&[]) };
    fleet.pick_by_wait(criteria, now, &mut Rng::new(1)).map(|t| t.id)
}

#[test]
fn owner_spaces_starts_evenly_and_below_the_limit() {
    let ms = |ms| Some(Duration::from_millis(ms));
    // Requests per second, factor, additional requests, and the interval between two starts.
    let cases = [
        (9.1, 1.5, 5.0, ms(250)),
        (1.0, 1.5, 5.0, ms(1250)),
        (1.0, 1.5, 3.0, ms(2500)),
        (1.0, 1.0, 0.0, None),
        (100.0, 1.0, 0.0, Some(Duration::from_millis(1250) / 32)),
    ];
    for (per_s, overrun, slack, interval) in cases {
        let cold = ColdTargets { lasts_ms: 3000, per_s };
        let limit = ColdLimit::for_service(&cold, ColdBounds { overrun, slack });
        assert_eq!(limit.map(|l| l.interval), Some(interval), "{per_s} x {overrun} + {slack}");
    }
    let unlimited = ColdTargets { lasts_ms: 3000, per_s: 0.0 };
    assert_eq!(ColdLimit::for_service(&unlimited, BOUNDS), None);
}

#[test]
fn cold_target_gets_one_request_at_a_time_from_its_owner_only() {
    let mut fleet = Fleet::default();
    fleet.upsert(cold_target(3000), at(0));
    let own = |id: &TargetId| &*id.name == "t0";
    let owned = ColdStarts::InTurn(&own);
    assert_eq!(pick(&fleet, 9.1, ColdStarts::Avoid, at(10)), None);
    assert_eq!(pick(&fleet, 9.1, ColdStarts::InTurn(&|_| false), at(10)), None);
    assert_eq!(pick(&fleet, 9.1, owned, at(10)).map(|t| t.name).as_deref(), Some("t0"));
    fleet.record_cold_start(&"t0".into(), limit(9.1), at(10));
    assert_eq!(pick(&fleet, 9.1, owned, at(200)), None, "the next start is delayed");
    assert_eq!(pick(&fleet, 9.1, owned, at(260)).map(|t| t.name).as_deref(), Some("t0"));
    assert_eq!(
        pick(&fleet, 9.1, ColdStarts::Avoid, at(3000)).map(|t| t.name).as_deref(),
        Some("t0"),
        "warm by now"
    );
    fleet.record_cold_start(&"t0".into(), limit(9.1), at(3000));
    assert!(
        pick(&fleet, 9.1, ColdStarts::Avoid, at(3000)).is_some(),
        "warm targets are not limited"
    );
    fleet.upsert(cold_target(500), at(4000));
    assert_eq!(pick(&fleet, 9.1, ColdStarts::Avoid, at(4400)), None, "cold again");
    assert!(pick(&fleet, 9.1, ColdStarts::Avoid, at(4500)).is_some());
}

#[test]
fn targets_are_cold_after_the_evacuation_of_their_domain_ends() {
    let mut fleet = Fleet::default();
    fleet.upsert(cold_target(0), at(0));
    let list = |at, domains: &[&str]| Evacuations {
        at,
        domains: domains.iter().map(|d| (*d).into()).collect(),
    };
    fleet.set_evacuations(list(5, &["a"]), at(0));
    fleet.set_evacuations(list(6, &[]), at(8000));
    let pick = |fleet: &Fleet, ms| pick(fleet, 9.1, ColdStarts::Avoid, at(ms));
    assert_eq!(pick(&fleet, 8001), None, "the entry reflects it only a moment later");
    fleet.upsert(cold_target(0), at(8500));
    assert_eq!(pick(&fleet, 10_999), None, "an entry without a cold time may be outdated");
    assert!(pick(&fleet, 11_000).is_some());
}

#[test]
fn entries_for_peers_carry_the_remaining_cold_time() {
    let mut fleet = Fleet::default();
    assert!(fleet.upsert(cold_target(3000), at(1000)));
    assert!(!fleet.upsert(cold_target(1800), at(2200)), "the remaining cold time is unchanged");
    assert_eq!(fleet.targets(at(2500))[0].cold_ms, 1500);
    assert_eq!(fleet.targets(at(9000))[0].cold_ms, 0);
    assert!(fleet.upsert(cold_target(0), at(3000)), "warm earlier than expected");
}

proptest! {
    /// Owners that do not know of each other, each with unlimited work, and requests that arrive up
    /// to 250 ms late: no window of one second receives more than allowed.
    #[test]
    fn no_second_exceeds_the_allowed_rate(
        per_s in 0.5f64..60.0,
        overrun in 1.0f64..2.0,
        slack in 0.0f64..10.0,
        starts in proptest::array::uniform3(0u64..400),
        seed in any::<u64>(),
    ) {
        let cold = ColdTargets { lasts_ms: 6000, per_s };
        let limit = ColdLimit::for_service(&cold, ColdBounds { overrun, slack })
            .expect("cold targets are limited");
        let mut rng = Rng::new(seed);
        let mut arrivals = Vec::new();
        for start in starts {
            let mut fleet = Fleet::default();
            fleet.upsert(cold_target(6000), at(0));
            for ms in start..6000 {
                let criteria = PickCriteria {
                    max_per_target: u32::MAX,
                    cold_limit: Some(limit),
                    cold_starts: ColdStarts::InTurn(&|_| true),
                    ..criteria(&[])
                };
                if fleet.pick_by_wait(criteria, at(ms), &mut rng).is_some() {
                    fleet.record_cold_start(&"t0".into(), limit, at(ms));
                    arrivals.push(ms + rng.below(250) as u64);
                }
            }
        }
        arrivals.sort_unstable();
        let allowed = per_s * overrun + slack;
        for first in &arrivals {
            let seen = arrivals.iter().filter(|a| (*first..first + 1000).contains(*a)).count();
            prop_assert!(seen as f64 <= allowed, "{} of {}", seen, allowed);
        }
    }
}
