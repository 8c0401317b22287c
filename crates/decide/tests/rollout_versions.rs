//! Which version of a service gets a request, whatever the order in which targets and orders
//! arrive.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::fleet::{Fleet, Terms};
use decide::rng::Rng;
use decide::rollout::{RolloutChange, Versions};
use model::Name;
use model::forward::{Phase, Rollout, RolloutId, RolloutState, Rollouts, Side, Target};
use proptest::prelude::*;
use support::at;

const SERVING: Option<Side> = Some(Side::Serving);
const TRIAL: Option<Side> = Some(Side::Trial);

fn order(version: &str, state: RolloutState, revision: u64) -> Rollout {
    let (service, version) = ("engine".into(), version.into());
    Rollout { service, version, lasts_ms: 60_000, state, revision, made: 0 }
}

/// Identity of an order to this version, known at every revision.
fn id(version: &str) -> RolloutId {
    RolloutId { service: "engine".into(), version: version.into(), made: 0, since: 0, at: u64::MAX }
}

fn list(at: u64, orders: &[Rollout]) -> Rollouts {
    Rollouts { at, orders: orders.to_vec(), ..Rollouts::default() }
}

/// Versions with one target each, with the revision of its entry.
fn versions(seen: &[(&str, u64)]) -> Versions {
    let mut versions = Versions::default();
    versions.follow();
    for (version, revision) in seen {
        versions.add_target(&"engine".into(), &(*version).into(), *revision, 0);
    }
    versions
}

fn sides(versions: &Versions) -> (Option<Side>, Option<Side>) {
    (versions.side("engine", "v1"), versions.side("engine", "v2"))
}

/// Share of many attempts that go to the trial version.
fn trial_share(versions: &Versions) -> f64 {
    let is_trial = |n: &u32| versions.side_for_attempt("engine", &format!("a{n}")) == Side::Trial;
    f64::from((0..10_000).filter(is_trial).count() as u32) / 10_000.0
}

#[test]
fn every_version_serves_while_orders_are_not_followed() {
    let mut versions = Versions::default();
    versions.add_target(&"engine".into(), &"v1".into(), 5, 0);
    versions.add_target(&"engine".into(), &"v2".into(), 9, 0);
    assert!(versions.is_known());
    assert_eq!(sides(&versions), (SERVING, SERVING));
    assert_eq!((versions.unsettled(), trial_share(&versions)), (None, 0.0));
}

#[test]
fn no_version_is_used_before_orders_are_known() {
    let mut versions = versions(&[("v1", 5)]);
    assert!(!versions.is_known());
    assert_eq!(sides(&versions), (None, None));
    versions.apply(list(3, &[]), at(0));
    assert!(versions.is_known());
    assert_eq!(
        versions.side("engine", "v1"),
        SERVING,
        "the only one, though it appeared later than the orders"
    );
}

#[test]
fn a_second_version_gets_no_requests_until_settled() {
    use RolloutState::{Active, Completed, Ordered, RolledBack};
    let named = |state, revision| vec![order("v2", state, revision)];
    // Revision up to which orders are known, the orders, and the sides of v1 (first seen at 5) and
    // v2 (first seen at 11).
    let cases = [
        (3, vec![], (SERVING, None)),
        (10, vec![], (SERVING, None)),
        (10, named(Ordered, 10), (SERVING, None)),
        (11, vec![], (SERVING, SERVING)),
        (11, named(Ordered, 10), (SERVING, TRIAL)),
        (12, named(Active, 12), (SERVING, TRIAL)),
        (20, named(RolledBack, 20), (SERVING, None)),
        (20, named(Completed, 20), (None, SERVING)),
    ];
    for (known, orders, expected) in cases {
        let mut versions = versions(&[("v1", 5), ("v2", 11)]);
        versions.apply(list(known, &orders), at(0));
        assert_eq!(sides(&versions), expected, "at {known}: {orders:?}");
        let unsettled = (known < 11).then_some(11);
        assert_eq!(versions.unsettled(), unsettled, "at {known}");
    }
}

