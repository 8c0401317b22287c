//! Beliefs about targets and the choice among them.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use decide::fleet::{Fleet, Home, Observation, PickCriteria, Regions, Terms, shares};
use decide::region::Map;
use decide::rng::Rng;
use model::forward::{Allowed, NamedLimit, PromptPart, ReportedLoad, Target, TargetId, TargetLoad};
use support::{at, target, wanted};

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
fn a_prompts_home_is_its_last_shared_part_of_some_size() {
    let home = |parts: &[(u64, u64)]| {
        let prompt: Vec<PromptPart> =
            parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect();
        Home::of(&prompt).map(|h| (h.key, h.shared_tokens))
    };
    assert_eq!(home(&[]), None);
    assert_eq!(home(&[(7, 50)]), Some((7, 50)));
    assert_eq!(home(&[(7, 50), (8, 900)]), Some((7, 50)), "the last part is the request's own");
    assert_eq!(home(&[(7, 50), (8, 900), (9, 5000)]), Some((8, 950)));
    assert_eq!(home(&[(7, 900), (8, 300), (9, 50)]), Some((8, 1200)), "many share the first");
    assert_eq!(home(&[(7, 900), (8, 100), (9, 50)]), Some((7, 1000)), "too small to decide");
    assert_eq!(home(&[(7, 900), (8, 400), (6, 20), (9, 50)]), Some((8, 1320)));
}

#[test]
fn nodes_that_know_the_same_targets_find_the_same_homes() {
    let (one, mut other) = (fleet(12), Fleet::default());
    for i in (0..12).rev() {
        other.upsert(target(&format!("t{i}"), ["a", "b", "c"][i % 3]), at(0));
    }
    let mut homes = BTreeSet::new();
    for key in 0..200 {
        let pick = |f: &Fleet| f.pick_home(wanted(&[]), home(key), at(0)).map(|t| t.id);
        assert_eq!(pick(&one), pick(&other));
        homes.extend(pick(&one));
    }
    assert_eq!(homes.len(), 12, "every target is somebody's home");
}

#[test]
fn a_lost_home_moves_only_its_own_prompts() {
    let mut fleet = fleet(12);
    let before: Vec<_> = (0..200).map(|k| fleet.pick_home(wanted(&[]), home(k), at(0))).collect();
    fleet.remove(&"t3".into(), None, at(0));
    for (key, was) in before.into_iter().enumerate() {
        let is = fleet.pick_home(wanted(&[]), home(key as u64), at(0));
        let moved = was != is;
        assert_eq!(moved, was.is_some_and(|t| &*t.id.name == "t3"));
    }
}

#[test]
fn what_drains_is_gone_or_was_tried_gets_nothing_new() {
    let mut fleet = fleet(3);
    fleet.upsert(Target { draining: true, ..target("t0", "a") }, at(0));
    fleet.remove(&"t1".into(), None, at(0));
    let mut rng = Rng::new(1);
    for _ in 0..50 {
        let plain = fleet.pick_plain(wanted(&[]), at(0), &mut rng).map(|t| t.id);
        assert_eq!(plain.map(|t| t.name).as_deref(), Some("t2"));
    }
    let tried = ["t2".into()];
    assert_eq!(fleet.pick_plain(wanted(&tried), at(0), &mut rng), None);
    assert_eq!(fleet.pick_home(wanted(&tried), home(1), at(0)), None);
}

#[test]
fn an_entry_that_vanished_around_an_outage_is_kept_until_it_should_be_back() {
    let mut fleet = fleet(2);
    let doubt = Some(at(3000));
    fleet.replace(vec![target("t0", "a")], doubt, at(0));
    assert_eq!(fleet.usable("engine", Terms::ANY, at(2900)).count(), 2, "most likely it lives");
    assert_eq!(fleet.targets(at(0)).len(), 1, "but other nodes are not told of it");
    assert_eq!(
        fleet.usable("engine", Terms::ANY, at(3000)).count(),
        1,
        "not for long enough to break a drain"
    );
    fleet.expire(at(2900));
    assert_eq!(fleet.len(), 2);
    fleet.expire(at(3000));
    assert_eq!(fleet.len(), 1);
    fleet.replace(vec![target("t0", "a"), target("t1", "b")], doubt, at(0));
    assert_eq!(fleet.usable("engine", Terms::ANY, at(9000)).count(), 2, "it wrote again");
}

