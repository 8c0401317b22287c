//! State of targets, and the choice among them.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use decide::fleet::{Fleet, Home, Observation, PickCriteria, Regions, Terms, home_weights};
use decide::region::Map;
use decide::rng::Rng;
use model::forward::{
    Allowed, PromptPart, ReportedLimit, ReportedLoad, Target, TargetId, TargetLoad,
};
use support::{at, criteria, target};

fn fleet(n: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..n {
        fleet.upsert(target(&format!("t{i}"), ["a", "b", "c"][i % 3]), at(0));
    }
    fleet
}

fn home(key: u64) -> Home {
    Home { key, shared_tokens: 100 }
}

#[test]
fn home_of_a_prompt_is_its_last_large_shared_part() {
    let home = |parts: &[(u64, u64)]| {
        let prompt: Vec<PromptPart> =
            parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect();
        Home::for_prompt(&prompt).map(|h| (h.key, h.shared_tokens))
    };
    assert_eq!(home(&[]), None);
    assert_eq!(home(&[(7, 50)]), Some((7, 50)));
    assert_eq!(home(&[(7, 50), (8, 900)]), Some((7, 50)), "the last part is not shared");
    assert_eq!(home(&[(7, 50), (8, 900), (9, 5000)]), Some((8, 950)));
    assert_eq!(
        home(&[(7, 900), (8, 300), (9, 50)]),
        Some((8, 1200)),
        "the first part is shared by many"
    );
    assert_eq!(
        home(&[(7, 900), (8, 100), (9, 50)]),
        Some((7, 1000)),
        "too small to determine the home"
    );
    assert_eq!(home(&[(7, 900), (8, 400), (6, 20), (9, 50)]), Some((8, 1320)));
}

#[test]
fn nodes_with_the_same_targets_pick_the_same_homes() {
    let (one, mut other) = (fleet(12), Fleet::default());
    for i in (0..12).rev() {
        other.upsert(target(&format!("t{i}"), ["a", "b", "c"][i % 3]), at(0));
    }
    let mut homes = BTreeSet::new();
    for key in 0..200 {
        let pick = |f: &Fleet| f.pick_home(criteria(&[]), home(key), at(0)).map(|t| t.id);
        assert_eq!(pick(&one), pick(&other));
        homes.extend(pick(&one));
    }
    assert_eq!(homes.len(), 12, "every target is a home");
}

#[test]
fn removing_a_home_moves_only_its_own_prompts() {
    let mut fleet = fleet(12);
    let before: Vec<_> = (0..200).map(|k| fleet.pick_home(criteria(&[]), home(k), at(0))).collect();
    fleet.remove(&"t3".into(), None, at(0));
    for (key, was) in before.into_iter().enumerate() {
        let is = fleet.pick_home(criteria(&[]), home(key as u64), at(0));
        let moved = was != is;
        assert_eq!(moved, was.is_some_and(|t| &*t.id.name == "t3"));
    }
}

#[test]
fn draining_removed_or_tried_targets_are_not_picked() {
    let mut fleet = fleet(3);
    fleet.upsert(Target { draining: true, ..target("t0", "a") }, at(0));
    fleet.remove(&"t1".into(), None, at(0));
    let mut rng = Rng::new(1);
    for _ in 0..50 {
        let plain = fleet.pick_by_wait(criteria(&[]), at(0), &mut rng).map(|t| t.id);
        assert_eq!(plain.map(|t| t.name).as_deref(), Some("t2"));
    }
    let tried = ["t2".into()];
    assert_eq!(fleet.pick_by_wait(criteria(&tried), at(0), &mut rng), None);
    assert_eq!(fleet.pick_home(criteria(&tried), home(1), at(0)), None);
}

#[test]
fn entry_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut fleet = fleet(2);
    let grace = Some(at(3000));
    fleet.replace(vec![target("t0", "a")], grace, at(0));
    assert_eq!(fleet.usable("engine", Terms::ANY, at(2900)).count(), 2, "most likely alive");
    assert_eq!(fleet.targets(at(0)).len(), 1, "not listed for other nodes");
    assert_eq!(
        fleet.usable("engine", Terms::ANY, at(3000)).count(),
        1,
        "too short to interfere with a drain"
    );
    fleet.expire(at(2900));
    assert_eq!(fleet.len(), 2);
    fleet.expire(at(3000));
    assert_eq!(fleet.len(), 1);
    fleet.replace(vec![target("t0", "a"), target("t1", "b")], grace, at(0));
    assert_eq!(
        fleet.usable("engine", Terms::ANY, at(9000)).count(),
        2,
        "the entry was written again"
    );
}