#[test]
fn a_release_without_an_order_serves_after_a_completed_one() {
    let completed = order("v2", RolloutState::Completed, 20);
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(40, &[completed]), at(0));
    versions.add_target(&"engine".into(), &"v3".into(), 30, 0);
    assert_eq!(versions.side("engine", "v3"), SERVING);
    assert_eq!(sides(&versions), (None, SERVING));
    versions.remove_target(&"engine".into(), &"v1".into());
    versions.add_target(&"engine".into(), &"v1".into(), 35, 0);
    assert_eq!(versions.side("engine", "v1"), SERVING, "v1 was started again");
}

#[test]
fn a_version_whose_completion_was_missed_serves_during_a_later_trial() {
    use RolloutState::{Active, RolledBack};
    // The completion of v2, after which v1 stopped, is missed between two lists.
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(20, &[order("v2", Active, 15)]), at(0));
    versions.add_target(&"engine".into(), &"v3".into(), 30, 0);
    versions.apply(list(40, &[order("v3", Active, 31)]), at(10));
    assert_eq!(sides(&versions), (SERVING, None), "while the earlier version has targets");
    versions.remove_target(&"engine".into(), &"v1".into());
    assert_eq!(versions.side("engine", "v2"), SERVING);
    assert_eq!(versions.side("engine", "v3"), TRIAL);
    versions.apply(list(50, &[order("v3", RolledBack, 45)]), at(20));
    assert_eq!(versions.side("engine", "v2"), SERVING);
    assert_eq!(versions.side("engine", "v3"), None);
    // The same holds when the end of v3 is missed too, during a later trial.
    let mut versions = self::versions(&[("v2", 11), ("v3", 30)]);
    versions.apply(list(35, &[order("v2", Active, 15)]), at(0));
    versions.apply(list(40, &[order("v3", Active, 31)]), at(10));
    versions.add_target(&"engine".into(), &"v4".into(), 50, 0);
    versions.apply(list(60, &[order("v4", Active, 51)]), at(20));
    assert_eq!(versions.side("engine", "v2"), SERVING);
    assert_eq!(versions.side("engine", "v3"), None, "the version before it can serve");
    assert_eq!(versions.side("engine", "v4"), TRIAL);
}

#[test]
fn draining_targets_are_not_a_version_that_can_serve() {
    use RolloutState::{Active, RolledBack};
    let target = |name: &str, version: &str, revision, draining| Target {
        version: version.into(),
        revision,
        draining,
        ..support::target(name, "a")
    };
    let mut fleet = Fleet::default();
    fleet.versions_mut().follow();
    // v1 was rolled back before this node started, and the completion of v2 is missed.
    fleet.upsert(target("t1", "v1", 5, true), at(0));
    fleet.upsert(target("t2", "v2", 11, false), at(0));
    fleet.versions_mut().apply(list(20, &[order("v2", Active, 15)]), at(0));
    fleet.upsert(target("t3", "v3", 30, false), at(1));
    fleet.versions_mut().apply(list(40, &[order("v3", RolledBack, 31)]), at(1));
    let usable = |fleet: &Fleet| fleet.usable("engine", Terms::ANY, at(2)).count();
    assert_eq!(usable(&fleet), 1, "v2 alone can serve");
    fleet.upsert(target("t1", "v1", 50, false), at(2));
    assert_eq!(usable(&fleet), 0, "orders are not known up to the revision at which v1 returned");
    fleet.versions_mut().apply(list(60, &[order("v3", RolledBack, 31)]), at(2));
    assert_eq!(usable(&fleet), 1, "v1 serves, and no version whose end is not known");
}

