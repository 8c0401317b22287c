//! What targets say of further requests to them.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::fleet::{Exclusion, Fleet, NoticeChange, Presence, Terms};
use model::forward::{Allowed, Notice, RetryAfter, Target, TargetId};
use model::{Name, Time};
use support::{at, target};

const LEAVES: Notice = Notice { leaving: true, retry_after: RetryAfter::None };

/// What happens to a fleet.
type Step<'a> = &'a dyn Fn(&mut Fleet);

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for name in ["t0", "t1"] {
        fleet.upsert(Target { revision: 5, ..target(name, "a") }, at(0));
    }
    fleet
}

fn barred(fleet: &Fleet, name: &str, now: Time) -> Option<Exclusion> {
    let belief = fleet.by_name(name).expect("a target that is known");
    fleet.exclusion(belief, Terms::ANY, now)
}

#[test]
fn a_target_that_said_it_leaves_is_barred_whatever_its_entry_says() {
    let id: TargetId = "t0".into();
    let ready = |revision| Target { revision, ..target("t0", "a") };
    let mut fleet = fleet();
    assert_eq!(fleet.record_notice(&id, LEAVES, at(10)), [NoticeChange::Draining]);
    assert_eq!(fleet.record_notice(&id, LEAVES, at(11)), [], "told once");
    fleet.record_notice(&id, Notice::default(), at(12));
    let steps: [(&str, Step<'_>); 6] = [
        ("as it was", &|_| ()),
        ("an older entry", &|f| _ = f.upsert(ready(4), at(20))),
        ("a newer entry", &|f| _ = f.upsert(ready(9), at(20))),
        ("a whole list", &|f| f.replace(vec![ready(7)], None, at(20))),
        ("an entry that vanished and came back", &|f| {
            f.remove(&"t0".into(), None, at(0));
            f.upsert(ready(12), at(20));
        }),
        ("a long time", &|f| f.expire(at(3_600_000))),
    ];
    for (what, step) in steps {
        step(&mut fleet);
        assert_eq!(barred(&fleet, "t0", at(30)), Some(Exclusion::Draining), "{what}");
        assert_eq!(fleet.presence(&id), Presence::Draining, "{what}");
    }
    assert!(fleet.targets(at(30)).iter().all(|t| t.draining), "whoever starts hears of it");
}

#[test]
fn another_start_of_a_target_that_left_gets_work() {
    let mut fleet = fleet();
    let start = |start| Target { id: TargetId::new("t0", start), ..target("t0", "a") };
    fleet.upsert(start(1), at(0));
    fleet.record_notice(&TargetId::new("t0", 1), LEAVES, at(10));
    assert_eq!(barred(&fleet, "t0", at(20)), Some(Exclusion::Draining));
    fleet.upsert(start(2), at(20));
    assert_eq!(barred(&fleet, "t0", at(20)), None);
    fleet.record_notice(&TargetId::new("t0", 1), LEAVES, at(30));
    assert_eq!(barred(&fleet, "t0", at(30)), None, "an answer of the earlier start, come late");
}

#[test]
fn a_leaving_target_is_remembered_beyond_its_entry_but_not_for_ever() {
    let minutes = |n: u64| at(n * 60_000);
    let mut fleet = fleet();
    fleet.record_notice(&"t0".into(), LEAVES, at(0));
    fleet.remove(&"t0".into(), None, at(0));
    fleet.expire(minutes(5));
    assert!(fleet.notices().is_draining(&"t0".into()));
    fleet.expire(minutes(11));
    assert!(!fleet.notices().is_draining(&"t0".into()));
}

#[test]
fn a_version_whose_only_target_said_it_leaves_is_none_to_go_on_with() {
    let mut fleet = Fleet::default();
    let of = |name: &str, version: &str| Target { version: version.into(), ..target(name, "a") };
    fleet.upsert(of("t0", "v1"), at(0));
    fleet.upsert(of("t1", "v2"), at(0));
    let mut by_entry = Fleet::default();
    by_entry.upsert(Target { draining: true, ..of("t0", "v1") }, at(0));
    by_entry.upsert(of("t1", "v2"), at(0));
    fleet.record_notice(&"t0".into(), LEAVES, at(10));
    let usable = |f: &Fleet| -> Vec<Name> {
        f.usable("engine", Terms::ANY, at(20)).map(|b| b.target.id.name.clone()).collect()
    };
    assert_eq!(usable(&fleet), usable(&by_entry), "as if its entry had said so");
}

/// A target that turned a request away, which was to come again after so many milliseconds.
fn rests(ms: u64) -> Notice {
    Notice { leaving: false, retry_after: RetryAfter::After(Duration::from_millis(ms)) }
}

#[test]
fn a_target_that_wants_rest_gets_it_and_then_one_request_until_that_is_answered() {
    let id: TargetId = "t0".into();
    let mut fleet = fleet();
    assert_eq!(fleet.record_notice(&id, rests(3000), at(0)).len(), 1);
    assert_eq!(barred(&fleet, "t0", at(2999)), Some(Exclusion::BackedOff));
    assert_eq!(barred(&fleet, "t1", at(2999)), None, "the others are as they were");
    assert_eq!(barred(&fleet, "t0", at(3000)), None);
    fleet.note_attempt(&id, at(3000));
    assert_eq!(
        barred(&fleet, "t0", at(3001)),
        Some(Exclusion::BackedOff),
        "one shows whether it works"
    );
    fleet.note_accepted(&id, at(100));
    assert_eq!(barred(&fleet, "t0", at(3002)), Some(Exclusion::BackedOff), "that was sent before");
    assert_eq!(barred(&fleet, "t0", at(3500)), None, "another one if it is silent");
    fleet.note_attempt(&id, at(3500));
    fleet.note_accepted(&id, at(3000));
    fleet.note_attempt(&id, at(3510));
    assert_eq!(barred(&fleet, "t0", at(3511)), None, "it takes requests again");
}

#[test]
fn the_longest_of_overlapping_rests_holds() {
    let id: TargetId = "t0".into();
    let mut fleet = fleet();
    let said = [(0, 3000), (100, 500), (200, 0)];
    for (ms, time) in said {
        fleet.record_notice(&id, rests(time), at(ms));
    }
    fleet.record_notice(&id, Notice::default(), at(300));
    let unreadable = Notice { retry_after: RetryAfter::Unreadable, ..Notice::default() };
    assert_eq!(fleet.record_notice(&id, unreadable, at(400)), [NoticeChange::Unreadable]);
    assert_eq!(fleet.record_notice(&id, unreadable, at(500)), [], "told once");
    assert_eq!(fleet.notices().backoff_until(&id, at(2999)), Some(at(3000)));
    fleet.record_notice(&id, rests(2000), at(2500));
    assert_eq!(fleet.notices().backoff_until(&id, at(3000)), Some(at(4500)));
}

#[test]
fn callers_are_told_the_end_of_the_first_rest_only_where_all_targets_rest() {
    let mut fleet = fleet();
    let left = |f: &Fleet, ms| f.backoff_left("engine", &Allowed::ANY, at(ms));
    assert_eq!(left(&fleet, 0), None);
    fleet.record_notice(&"t0".into(), rests(3000), at(0));
    assert_eq!(left(&fleet, 0), None, "the other one works");
    fleet.record_notice(&"t1".into(), rests(1000), at(0));
    assert_eq!(left(&fleet, 250), Some(Duration::from_millis(750)));
    fleet.upsert(Target { draining: true, revision: 6, ..target("t1", "a") }, at(300));
    assert_eq!(left(&fleet, 300), Some(Duration::from_millis(2700)), "that one leaves");
    assert_eq!(fleet.backoff_left("plain", &Allowed::ANY, at(0)), None, "no target at all");
}

#[test]
fn a_rest_holds_through_a_lapse_of_the_targets_entry() {
    let mut fleet = fleet();
    fleet.record_notice(&"t0".into(), rests(3000), at(0));
    fleet.remove(&"t0".into(), None, at(0));
    fleet.expire(at(100));
    fleet.upsert(Target { revision: 9, ..target("t0", "a") }, at(200));
    assert_eq!(barred(&fleet, "t0", at(300)), Some(Exclusion::BackedOff));
}

#[test]
fn what_left_in_the_epoch_before_stays_barred_where_a_copy_of_the_store_says_it_is_ready() {
    let ready = |name: &str, revision| Target { revision, ..target(name, "a") };
    let mut fleet = fleet();
    fleet.upsert(Target { draining: true, ..ready("t0", 8) }, at(0));
    fleet.remove(&"t1".into(), None, at(0));
    fleet.begin_epoch(at(1000));
    fleet.replace(vec![ready("t0", 5), ready("t1", 5)], Some(at(3000)), at(1000));
    assert_eq!(barred(&fleet, "t0", at(2000)), Some(Exclusion::Draining));
    assert_eq!(barred(&fleet, "t1", at(2000)), Some(Exclusion::Restored));
    fleet.upsert(ready("t1", 6), at(3000));
    assert_eq!(
        barred(&fleet, "t1", at(3000)),
        Some(Exclusion::Restored),
        "written again, in any order"
    );
    assert_eq!(barred(&fleet, "t1", at(11_000)), None, "it is there still, so it lives");
    assert_eq!(barred(&fleet, "t0", at(11_000)), Some(Exclusion::Draining));
}

#[test]
fn a_lower_revision_of_a_later_epoch_is_news() {
    let entry = |revision, draining| Target { revision, draining, ..target("t0", "a") };
    let mut fleet = fleet();
    fleet.upsert(entry(90, false), at(0));
    fleet.begin_epoch(at(1000));
    // The copy lacks it, and it is kept as long as it may just be missing there.
    fleet.replace(Vec::new(), Some(at(3000)), at(1000));
    assert_eq!(barred(&fleet, "t0", at(1100)), None);
    fleet.upsert(entry(60, true), at(1200));
    assert_eq!(barred(&fleet, "t0", at(1200)), Some(Exclusion::Draining));
}

#[test]
fn an_entry_that_lapsed_and_came_back_is_usable_at_once_within_an_epoch() {
    let mut fleet = fleet();
    fleet.remove(&"t0".into(), None, at(0));
    fleet.upsert(Target { revision: 9, ..target("t0", "a") }, at(100));
    assert_eq!(barred(&fleet, "t0", at(100)), None);
}
