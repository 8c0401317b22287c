//! Evacuated failure domains as known to a node, whatever source reports them.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeSet;

use decide::fleet::{Evacuated, EvacuationChange, Fleet, Home, Terms};
use decide::rng::Rng;
use model::forward::{Evacuations, Target};
use proptest::prelude::*;
use support::{at, criteria, target};

fn list(revision: u64, domains: &[&str]) -> Evacuations {
    Evacuations { at: revision, domains: domains.iter().map(|d| (*d).into()).collect() }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, domain) in [("t0", "a"), ("t1", "b"), ("t2", "c")] {
        fleet.upsert(target(id, domain), at(0));
    }
    fleet
}

/// Targets of a hundred requests without and a hundred with a prompt.
fn chosen(fleet: &Fleet) -> BTreeSet<String> {
    let mut rng = Rng::new(1);
    let plain = (0..100).filter_map(|_| fleet.pick_by_wait(criteria(&[]), at(0), &mut rng));
    let plain: Vec<Target> = plain.collect();
    let home = |key| fleet.pick_home(criteria(&[]), Home { key, shared_tokens: 10 }, at(0));
    plain.into_iter().chain((0..100).filter_map(home)).map(|t| t.id.to_string()).collect()
}

#[test]
fn nothing_is_sent_before_the_first_list() {
    let mut fleet = fleet();
    fleet.follow_evacuations();
    assert!(!fleet.evacuated().is_known());
    assert_eq!(chosen(&fleet), BTreeSet::new());
    fleet.set_evacuations(list(5, &["b"]), at(10));
    assert!(fleet.evacuated().is_known());
    assert!(!chosen(&fleet).contains("t1"));
    assert!(!fleet.is_usable(&"t1".into(), Terms::ANY, at(10)));
    assert!(fleet.is_usable(&"t0".into(), Terms::ANY, at(10)));
}

#[test]
fn unfollowed_evacuations_do_not_block_requests() {
    assert!(fleet().evacuated().is_known());
    assert!(!chosen(&fleet()).is_empty());
}

#[test]
fn targets_of_an_evacuated_domain_get_no_requests_until_it_ends() {
    let mut fleet = fleet();
    fleet.follow_evacuations();
    fleet.set_evacuations(list(5, &[]), at(0));
    fleet.set_evacuations(list(6, &["a", "b"]), at(10));
    assert_eq!(chosen(&fleet), BTreeSet::from(["t2".to_string()]));
    assert_eq!(fleet.usable("engine", Terms::ANY, at(10)).count(), 1);
    fleet.set_evacuations(list(7, &["a"]), at(20));
    assert!(chosen(&fleet).contains("t1"));
    assert!(!chosen(&fleet).contains("t0"));
    assert_eq!(fleet.evacuated().ended_at("b"), Some(at(20)));
    fleet.set_evacuations(list(8, &["a", "b", "c"]), at(30));
    assert_eq!(chosen(&fleet), BTreeSet::new(), "all domains are evacuated");
}

#[test]
fn older_list_is_ignored() {
    let began = |d: &str| EvacuationChange::Began(d.into());
    let ended = |d: &str| EvacuationChange::Ended(d.into());
    let mut known = Evacuated::default();
    known.follow();
    // The received list and the resulting changes.
    let cases = [
        (list(5, &[]), vec![]),
        (list(8, &["a"]), vec![began("a")]),
        (list(7, &[]), vec![]),
        (list(8, &["a"]), vec![]),
        (list(9, &["a"]), vec![]),
        (list(8, &[]), vec![]),
        (list(10, &["b"]), vec![ended("a"), began("b")]),
        (list(9, &["a"]), vec![]),
        (list(11, &[]), vec![ended("b")]),
    ];
    for (n, (list, changes)) in cases.into_iter().enumerate() {
        assert_eq!(known.update(list.clone(), at(n as u64)), changes, "{n}: {list:?}");
    }
}

#[test]
fn peer_needs_changes_after_its_revision() {
    let mut known = Evacuated::default();
    known.follow();
    assert!(!known.has_changed_since(None), "no list to send yet");
    known.update(list(5, &["a"]), at(0));
    known.update(list(9, &["a"]), at(1));
    let cases = [(None, true), (Some(4), true), (Some(5), false), (Some(9), false)];
    for (at, changed) in cases {
        assert_eq!(known.has_changed_since(at), changed, "{at:?}");
    }
    assert_eq!(known.list(), Some(list(9, &["a"])));
}

proptest! {
    /// Lists reach a node in any order, some twice and some never: the newest one received is
    /// always in force.
    #[test]
    fn newest_list_is_in_force_in_any_order_of_arrival(
        sets in proptest::collection::vec(proptest::collection::btree_set(0u8..3, 0..3), 1..12),
        order in proptest::collection::vec(0usize..12, 1..40),
    ) {
        let mut known = Evacuated::default();
        known.follow();
        let mut newest = None;
        for (n, i) in order.into_iter().map(|i| i % sets.len()).enumerate() {
            let domains: Vec<String> = sets[i].iter().map(|d| format!("d{d}")).collect();
            let names: Vec<&str> = domains.iter().map(String::as_str).collect();
            known.update(list(i as u64 + 1, &names), at(n as u64));
            newest = newest.max(Some(i));
            let expected: BTreeSet<String> =
                sets[newest.expect("at least one list arrived")].iter().map(|d| format!("d{d}")).collect();
            let is: BTreeSet<String> = known.domains().map(|d| d.to_string()).collect();
            prop_assert_eq!(is, expected);
        }
    }
}

#[test]
fn evacuation_lost_in_a_restore_holds_until_it_is_ended_or_not_repeated() {
    let ended = vec![EvacuationChange::Ended("b".into())];
    let restored = || {
        let mut fleet = fleet();
        fleet.follow_evacuations();
        fleet.set_evacuations(list(30, &["b"]), at(0));
        fleet.begin_epoch(at(1_000));
        assert_eq!(fleet.set_evacuations(list(3, &[]), at(1_100)), [], "the copy lacks it");
        fleet
    };
    let mut repeated = restored();
    assert_eq!(repeated.set_evacuations(list(4, &["b"]), at(1_200)), []);
    assert_eq!(repeated.set_evacuations(list(5, &[]), at(1_300)), ended);
    let mut forgotten = restored();
    assert!(!forgotten.evacuated().is_settle_due(at(10_900)));
    assert!(forgotten.evacuated().is_settle_due(at(11_000)));
    assert_eq!(forgotten.settle_evacuations(at(11_000)), ended);
    assert!(!forgotten.evacuated().is_settle_due(at(12_000)));
}