#[test]
fn a_withdrawn_version_gets_no_requests_while_another_can_serve() {
    let active = order("v2", RolloutState::Active, 12);
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(12, std::slice::from_ref(&active)), at(0));
    let changes = versions.apply(list(15, &[]), at(1));
    assert_eq!(changes, [RolloutChange::Withdrawn(active)]);
    assert_eq!(sides(&versions), (SERVING, None));
    assert_eq!(versions.phase("engine"), None);
    versions.remove_target(&"engine".into(), &"v1".into());
    assert_eq!(versions.side("engine", "v2"), SERVING, "nothing else is left");
    versions.add_target(&"engine".into(), &"v1".into(), 16, 0);
    versions.apply(list(18, &[order("v2", RolloutState::Ordered, 18)]), at(2));
    assert_eq!(versions.side("engine", "v2"), TRIAL, "a new order names it");
}

#[test]
fn newer_lists_report_changes_and_older_ones_are_ignored() {
    use RolloutState::{Active, Ordered, RolledBack};
    let mut versions = versions(&[("v1", 5), ("v2", 11), ("v3", 21)]);
    let ordered = order("v2", Ordered, 10);
    let active = order("v2", Active, 12);
    let other = order("v3", Ordered, 20);
    let back = order("v3", RolledBack, 30);
    let again = order("v3", Ordered, 40);
    let taken_up = order("v3", Active, 42);
    let anew = order("v3", Ordered, 45);
    let replaced = RolloutChange::Replaced { before: active.clone(), order: other.clone() };
    let cases = [
        (list(11, std::slice::from_ref(&ordered)), vec![RolloutChange::Began(ordered.clone())]),
        (list(12, std::slice::from_ref(&active)), vec![RolloutChange::State(active.clone())]),
        (list(11, &[ordered]), vec![]),
        (list(14, &[active]), vec![]),
        (list(21, std::slice::from_ref(&other)), vec![replaced]),
        (list(30, std::slice::from_ref(&back)), vec![RolloutChange::State(back.clone())]),
        (list(40, std::slice::from_ref(&again)), vec![RolloutChange::Began(again.clone())]),
        (list(42, std::slice::from_ref(&taken_up)), vec![RolloutChange::State(taken_up.clone())]),
        (list(45, std::slice::from_ref(&anew)), vec![RolloutChange::Began(anew.clone())]),
        (list(50, &[]), vec![RolloutChange::Withdrawn(anew)]),
        (list(40, &[back]), vec![]),
    ];
    for (n, (list, changes)) in cases.into_iter().enumerate() {
        assert_eq!(versions.apply(list, at(n as u64)), changes, "{n}");
    }
    assert_eq!((versions.revision(), versions.running().count()), (Some(50), 0));
}

#[test]
fn updates_to_an_earlier_order_do_not_change_a_later_one() {
    use RolloutState::{Active, Ordered};
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(12, &[order("v2", Ordered, 12)]), at(0));
    versions.apply(list(14, &[order("v2", Active, 14)]), at(1));
    let first = versions.order_id("engine").expect("it runs");
    versions.apply(list(20, &[order("v2", Ordered, 20)]), at(100));
    let second = versions.order_id("engine").expect("it runs");
    let ms = Duration::from_millis;
    versions.raise_age(&first, ms(5000), at(110));
    for phase in [Phase::Share(0.5), Phase::All, Phase::Back] {
        assert!(!versions.set_phase(&first, phase), "{phase:?} of the first");
    }
    let observed = (versions.phase("engine"), versions.age("engine", at(110)));
    assert_eq!(observed, (Some(Phase::Share(0.0)), Some(ms(10))));
    assert!(versions.set_phase(&second, Phase::Share(0.1)));
    versions.apply(list(22, &[order("v2", Active, 22)]), at(130));
    assert!(versions.set_phase(&second, Phase::All), "the same order, now active");
    let own = versions.order_id("engine").expect("it runs");
    assert_eq!((own.since, own.at), (20, 22));
}