#[test]
fn entry_missing_without_a_grace_period_is_removed() {
    let mut fleet = fleet(2);
    fleet.replace(vec![target("t0", "a")], None, at(0));
    assert_eq!(fleet.len(), 1);
}

#[test]
fn draining_entry_is_removed_even_during_the_grace_period() {
    let mut fleet = fleet(2);
    fleet.upsert(Target { draining: true, ..target("t1", "b") }, at(0));
    fleet.replace(vec![target("t0", "a")], Some(at(2000)), at(0));
    assert_eq!(fleet.len(), 1);
}

#[test]
fn unreachable_target_is_ejected_and_tried_again() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    fleet.observe(&"t0".into(), Observation::Unreachable, at(0));
    let pick =
        |f: &Fleet, rng: &mut Rng, ms| f.pick_by_wait(criteria(&[]), at(ms), rng).map(|t| t.id);
    assert_eq!(pick(&fleet, &mut rng, 10).map(|t| t.name).as_deref(), Some("t1"));
    fleet.observe(&"t1".into(), Observation::Unreachable, at(20));
    assert!(pick(&fleet, &mut rng, 30).is_some(), "if all are ejected, one is tried anyway");
    let tried: BTreeSet<_> = (0..50).filter_map(|_| pick(&fleet, &mut rng, 5000)).collect();
    assert!(tried.iter().any(|t| &*t.name == "t0"), "{tried:?}");
}

#[test]
fn failing_and_busy_targets_get_fewer_requests() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    for id in ["t0", "t1"] {
        fleet.observe(&id.into(), Observation::Answered(Duration::from_millis(50)), at(0));
    }
    let local = fleet.pick_by_wait(criteria(&[]), at(0), &mut rng).expect("two targets are up");
    assert_eq!(&*local.id.name, "t0", "own failure domain first");
    for _ in 0..3 {
        fleet.request_sent(&"t0".into(), 0);
    }
    let spread = fleet.pick_by_wait(criteria(&[]), at(0), &mut rng).expect("two targets are up");
    assert_eq!(&*spread.id.name, "t1");
    for _ in 0..3 {
        fleet.request_done(&"t0".into());
        fleet.observe(&"t0".into(), Observation::Failed, at(0));
    }
    let sound = fleet.pick_by_wait(criteria(&[]), at(0), &mut rng).expect("two targets are up");
    assert_eq!(&*sound.id.name, "t1");
}

/// Runs consecutive requests for `for_ms`, each as long as its target takes; returns the number
/// sent to `t0`, and to both.
fn run_requests(fleet: &mut Fleet, t0_ms: u64, t1_ms: u64, for_ms: u64) -> (usize, usize) {
    let mut rng = Rng::new(1);
    let (mut now, mut first, mut all) = (0, 0, 0);
    while now < for_ms {
        let chosen =
            fleet.pick_by_wait(criteria(&[]), at(now), &mut rng).expect("two targets are up").id;
        let took = if &*chosen.name == "t0" { t0_ms } else { t1_ms };
        now += took;
        first += usize::from(&*chosen.name == "t0");
        all += 1;
        let answered = Observation::Answered(Duration::from_millis(took));
        fleet.observe(&chosen, answered, at(now));
    }
    (first, all)
}

#[test]
fn once_slow_target_is_tried_again_and_a_slow_one_gets_few_requests() {
    for once_ms in [34, 60, 200] {
        let mut fleet = fleet(2);
        fleet.observe(&"t0".into(), Observation::Answered(Duration::from_millis(once_ms)), at(0));
        fleet.observe(&"t1".into(), Observation::Answered(Duration::from_millis(32)), at(0));
        let (first, all) = run_requests(&mut fleet, 30, 32, 60_000);
        assert!(first * 3 > all, "{first} of {all} after {once_ms} ms once");
    }
    let mut fleet = fleet(2);
    let (first, all) = run_requests(&mut fleet, 300, 30, 60_000);
    assert!((2..20).contains(&first), "{first} of {all} went to the slow one");
}