#[test]
fn an_entry_that_vanishes_when_the_outage_is_long_over_is_gone() {
    let mut fleet = fleet(2);
    fleet.replace(vec![target("t0", "a")], None, at(0));
    assert_eq!(fleet.len(), 1);
}

#[test]
fn a_draining_entry_that_vanishes_is_gone_even_around_an_outage() {
    let mut fleet = fleet(2);
    fleet.upsert(Target { draining: true, ..target("t1", "b") }, at(0));
    fleet.replace(vec![target("t0", "a")], Some(at(2000)), at(0));
    assert_eq!(fleet.len(), 1);
}

#[test]
fn a_target_that_cannot_be_reached_is_left_out_and_tried_again() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    fleet.observe(&"t0".into(), Observation::Unreachable, at(0));
    let pick = |f: &Fleet, rng: &mut Rng, ms| f.pick_plain(wanted(&[]), at(ms), rng).map(|t| t.id);
    assert_eq!(pick(&fleet, &mut rng, 10).map(|t| t.name).as_deref(), Some("t1"));
    fleet.observe(&"t1".into(), Observation::Unreachable, at(20));
    assert!(pick(&fleet, &mut rng, 30).is_some(), "with none sound, one is tried all the same");
    let tried: BTreeSet<_> = (0..50).filter_map(|_| pick(&fleet, &mut rng, 5000)).collect();
    assert!(tried.iter().any(|t| &*t.name == "t0"), "{tried:?}");
}

#[test]
fn failing_targets_get_less_and_busy_ones_too() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    for id in ["t0", "t1"] {
        fleet.observe(&id.into(), Observation::Answered(Duration::from_millis(50)), at(0));
    }
    let local = fleet.pick_plain(wanted(&[]), at(0), &mut rng).expect("two are up");
    assert_eq!(&*local.id.name, "t0", "its own failure domain first");
    for _ in 0..3 {
        fleet.request_sent(&"t0".into(), 0);
    }
    let spread = fleet.pick_plain(wanted(&[]), at(0), &mut rng).expect("two are up");
    assert_eq!(&*spread.id.name, "t1");
    for _ in 0..3 {
        fleet.request_done(&"t0".into());
        fleet.observe(&"t0".into(), Observation::Failed, at(0));
    }
    let sound = fleet.pick_plain(wanted(&[]), at(0), &mut rng).expect("two are up");
    assert_eq!(&*sound.id.name, "t1");
}