#[test]
fn the_same_version_ordered_again_between_two_lists_is_a_new_order() {
    use RolloutState::{Active, Ordered};
    let made = |state, revision, made| Rollout { made, ..order("v2", state, revision) };
    let longer = |state, revision| Rollout { lasts_ms: 90_000, ..order("v2", state, revision) };
    // The order as it was known, as it is in the next list, and whether that is another order.
    let cases = [
        (order("v2", Ordered, 12), order("v2", Active, 14), false),
        (order("v2", Ordered, 12), order("v2", Ordered, 20), true),
        (order("v2", Active, 14), order("v2", Active, 20), true),
        (order("v2", Active, 14), longer(Active, 20), false),
        (made(Ordered, 12, 1), made(Active, 20, 2), true),
        (made(Ordered, 12, 1), made(Active, 14, 1), false),
    ];
    for (was, is, anew) in cases {
        let mut versions = versions(&[("v1", 5), ("v2", 11)]);
        versions.apply(list(was.revision, std::slice::from_ref(&was)), at(0));
        let known = versions.order_id("engine").expect("it runs");
        versions.set_phase(&known, Phase::All);
        versions.apply(list(is.revision, std::slice::from_ref(&is)), at(2));
        let phase = if anew { Phase::Share(0.0) } else { Phase::All };
        assert_eq!(versions.phase("engine"), Some(phase), "{was:?} {is:?}");
        assert_eq!(versions.find_order(&known).is_none(), anew, "{was:?} {is:?}");
    }
}

/// A list in which the order of the service is unreadable.
fn unreadable(at: u64) -> Rollouts {
    Rollouts { unreadable: vec!["engine".into()], ..list(at, &[]) }
}

#[test]
fn an_unreadable_order_blocks_versions_that_did_not_serve() {
    let mut versions = versions(&[("v1", 5)]);
    versions.apply(list(8, &[]), at(0));
    versions.apply(unreadable(10), at(1));
    versions.add_target(&"engine".into(), &"v2".into(), 11, 0);
    versions.apply(unreadable(12), at(2));
    assert_eq!(sides(&versions), (SERVING, None), "it may be ordered");
    versions.remove_target(&"engine".into(), &"v1".into());
    assert_eq!(versions.side("engine", "v2"), SERVING, "nothing else is there");
    versions.add_target(&"engine".into(), &"v1".into(), 13, 0);
    versions.apply(unreadable(14), at(3));
    assert_eq!(sides(&versions), (SERVING, None));
    versions.apply(list(16, &[order("v2", RolloutState::Active, 16)]), at(4));
    assert_eq!(sides(&versions), (SERVING, TRIAL), "it can be read");
}

#[test]
fn an_order_that_becomes_unreadable_keeps_its_last_state() {
    let active = order("v2", RolloutState::Active, 12);
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(12, std::slice::from_ref(&active)), at(0));
    versions.set_phase(&id("v2"), Phase::All);
    // The list is from a peer that has read no earlier state of the order.
    assert_eq!(versions.apply(unreadable(20), at(2)), []);
    versions.add_target(&"engine".into(), &"v3".into(), 15, 0);
    assert_eq!((sides(&versions), trial_share(&versions)), ((None, TRIAL), 1.0));
    assert_eq!(versions.side("engine", "v3"), None);
    let adopted = versions.list().expect("known");
    assert_eq!((adopted.orders, adopted.unreadable), (vec![active.clone()], vec!["engine".into()]));
    assert_eq!(versions.apply(list(30, &[]), at(3)), [RolloutChange::Withdrawn(active)]);
    assert_eq!(sides(&versions), (SERVING, None));
    assert_eq!(versions.side("engine", "v3"), None, "the order may have been for it");
    versions.remove_target(&"engine".into(), &"v1".into());
    assert_eq!(versions.side("engine", "v2"), SERVING, "the older one of the two");
}

