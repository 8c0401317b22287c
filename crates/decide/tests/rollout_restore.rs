//! Orders known to a node while the store is restored from an older copy.

use decide::rollout::{RolloutChange, Versions};
use model::Time;
use model::forward::{Phase, Rollout, RolloutState, Rollouts, Side};
use proptest::prelude::*;

use RolloutState::{Active, Completed, Ordered, RolledBack};

const SERVING: Option<Side> = Some(Side::Serving);
const TRIAL: Option<Side> = Some(Side::Trial);
/// When the new epoch begins.
const RESTORED: Time = Time::from_millis(1_000);
/// After the time in which lost writes are repeated.
const SETTLED: Time = Time::from_millis(12_000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn order(version: &str, state: RolloutState, revision: u64) -> Rollout {
    let (service, version) = ("engine".into(), version.into());
    Rollout { service, version, lasts_ms: 60_000, state, revision, made: 0 }
}

fn list(at: u64, orders: &[Rollout]) -> Rollouts {
    Rollouts { at, orders: orders.to_vec(), ..Rollouts::default() }
}

/// Versions v1 and v2 with one target each, and an order to v2 in this state, all of the epoch
/// before the restore.
fn restored(state: RolloutState) -> Versions {
    let mut versions = Versions::default();
    versions.follow();
    for (version, revision) in [("v1", 5), ("v2", 25)] {
        versions.add_target(&"engine".into(), &version.into(), revision, 0);
    }
    versions.apply(list(30, &[order("v2", Active, 26)]), at(0));
    if state != Active {
        versions.apply(list(31, &[order("v2", state, 31)]), at(0));
    }
    versions.begin_epoch(RESTORED);
    versions
}

fn sides(versions: &Versions) -> (Option<Side>, Option<Side>) {
    (versions.side("engine", "v1"), versions.side("engine", "v2"))
}

#[test]
fn lost_order_stays_in_force_until_it_is_repeated() {
    let mut versions = restored(Active);
    let id = versions.order_id("engine").expect("a running order");
    versions.set_phase(&id, Phase::Share(0.5));
    assert_eq!(versions.apply(list(3, &[]), at(1_100)), []);
    assert_eq!(sides(&versions), (SERVING, TRIAL));
    assert_eq!(versions.phase("engine"), Some(Phase::Share(0.5)));
    let repeated = order("v2", Ordered, 4);
    let changes = versions.apply(list(4, std::slice::from_ref(&repeated)), at(1_500));
    assert_eq!(changes, [RolloutChange::State(repeated)]);
    assert_eq!(versions.phase("engine"), Some(Phase::Share(0.5)), "the same rollout");
    assert!(versions.order_id("engine").is_some_and(|now| now.is_same(&id)));
}

#[test]
fn nodes_agree_on_the_order_whichever_lists_they_read() {
    let mut ids = Vec::new();
    for lists in [&[3, 4][..], &[4], &[3, 4, 9]] {
        let mut versions = restored(Active);
        for revision in lists {
            let orders = if *revision < 4 { vec![] } else { vec![order("v2", Ordered, 4)] };
            versions.apply(list(*revision, &orders), at(1_500));
        }
        ids.push(versions.order_id("engine").expect("a running order"));
    }
    assert!(ids.iter().all(|id| id.is_same(&ids[0])), "{ids:?}");
}

#[test]
fn lost_order_that_is_not_repeated_is_withdrawn() {
    let mut versions = restored(Active);
    versions.apply(list(3, &[]), at(1_100));
    assert!(!versions.is_settle_due(at(5_000)));
    assert!(versions.is_settle_due(SETTLED));
    let changes = versions.settle(SETTLED);
    assert!(matches!(changes[..], [RolloutChange::Withdrawn(_)]), "{changes:?}");
    assert_eq!(sides(&versions), (SERVING, None));
    assert!(!versions.is_settle_due(SETTLED));
}

#[test]
fn order_removed_after_the_restore_is_withdrawn_at_once() {
    let mut versions = restored(Active);
    versions.apply(list(3, &[order("v2", Active, 2)]), at(1_100));
    let changes = versions.apply(list(4, &[]), at(1_200));
    assert!(matches!(changes[..], [RolloutChange::Withdrawn(_)]), "{changes:?}");
}

#[test]
fn lost_final_state_stays_in_force_and_is_reported_until_it_is_written() {
    for (state, wanted) in [(Completed, (None, SERVING)), (RolledBack, (SERVING, None))] {
        let mut versions = restored(state);
        assert_eq!(versions.apply(list(3, &[order("v2", Active, 2)]), at(1_100)), []);
        assert_eq!(sides(&versions), wanted);
        let lost = versions.lost_states();
        assert_eq!(lost.len(), 1);
        assert_eq!((lost[0].order.revision, lost[0].state), (2, state));
        versions.settle(SETTLED);
        assert_eq!(sides(&versions), wanted, "not written yet");
        versions.apply(list(7, &[order("v2", state, 7)]), at(13_000));
        assert_eq!(versions.lost_states(), []);
        assert_eq!(sides(&versions), wanted);
    }
}

#[test]
fn version_ordered_again_later_is_tried_again() {
    let mut versions = restored(RolledBack);
    versions.apply(list(3, &[order("v2", RolledBack, 2)]), at(1_100));
    versions.settle(SETTLED);
    let changes = versions.apply(list(9, &[order("v2", Ordered, 9)]), at(13_000));
    assert!(matches!(changes[..], [RolloutChange::Began(_)]), "{changes:?}");
}

#[test]
fn older_order_in_the_copy_does_not_replace_the_known_one() {
    let mut versions = restored(Active);
    assert_eq!(versions.apply(list(3, &[order("v1", Completed, 2)]), at(1_100)), []);
    assert_eq!(sides(&versions), (SERVING, TRIAL));
    let written_since = order("v3", Ordered, 6);
    let changes = versions.apply(list(6, &[written_since]), at(1_200));
    assert!(matches!(changes[..], [RolloutChange::Replaced { .. }]), "{changes:?}");
}

/// Guards against a node that missed an order and its loss, and takes the repeated one for older
/// than the ended order it knows: it would keep to the old version until that stops.
#[test]
fn order_written_before_the_first_list_replaces_an_ended_one() {
    for repeated_at in [32, 40] {
        let mut versions = restored(RolledBack);
        let repeated = order("v3", Active, repeated_at);
        let changes = versions.apply(list(45, &[repeated]), at(1_500));
        assert!(matches!(changes[..], [RolloutChange::Replaced { .. }]), "{changes:?}");
    }
}

#[test]
fn order_completed_before_the_first_list_is_in_force() {
    let mut versions = Versions::default();
    versions.follow();
    for (version, revision) in [("v1", 5), ("v2", 25)] {
        versions.add_target(&"engine".into(), &version.into(), revision, 0);
    }
    versions.apply(list(30, &[]), at(0));
    versions.begin_epoch(RESTORED);
    versions.apply(list(45, &[order("v2", Completed, 40)]), at(1_500));
    assert_eq!(sides(&versions), (None, SERVING));
}

#[test]
fn order_removed_before_the_restore_does_not_return_with_the_copy() {
    let mut versions = restored(Active);
    versions.apply(list(3, &[order("v2", Active, 2)]), at(1_100));
    versions.apply(list(4, &[]), at(1_200));
    versions.begin_epoch(at(2_000));
    assert_eq!(versions.apply(list(3, &[order("v2", Active, 2)]), at(2_100)), []);
    assert_eq!(sides(&versions), (SERVING, None));
    assert_eq!(versions.apply(list(4, &[]), at(2_200)), [], "its removal is repeated");
}

/// Guards against a version released after a completed order that stops serving since the revision
/// of its first entry belongs to the epoch before.
#[test]
fn version_released_after_a_completed_order_keeps_serving() {
    let mut versions = restored(Completed);
    versions.add_target(&"engine".into(), &"v3".into(), 50, 0);
    versions.apply(list(60, &[order("v2", Completed, 31)]), at(0));
    versions.begin_epoch(RESTORED);
    let v3 = |versions: &Versions| versions.side("engine", "v3");
    for orders in [&[][..], &[order("v2", Active, 2)], &[order("v2", Completed, 8)]] {
        versions.apply(list(9, orders), at(1_100));
        assert_eq!((sides(&versions), v3(&versions)), ((None, SERVING), SERVING), "{orders:?}");
    }
}

fn any_state() -> impl Strategy<Value = RolloutState> {
    prop_oneof![Just(Ordered), Just(Active), Just(Completed), Just(RolledBack)]
}

proptest! {
    /// Whatever the copy holds and in however many lists the operator's repeated write and the
    /// nodes' state arrive, the version that served before keeps serving, and a version that had
    /// been rolled back gets nothing.
    #[test]
    fn a_restore_takes_nothing_back(
        before in any_state(),
        copied in prop::option::of(any_state()),
        lists in 1usize..4,
    ) {
        // The copy is older: it has no state that was written later.
        let copied = copied.filter(|state| !state.is_final() || *state == before);
        let mut versions = restored(before);
        let wanted = sides(&versions);
        for n in 0..lists as u64 {
            let orders: Vec<Rollout> =
                copied.iter().map(|state| order("v2", *state, 2)).collect();
            versions.apply(list(3 + n, &orders), at(1_100 + n));
            prop_assert_eq!(sides(&versions), wanted);
        }
        let repeated = copied.unwrap_or(Ordered);
        versions.apply(list(20, &[order("v2", repeated, 20)]), at(2_000));
        prop_assert_eq!(sides(&versions), wanted);
        versions.apply(list(21, &[order("v2", before, 21)]), at(2_500));
        prop_assert_eq!(sides(&versions), wanted);
        prop_assert_eq!(versions.lost_states(), vec![]);
        versions.settle(SETTLED);
        prop_assert_eq!(sides(&versions), wanted);
    }
}