/// Requests one after the other, each as long as its target takes; those that went to `t0`, of
/// all, within this time.
fn in_turn(fleet: &mut Fleet, t0_ms: u64, t1_ms: u64, for_ms: u64) -> (usize, usize) {
    let mut rng = Rng::new(1);
    let (mut now, mut first, mut all) = (0, 0, 0);
    while now < for_ms {
        let chosen = fleet.pick_plain(wanted(&[]), at(now), &mut rng).expect("two are up").id;
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
fn a_target_that_was_slow_once_is_tried_again_and_a_slow_one_gets_little() {
    for once_ms in [34, 60, 200] {
        let mut fleet = fleet(2);
        fleet.observe(&"t0".into(), Observation::Answered(Duration::from_millis(once_ms)), at(0));
        fleet.observe(&"t1".into(), Observation::Answered(Duration::from_millis(32)), at(0));
        let (first, all) = in_turn(&mut fleet, 30, 32, 60_000);
        assert!(first * 3 > all, "{first} of {all} after {once_ms} ms once");
    }
    let mut fleet = fleet(2);
    let (first, all) = in_turn(&mut fleet, 300, 30, 60_000);
    assert!((2..20).contains(&first), "{first} of {all} went to the slow one");
}

/// A target that told its load, and one of the same pace; which is chosen after this time.
fn chosen_after(load: TargetLoad, ms: u64) -> String {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    for id in ["t0", "t1"] {
        fleet.observe(&id.into(), Observation::Answered(Duration::from_millis(50)), at(0));
    }
    assert!(!fleet.note_load(&"t0".into(), ReportedLoad::Load(load), at(0)));
    let chosen = fleet.pick_plain(wanted(&[]), at(ms), &mut rng).expect("two are up");
    chosen.id.name.to_string()
}

#[test]
fn a_target_that_told_much_load_gets_less_for_a_moment() {
    let idle = TargetLoad { running: 0, waiting: 0, slots: 4, slowdown: 1.0 };
    let others_use_it = TargetLoad { running: 4, waiting: 3, ..idle };
    let others_slow_it = TargetLoad { slowdown: 2.5, ..idle };
    assert_eq!(chosen_after(idle, 0), "t0", "its own failure domain first");
    for load in [others_use_it, others_slow_it] {
        assert_eq!(chosen_after(load, 0), "t1", "{load:?}");
        assert_eq!(chosen_after(load, 5_000), "t0", "{load:?} is long past");
    }
}

#[test]
fn requests_of_this_node_are_not_counted_twice_and_bad_loads_change_nothing() {
    let mut fleet = fleet(1);
    let id = TargetId::from("t0");
    let load = |fleet: &Fleet| fleet.get(&id).expect("it is known").load(at(0));
    for _ in 0..3 {
        fleet.request_sent(&id, 0);
    }
    // One of the three has just been answered with this.
    let told = TargetLoad { running: 2, waiting: 0, slots: 4, slowdown: 1.0 };
    fleet.note_load(&id, ReportedLoad::Load(told), at(0));
    fleet.request_done(&id);
    assert_eq!(load(&fleet), 0.5, "two of its four places");
    assert!(fleet.note_load(&id, ReportedLoad::Unreadable, at(0)), "told once");
    assert!(!fleet.note_load(&id, ReportedLoad::Unreadable, at(0)));
    assert_eq!(load(&fleet), 0.5);
    assert!(!fleet.note_load(&"t9".into(), ReportedLoad::Unreadable, at(0)), "it is not known");
}

#[test]
fn a_target_that_failed_is_tried_again() {
    let mut fleet = fleet(2);
    for id in ["t0", "t1"] {
        fleet.observe(&id.into(), Observation::Answered(Duration::from_millis(30)), at(0));
    }
    for _ in 0..3 {
        fleet.observe(&"t0".into(), Observation::Failed, at(0));
    }
    let (first, all) = in_turn(&mut fleet, 28, 30, 30_000);
    assert!(first * 4 > all, "{first} of {all}");
}

#[test]
fn a_target_gets_no_more_than_this_nodes_part_of_its_connections() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    let wanted = PickCriteria { max_per_target: 2, ..wanted(&[]) };
    let mut taken = BTreeSet::new();
    for _ in 0..4 {
        let target = fleet.pick_plain(wanted, at(0), &mut rng).expect("there is room");
        fleet.request_sent(&target.id, 0);
        taken.insert(target.id);
    }
    assert_eq!(taken.len(), 2);
    assert_eq!(fleet.pick_plain(wanted, at(0), &mut rng), None);
    assert_eq!(fleet.pick_home(wanted, home(1), at(0)), None);
    fleet.request_done(&"t1".into());
    assert_eq!(fleet.pick_home(wanted, home(1), at(0)).map(|t| t.id.name).as_deref(), Some("t1"));
}

/// A target that names a limit was chosen by its own answers alone: slow once, it got nothing while
/// another one was free, and nobody heard that its limit was over.
#[test]
fn a_target_that_names_a_limit_is_asked_now_and_then_however_slow_it_was() {
    let mut fleet = fleet(2);
    let mut rng = Rng::new(1);
    let id = TargetId::from("t0");
    fleet.observe(&id, Observation::Answered(Duration::from_secs(1)), at(0));
    let mut chosen = |fleet: &Fleet, ms| {
        fleet.pick_plain(wanted(&[]), at(ms), &mut rng).map(|t| t.id.name.to_string())
    };
    assert_eq!(chosen(&fleet, 5_000).as_deref(), Some("t1"), "it names no limit");
    fleet.record_limit(&id, NamedLimit::PerSecond(1.0), at(5_000), at(5_010));
    assert_eq!(chosen(&fleet, 7_000).as_deref(), Some("t1"), "it has just answered");
    assert_eq!(chosen(&fleet, 7_010).as_deref(), Some("t0"));
    fleet.limits_mut().request_permit(&id, at(7_010));
    assert_eq!(chosen(&fleet, 9_000).as_deref(), Some("t1"));
    fleet.limits_mut().close(&id, at(9_500));
    assert_eq!(chosen(&fleet, 9_400).as_deref(), Some("t1"), "its keeper said so");
    assert_eq!(chosen(&fleet, 9_500).as_deref(), Some("t0"));
}

#[test]
fn a_home_with_too_much_to_read_hands_on_in_the_same_order() {
    let mut fleet = fleet(6);
    let first = fleet.pick_home(wanted(&[]), home(5), at(0)).expect("six are up");
    fleet.request_sent(&first.id, 1_000_000);
    let second = fleet.pick_home(wanted(&[]), home(5), at(0)).expect("six are up");
    assert_ne!(first.id, second.id);
    fleet.prompt_read(&first.id, 1_000_000);
    assert_eq!(fleet.pick_home(wanted(&[]), home(5), at(0)).map(|t| t.id), Some(first.id));
}

#[test]
fn homes_follow_the_makers_of_their_inputs() {
    let mut fleet = fleet(18);
    let makers = [("m1", "a"), ("m2", "a"), ("m3", "b"), ("m4", "b"), ("m5", "c")];
    for (id, domain) in makers {
        fleet.upsert(Target { service: "encode".into(), ..target(id, domain) }, at(0));
    }
    let by_domain = shares(&fleet, "encode", "engine", &Allowed::ANY, at(0));
    let mut homes = [0.0; 3];
    let keys = 3000;
    for key in 0..keys {
        let wanted = PickCriteria { shares: &by_domain, ..wanted(&[]) };
        let home = fleet.pick_home(wanted, home(key), at(0)).expect("18 are up");
        homes[["a", "b", "c"].iter().position(|d| *d == &*home.domain).expect("a domain")] += 1.0;
    }
    for (got, makers) in homes.into_iter().zip([2.0, 2.0, 1.0]) {
        let wanted = keys as f64 * makers / 5.0;
        assert!((got - wanted).abs() < wanted * 0.15, "{homes:?}");
    }
    assert!(
        shares(&fleet, "unknown", "engine", &Allowed::ANY, at(0)).is_empty(),
        "no makers, no shares"
    );
}

#[test]
fn targets_of_the_own_region_come_first_until_others_are_sooner() {
    let regions = [("a", "north"), ("b", "south"), ("c", "south")];
    let regions = regions.map(|(d, r)| (d.into(), r.into())).into_iter().collect();
    let map = Map::new("a".into(), Regions::new(regions));
    let own = "north".into();
    let wanted = PickCriteria { map: &map, home_region: Some(&own), ..wanted(&[]) };
    let mut fleet = fleet(12);
    let mut rng = Rng::new(1);
    let mut chosen = |fleet: &Fleet| {
        let plain = (0..50).filter_map(|_| fleet.pick_plain(wanted, at(0), &mut rng));
        let mut domains: BTreeSet<String> = plain.map(|t| t.domain.to_string()).collect();
        let homes = (0..50).filter_map(|key| fleet.pick_home(wanted, home(key), at(0)));
        domains.extend(homes.map(|t| t.domain.to_string()));
        domains.into_iter().collect::<String>()
    };
    assert_eq!(chosen(&fleet), "a", "40 ms are more than any wait there");
    for _ in 0..12 {
        (0..12).step_by(3).for_each(|i| fleet.request_sent(&format!("t{i}").as_str().into(), 0));
    }
    assert_eq!(chosen(&fleet), "bc", "those of the own region are overrun");
}