#[test]
fn a_node_starting_with_an_unreadable_order_uses_only_the_oldest_version() {
    // Revisions and start times of both versions' targets; v1 is the older one.
    for (v1, v2) in [((5, 0), (11, 0)), ((15, 100), (11, 200)), ((5, 100), (11, 0))] {
        for is_list_first in [true, false] {
            let mut versions = versions(&[]);
            if is_list_first {
                versions.apply(unreadable(20), at(0));
            }
            versions.add_target(&"engine".into(), &"v2".into(), v2.0, v2.1);
            versions.add_target(&"engine".into(), &"v1".into(), v1.0, v1.1);
            versions.apply(unreadable(20), at(0));
            assert_eq!(sides(&versions), (SERVING, None), "{v1:?} {v2:?}");
        }
    }
}

#[test]
fn a_starting_node_learns_withdrawn_orders_from_peers() {
    let active = |revision| [order("v2", RolloutState::Active, revision)];
    let seen = [("v1", 5), ("v2", 11)];
    let mut old = versions(&seen);
    old.apply(list(12, &active(12)), at(0));
    old.apply(list(15, &[]), at(1));
    let known = Rollouts { at: 30, ..old.list().expect("known") };
    // Revision of the first list that the starting node read by itself, and whether it adopts the
    // peer's record.
    for (began, is_taken) in [(None, true), (Some(20), true), (Some(14), false)] {
        let mut new = versions(&seen);
        if let Some(began) = began {
            new.apply(list(began, &[]), at(2));
        }
        new.apply(known.clone(), at(3));
        let expected = if is_taken { None } else { SERVING };
        assert_eq!(sides(&new), (SERVING, expected), "{began:?}");
        new.apply(list(40, &active(40)), at(4));
        new.apply(Rollouts { at: 41, orders: active(40).to_vec(), ..known.clone() }, at(5));
        assert_eq!(new.side("engine", "v2"), TRIAL, "ordered again since: {began:?}");
    }
}

#[test]
fn only_the_oldest_version_serves_until_peers_report_withdrawn_orders() {
    let mut versions = versions(&[("v2", 11), ("v1", 5)]);
    versions.set_awaiting_peers(true);
    versions.apply(list(20, &[]), at(0));
    assert_eq!(sides(&versions), (SERVING, None));
    versions.apply(list(21, &[order("v2", RolloutState::Active, 21)]), at(0));
    assert_eq!(sides(&versions), (SERVING, TRIAL), "an order decides");
    versions.apply(list(22, &[order("v2", RolloutState::Completed, 22)]), at(0));
    assert_eq!(sides(&versions), (None, SERVING));
    let mut versions = self::versions(&[("v2", 11), ("v1", 5)]);
    versions.apply(list(20, &[]), at(0));
    assert_eq!(sides(&versions), (SERVING, SERVING), "the peers reported none");
}

#[test]
fn the_number_of_withdrawn_versions_is_limited() {
    let mut versions = versions(&[("v1", 5)]);
    for n in 0..100 {
        let ordered = order(&format!("w{n}"), RolloutState::Active, 10 + 2 * n);
        versions.apply(list(10 + 2 * n, &[ordered]), at(n));
        versions.apply(list(11 + 2 * n, &[]), at(n));
    }
    let withdrawn = versions.list().expect("known").withdrawn;
    let names: Vec<&str> = withdrawn.iter().map(|w| &*w.version).collect();
    assert_eq!(names, ["w92", "w93", "w94", "w95", "w96", "w97", "w98", "w99"]);
}

#[test]
fn an_old_target_rewriting_its_entry_after_a_completion_is_no_new_release() {
    // Revision and start time of a target of another version than the completed one, whose own
    // target started at 200, and its side at a node that starts now.
    for (revision, start, expected) in
        [(5, 100, None), (25, 100, None), (25, 300, SERVING), (25, 0, SERVING), (25, 200, SERVING)]
    {
        let mut versions = versions(&[]);
        versions.apply(list(30, &[order("v2", RolloutState::Completed, 20)]), at(0));
        versions.add_target(&"engine".into(), &"v1".into(), revision, start);
        versions.add_target(&"engine".into(), &"v2".into(), 28, 400);
        versions.add_target(&"engine".into(), &"v2".into(), 11, 200);
        assert_eq!(sides(&versions), (expected, SERVING), "{revision} {start}");
    }
}