/// Target picked `ms` after `t0`, one of two with equal latency, reported this load.
fn chosen_after(load: TargetLoad, ms: u64) -> String {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    for id in ["t0", "t1"] {
        fleet.observe(&id.into(), Observation::Answered(Duration::from_millis(50)), at(0));
    }
    assert!(!fleet.record_load(&"t0".into(), ReportedLoad::Load(load), at(0)));
    let chosen = fleet.pick_by_wait(criteria(&[]), at(ms), &mut rng).expect("two targets are up");
    chosen.id.name.to_string()
}

#[test]
fn reported_load_shifts_requests_for_a_short_time() {
    let idle = TargetLoad { running: 0, waiting: 0, slots: 4, slowdown: 1.0 };
    let others_use_it = TargetLoad { running: 4, waiting: 3, ..idle };
    let others_slow_it = TargetLoad { slowdown: 2.5, ..idle };
    assert_eq!(chosen_after(idle, 0), "t0", "own failure domain first");
    for load in [others_use_it, others_slow_it] {
        assert_eq!(chosen_after(load, 0), "t1", "{load:?}");
        assert_eq!(chosen_after(load, 5_000), "t0", "{load:?} has decayed");
    }
}

#[test]
fn own_requests_count_once_and_unreadable_loads_are_ignored() {
    let mut fleet = fleet(1);
    let id = TargetId::from("t0");
    let load = |fleet: &Fleet| fleet.get(&id).expect("known target").load(at(0));
    for _ in 0..3 {
        fleet.request_sent(&id, 0);
    }
    // The answer to one of the three requests carries this report.
    let report = TargetLoad { running: 2, waiting: 0, slots: 4, slowdown: 1.0 };
    fleet.record_load(&id, ReportedLoad::Load(report), at(0));
    fleet.request_done(&id);
    assert_eq!(load(&fleet), 0.5, "two of four slots");
    assert!(fleet.record_load(&id, ReportedLoad::Unreadable, at(0)), "reported once");
    assert!(!fleet.record_load(&id, ReportedLoad::Unreadable, at(0)));
    assert_eq!(load(&fleet), 0.5);
    assert!(!fleet.record_load(&"t9".into(), ReportedLoad::Unreadable, at(0)), "unknown target");
}

#[test]
fn failed_target_is_tried_again() {
    let mut fleet = fleet(2);
    for id in ["t0", "t1"] {
        fleet.observe(&id.into(), Observation::Answered(Duration::from_millis(30)), at(0));
    }
    for _ in 0..3 {
        fleet.observe(&"t0".into(), Observation::Failed, at(0));
    }
    let (first, all) = run_requests(&mut fleet, 28, 30, 30_000);
    assert!(first * 4 > all, "{first} of {all}");
}

#[test]
fn target_gets_at_most_this_nodes_share_of_connections() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    let criteria = PickCriteria { max_per_target: 2, ..criteria(&[]) };
    let mut taken = BTreeSet::new();
    for _ in 0..4 {
        let target = fleet.pick_by_wait(criteria, at(0), &mut rng).expect("a slot is free");
        fleet.request_sent(&target.id, 0);
        taken.insert(target.id);
    }
    assert_eq!(taken.len(), 2);
    assert_eq!(fleet.pick_by_wait(criteria, at(0), &mut rng), None);
    assert_eq!(fleet.pick_home(criteria, home(1), at(0)), None);
    fleet.request_done(&"t1".into());
    assert_eq!(fleet.pick_home(criteria, home(1), at(0)).map(|t| t.id.name).as_deref(), Some("t1"));
}

