//! Backoffs and draining marks that targets report in their answers.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::fleet::{Exclusion, Fleet, NoticeChange, Presence, Terms};
use model::forward::{Allowed, Notice, RetryAfter, Target, TargetId};
use model::{Name, Time};
use support::{at, target};

const DRAINING: Notice = Notice { leaving: true, retry_after: RetryAfter::None };

/// Applies an event to a fleet.
type Step<'a> = &'a dyn Fn(&mut Fleet);

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for name in ["t0", "t1"] {
        fleet.upsert(Target { revision: 5, ..target(name, "a") }, at(0));
    }
    fleet
}

fn exclusion(fleet: &Fleet, name: &str, now: Time) -> Option<Exclusion> {
    let state = fleet.by_name(name).expect("a target that is known");
    fleet.exclusion(state, Terms::ANY, now)
}

#[test]
fn target_that_reported_draining_stays_excluded_whatever_its_entry() {
    let id: TargetId = "t0".into();
    let ready = |revision| Target { revision, ..target("t0", "a") };
    let mut fleet = fleet();
    assert_eq!(fleet.record_notice(&id, DRAINING, at(10)), [NoticeChange::Draining]);
    assert_eq!(fleet.record_notice(&id, DRAINING, at(11)), [], "reported once");
    fleet.record_notice(&id, Notice::default(), at(12));
    let steps: [(&str, Step<'_>); 6] = [
        ("unchanged", &|_| ()),
        ("an older entry", &|f| _ = f.upsert(ready(4), at(20))),
        ("a newer entry", &|f| _ = f.upsert(ready(9), at(20))),
        ("a complete list", &|f| f.replace(vec![ready(7)], None, at(20))),
        ("an entry that was removed and reappeared", &|f| {
            f.remove(&"t0".into(), None, at(0));
            f.upsert(ready(12), at(20));
        }),
        ("a long time", &|f| f.expire(at(3_600_000))),
    ];
    for (what, step) in steps {
        step(&mut fleet);
        assert_eq!(exclusion(&fleet, "t0", at(30)), Some(Exclusion::Draining), "{what}");
        assert_eq!(fleet.presence(&id), Presence::Draining, "{what}");
    }
    assert!(fleet.targets(at(30)).iter().all(|t| t.draining), "starting nodes receive the mark");
}

#[test]
fn later_start_of_a_drained_target_gets_requests() {
    let mut fleet = fleet();
    let start = |start| Target { id: TargetId::new("t0", start), ..target("t0", "a") };
    fleet.upsert(start(1), at(0));
    fleet.record_notice(&TargetId::new("t0", 1), DRAINING, at(10));
    assert_eq!(exclusion(&fleet, "t0", at(20)), Some(Exclusion::Draining));
    fleet.upsert(start(2), at(20));
    assert_eq!(exclusion(&fleet, "t0", at(20)), None);
    fleet.record_notice(&TargetId::new("t0", 1), DRAINING, at(30));
    assert_eq!(exclusion(&fleet, "t0", at(30)), None, "a late answer of the earlier start");
}

#[test]
fn draining_outlives_the_entry_for_a_limited_time() {
    let minutes = |n: u64| at(n * 60_000);
    let mut fleet = fleet();
    fleet.record_notice(&"t0".into(), DRAINING, at(0));
    fleet.remove(&"t0".into(), None, at(0));
    fleet.expire(minutes(5));
    assert!(fleet.notices().is_draining(&"t0".into()));
    fleet.expire(minutes(11));
    assert!(!fleet.notices().is_draining(&"t0".into()));
}

#[test]
fn version_with_only_draining_targets_is_not_served() {
    let mut fleet = Fleet::default();
    let of = |name: &str, version: &str| Target { version: version.into(), ..target(name, "a") };
    fleet.upsert(of("t0", "v1"), at(0));
    fleet.upsert(of("t1", "v2"), at(0));
    let mut by_entry = Fleet::default();
    by_entry.upsert(Target { draining: true, ..of("t0", "v1") }, at(0));
    by_entry.upsert(of("t1", "v2"), at(0));
    fleet.record_notice(&"t0".into(), DRAINING, at(10));
    let usable = |f: &Fleet| -> Vec<Name> {
        f.usable("engine", Terms::ANY, at(20)).map(|b| b.target.id.name.clone()).collect()
    };
    assert_eq!(usable(&fleet), usable(&by_entry), "same as with a draining entry");
}

/// Notice of a target that rejected a request and asked for a retry after `ms`.
fn retry_after(ms: u64) -> Notice {
    Notice { leaving: false, retry_after: RetryAfter::After(Duration::from_millis(ms)) }
}

#[test]
fn backoff_is_followed_by_one_probe_at_a_time() {
    let id: TargetId = "t0".into();
    let mut fleet = fleet();
    assert_eq!(fleet.record_notice(&id, retry_after(3000), at(0)).len(), 1);
    assert_eq!(exclusion(&fleet, "t0", at(2999)), Some(Exclusion::BackedOff));
    assert_eq!(exclusion(&fleet, "t1", at(2999)), None, "other targets are unaffected");
    assert_eq!(exclusion(&fleet, "t0", at(3000)), None);
    fleet.record_attempt(&id, at(3000));
    assert_eq!(
        exclusion(&fleet, "t0", at(3001)),
        Some(Exclusion::BackedOff),
        "a probe is in flight"
    );
    fleet.record_accepted(&id, at(100));
    assert_eq!(
        exclusion(&fleet, "t0", at(3002)),
        Some(Exclusion::BackedOff),
        "sent before the end of the backoff"
    );
    assert_eq!(exclusion(&fleet, "t0", at(3500)), None, "another probe after a timeout");
    fleet.record_attempt(&id, at(3500));
    fleet.record_accepted(&id, at(3000));
    fleet.record_attempt(&id, at(3510));
    assert_eq!(exclusion(&fleet, "t0", at(3511)), None, "the backoff is over");
}

#[test]
fn longest_of_overlapping_backoffs_holds() {
    let id: TargetId = "t0".into();
    let mut fleet = fleet();
    let delays = [(0, 3000), (100, 500), (200, 0)];
    for (ms, time) in delays {
        fleet.record_notice(&id, retry_after(time), at(ms));
    }
    fleet.record_notice(&id, Notice::default(), at(300));
    let unreadable = Notice { retry_after: RetryAfter::Unreadable, ..Notice::default() };
    assert_eq!(fleet.record_notice(&id, unreadable, at(400)), [NoticeChange::Unreadable]);
    assert_eq!(fleet.record_notice(&id, unreadable, at(500)), [], "reported once");
    assert_eq!(fleet.notices().backoff_until(&id, at(2999)), Some(at(3000)));
    fleet.record_notice(&id, retry_after(2000), at(2500));
    assert_eq!(fleet.notices().backoff_until(&id, at(3000)), Some(at(4500)));
}

#[test]
fn first_backoff_end_is_reported_only_if_all_targets_are_backed_off() {
    let mut fleet = fleet();
    let left = |f: &Fleet, ms| f.backoff_left("engine", &Allowed::ANY, at(ms));
    assert_eq!(left(&fleet, 0), None);
    fleet.record_notice(&"t0".into(), retry_after(3000), at(0));
    assert_eq!(left(&fleet, 0), None, "the other target is usable");
    fleet.record_notice(&"t1".into(), retry_after(1000), at(0));
    assert_eq!(left(&fleet, 250), Some(Duration::from_millis(750)));
    fleet.upsert(Target { draining: true, revision: 6, ..target("t1", "a") }, at(300));
    assert_eq!(left(&fleet, 300), Some(Duration::from_millis(2700)), "that target is draining");
    assert_eq!(fleet.backoff_left("plain", &Allowed::ANY, at(0)), None, "no targets");
}

#[test]
fn backoff_survives_a_lapse_of_the_entry() {
    let mut fleet = fleet();
    fleet.record_notice(&"t0".into(), retry_after(3000), at(0));
    fleet.remove(&"t0".into(), None, at(0));
    fleet.expire(at(100));
    fleet.upsert(Target { revision: 9, ..target("t0", "a") }, at(200));
    assert_eq!(exclusion(&fleet, "t0", at(300)), Some(Exclusion::BackedOff));
}

#[test]
fn target_drained_before_a_restore_stays_excluded() {
    let ready = |name: &str, revision| Target { revision, ..target(name, "a") };
    let mut fleet = fleet();
    fleet.upsert(Target { draining: true, ..ready("t0", 8) }, at(0));
    fleet.remove(&"t1".into(), None, at(0));
    fleet.begin_epoch(at(1000));
    fleet.replace(vec![ready("t0", 5), ready("t1", 5)], Some(at(3000)), at(1000));
    assert_eq!(exclusion(&fleet, "t0", at(2000)), Some(Exclusion::Draining));
    assert_eq!(exclusion(&fleet, "t1", at(2000)), Some(Exclusion::Restored));
    fleet.upsert(ready("t1", 6), at(3000));
    assert_eq!(
        exclusion(&fleet, "t1", at(3000)),
        Some(Exclusion::Restored),
        "entries are written again in any order"
    );
    assert_eq!(exclusion(&fleet, "t1", at(11_000)), None, "still listed after the settle time");
    assert_eq!(exclusion(&fleet, "t0", at(11_000)), Some(Exclusion::Draining));
}

#[test]
fn lower_revision_of_a_later_epoch_is_applied() {
    let entry = |revision, draining| Target { revision, draining, ..target("t0", "a") };
    let mut fleet = fleet();
    fleet.upsert(entry(90, false), at(0));
    fleet.begin_epoch(at(1000));
    // The copy lacks the entry, which is kept for the grace period.
    fleet.replace(Vec::new(), Some(at(3000)), at(1000));
    assert_eq!(exclusion(&fleet, "t0", at(1100)), None);
    fleet.upsert(entry(60, true), at(1200));
    assert_eq!(exclusion(&fleet, "t0", at(1200)), Some(Exclusion::Draining));
}

#[test]
fn reappearing_entry_is_usable_at_once_within_an_epoch() {
    let mut fleet = fleet();
    fleet.remove(&"t0".into(), None, at(0));
    fleet.upsert(Target { revision: 9, ..target("t0", "a") }, at(100));
    assert_eq!(exclusion(&fleet, "t0", at(100)), None);
}