#[test]
fn a_peer_lacks_changes_after_its_list() {
    let mut versions = versions(&[]);
    assert!(!versions.has_changed_since(None), "an unknown list cannot be sent");
    let orders = [order("v2", RolloutState::Active, 5)];
    versions.apply(list(5, &orders), at(0));
    versions.apply(list(9, &orders), at(1));
    for (at, is_news) in [(None, true), (Some(4), true), (Some(5), false), (Some(9), false)] {
        assert_eq!(versions.has_changed_since(at), is_news, "{at:?}");
    }
    assert_eq!(versions.list(), Some(list(9, &orders)));
}

#[test]
fn an_attempt_is_routed_by_phase_and_deterministically() {
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(12, &[order("v2", RolloutState::Active, 12)]), at(0));
    assert_eq!(trial_share(&versions), 0.0, "no judge has set a share yet");
    // Each phase that is set, whether it is a change, and the share that goes to v2.
    let cases = [
        (Phase::Share(0.1), true, 0.1),
        (Phase::Share(0.1), false, 0.1),
        (Phase::Share(0.5), true, 0.5),
        (Phase::All, true, 1.0),
        (Phase::Share(0.1), false, 1.0),
        (Phase::Back, true, 0.0),
        (Phase::All, false, 0.0),
        (Phase::Share(0.5), false, 0.0),
    ];
    for (phase, changes, expected) in cases {
        assert_eq!(versions.set_phase(&id("v2"), phase), changes, "{phase:?}");
        assert!(
            (trial_share(&versions) - expected).abs() < 0.02,
            "{phase:?}: {}",
            trial_share(&versions)
        );
    }
    assert_eq!(sides(&versions), (SERVING, None));
    assert!(!versions.set_phase(&id("v3"), Phase::All), "of another order");
}

#[test]
fn the_old_version_serves_again_when_the_new_one_loses_all_targets() {
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    versions.apply(list(12, &[order("v2", RolloutState::Active, 12)]), at(0));
    versions.set_phase(&id("v2"), Phase::All);
    assert_eq!((sides(&versions), trial_share(&versions)), ((None, TRIAL), 1.0));
    versions.remove_target(&"engine".into(), &"v2".into());
    assert_eq!((versions.side("engine", "v1"), trial_share(&versions)), (SERVING, 0.0));
}

#[test]
fn an_orders_age_counts_from_its_earliest_observation() {
    let mut versions = versions(&[("v1", 5), ("v2", 11)]);
    assert_eq!(versions.age("engine", at(0)), None);
    versions.apply(list(12, &[order("v2", RolloutState::Active, 12)]), at(1000));
    let ms = Duration::from_millis;
    assert_eq!(versions.age("engine", at(1500)), Some(ms(500)));
    versions.raise_age(&id("v2"), ms(300), at(1500));
    assert_eq!(versions.age("engine", at(1600)), Some(ms(600)), "it is older than that");
    versions.raise_age(&id("v2"), ms(5000), at(1600));
    versions.set_phase(&id("v2"), Phase::Share(0.1));
    assert_eq!(versions.age("engine", at(1800)), Some(ms(5200)));
}

#[test]
fn a_fleet_counts_the_targets_of_each_version() {
    let target = |id: &str, version: &str, revision| Target {
        version: version.into(),
        revision,
        ..support::target(id, "a")
    };
    let mut fleet = Fleet::default();
    fleet.versions_mut().follow();
    fleet.upsert(target("t1", "v1", 5), at(0));
    fleet.upsert(target("t2", "v2", 11), at(0));
    fleet.versions_mut().apply(list(10, &[]), at(0));
    let usable = |fleet: &Fleet| -> Vec<Name> {
        fleet.usable("engine", Terms::ANY, at(0)).map(|b| b.target.id.name.clone()).collect()
    };
    assert_eq!(usable(&fleet), ["t1".into()]);
    fleet.remove(&"t1".into(), None, at(0));
    assert_eq!(usable(&fleet), ["t2".into()], "the only one left");
    fleet.upsert(target("t1", "v1", 20), at(0));
    assert_eq!(usable(&fleet), ["t2".into()], "the orders are not known up to its new revision");
    fleet.upsert(target("t2", "v1", 21), at(0));
    assert_eq!(usable(&fleet).len(), 2, "both are of one version");
}