/// Guards against a target with a limit that gets no requests after one slow answer while another
/// target is free, so that the end of its limit is never observed.
#[test]
fn slow_target_with_a_limit_is_probed_periodically() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    let id = TargetId::from("t0");
    fleet.observe(&id, Observation::Answered(Duration::from_secs(1)), at(0));
    let mut chosen = |fleet: &Fleet, ms| {
        fleet.pick_by_wait(criteria(&[]), at(ms), &mut rng).map(|t| t.id.name.to_string())
    };
    assert_eq!(chosen(&fleet, 5_000).as_deref(), Some("t1"), "names no limit");
    fleet.record_limit(&id, ReportedLimit::PerSecond(1.0), at(5_000), at(5_010));
    assert_eq!(chosen(&fleet, 7_000).as_deref(), Some("t1"), "answered a moment ago");
    assert_eq!(chosen(&fleet, 7_010).as_deref(), Some("t0"));
    fleet.limits_mut().request_permit(&id, at(7_010));
    assert_eq!(chosen(&fleet, 9_000).as_deref(), Some("t1"));
    fleet.limits_mut().close(&id, at(9_500));
    assert_eq!(chosen(&fleet, 9_400).as_deref(), Some("t1"), "closed by its keeper");
    assert_eq!(chosen(&fleet, 9_500).as_deref(), Some("t0"));
}

#[test]
fn overloaded_home_spills_to_the_next_in_order() {
    let mut fleet = fleet(6);
    let first = fleet.pick_home(criteria(&[]), home(5), at(0)).expect("six targets are up");
    fleet.request_sent(&first.id, 1_000_000);
    let second = fleet.pick_home(criteria(&[]), home(5), at(0)).expect("six targets are up");
    assert_ne!(first.id, second.id);
    fleet.prompt_read(&first.id, 1_000_000);
    assert_eq!(fleet.pick_home(criteria(&[]), home(5), at(0)).map(|t| t.id), Some(first.id));
}

#[test]
fn homes_are_weighted_by_workers_of_their_inputs() {
    let mut fleet = fleet(18);
    let workers = [("m1", "a"), ("m2", "a"), ("m3", "b"), ("m4", "b"), ("m5", "c")];
    for (id, domain) in workers {
        fleet.upsert(Target { service: "encode".into(), ..target(id, domain) }, at(0));
    }
    let by_domain = home_weights(&fleet, "encode", "engine", &Allowed::ANY, at(0));
    let mut homes = [0.0; 3];
    let keys = 3000;
    for key in 0..keys {
        let criteria = PickCriteria { home_weights: &by_domain, ..criteria(&[]) };
        let home = fleet.pick_home(criteria, home(key), at(0)).expect("18 targets are up");
        homes[["a", "b", "c"].iter().position(|d| *d == &*home.domain).expect("a domain")] += 1.0;
    }
    for (got, workers) in homes.into_iter().zip([2.0, 2.0, 1.0]) {
        let expected = keys as f64 * workers / 5.0;
        assert!((got - expected).abs() < expected * 0.15, "{homes:?}");
    }
    assert!(
        home_weights(&fleet, "unknown", "engine", &Allowed::ANY, at(0)).is_empty(),
        "no workers, no weights"
    );
}

#[test]
fn the_local_region_is_preferred_until_others_are_faster() {
    let regions = [("a", "north"), ("b", "south"), ("c", "south")];
    let regions = regions.map(|(d, r)| (d.into(), r.into())).into_iter().collect();
    let map = Map::new("a".into(), Regions::new(regions));
    let own = "north".into();
    let criteria = PickCriteria { map: &map, home_region: Some(&own), ..criteria(&[]) };
    let mut fleet = fleet(12);
    let mut rng = Rng::new(1);
    let mut chosen = |fleet: &Fleet| {
        let plain = (0..50).filter_map(|_| fleet.pick_by_wait(criteria, at(0), &mut rng));
        let mut domains: BTreeSet<String> = plain.map(|t| t.domain.to_string()).collect();
        let homes = (0..50).filter_map(|key| fleet.pick_home(criteria, home(key), at(0)));
        domains.extend(homes.map(|t| t.domain.to_string()));
        domains.into_iter().collect::<String>()
    };
    assert_eq!(chosen(&fleet), "a", "40 ms exceed the wait in the own region");
    for _ in 0..12 {
        (0..12).step_by(3).for_each(|i| fleet.request_sent(&format!("t{i}").as_str().into(), 0));
    }
    assert_eq!(chosen(&fleet), "bc", "the own region is overloaded");
}