#[derive(Debug, Clone, Copy)]
enum Update {
    Target(&'static str, u64),
    Orders(u64),
}

/// Orders in the store at a revision: v2 is ordered at 10 and rolled back at 30.
fn orders_at(revision: u64) -> Rollouts {
    let orders = match revision {
        ..10 => vec![],
        10..30 => vec![order("v2", RolloutState::Ordered, 10)],
        _ => vec![order("v2", RolloutState::RolledBack, 30)],
    };
    list(revision, &orders)
}

proptest! {
    /// Usable targets are exactly those that no check excludes, whichever orders run.
    #[test]
    fn usable_targets_are_those_without_an_exclusion(
        targets in proptest::collection::vec((0usize..4, 1u64..40, any::<bool>()), 0..12),
        known in proptest::option::of((0usize..4, 0usize..4, 1u64..40)),
        is_followed in any::<bool>(),
    ) {
        use RolloutState::{Active, Completed, Ordered, RolledBack};
        let versions = ["v1", "v2", "v3", "v4"];
        let mut fleet = Fleet::default();
        if is_followed {
            fleet.versions_mut().follow();
        }
        for (n, (version, revision, draining)) in targets.into_iter().enumerate() {
            let version = versions[version].into();
            let plain = support::target(&format!("t{n}"), "a");
            fleet.upsert(Target { version, revision, draining, ..plain }, at(0));
        }
        if let Some((version, state, revision)) = known {
            let state = [Ordered, Active, Completed, RolledBack][state];
            let orders = [order(versions[version], state, revision)];
            fleet.versions_mut().apply(list(40, &orders), at(0));
            fleet.versions_mut().set_phase(&id(versions[version]), Phase::All);
        }
        for side in [Side::Serving, Side::Trial] {
            let terms = Terms { side, ..Terms::ANY };
            let usable = fleet.usable("engine", terms, at(1)).map(|b| &b.target.id);
            let all = fleet.service_targets("engine");
            let free = all.filter(|b| fleet.exclusion(b, terms, at(1)).is_none()).map(|b| &b.target.id);
            prop_assert_eq!(usable.collect::<Vec<_>>(), free.collect::<Vec<_>>());
        }
    }

    /// In any order of target and order updates, the ordered version never serves, and the old one
    /// always does once anything is known.
    #[test]
    fn an_ordered_version_never_serves_in_any_event_order(
        seed in any::<u64>(),
        known in proptest::collection::vec(1u64..50, 1..6),
    ) {
        let mut rng = Rng::new(seed);
        let mut updates: Vec<Update> = known.into_iter().map(Update::Orders).collect();
        updates.extend([Update::Target("v1", 5), Update::Target("v1", 6), Update::Target("v2", 11)]);
        rng.shuffle(&mut updates);
        let mut versions = versions(&[]);
        let mut has_old = false;
        for item in updates {
            match item {
                Update::Target(version, revision) => {
                    has_old |= version == "v1";
                    versions.add_target(&"engine".into(), &version.into(), revision, 0);
                }
                Update::Orders(revision) => {
                    versions.apply(orders_at(revision), at(0));
                }
            }
            let (old, new) = sides(&versions);
            if has_old {
                prop_assert_ne!(new, SERVING, "{:?}", item);
                prop_assert_eq!(old, versions.revision().and(SERVING), "{:?}", item);
            }
        }
    }
}
