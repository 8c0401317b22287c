//! Requests under which targets crashed: which are held, for how long, and what clears them.

use std::time::Duration;

use decide::quarantine::{Change, Hold, Quarantine};
use model::Time;
use model::forward::{Fingerprint, TargetId};
use model::member::NodeId;

const fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

fn request(n: u8) -> Fingerprint {
    Fingerprint::of(&[&[n]])
}

fn target(n: u32) -> TargetId {
    format!("i-{n}").as_str().into()
}

fn peer() -> NodeId {
    NodeId { name: "peer".into(), start: 1 }
}

fn crash(q: &mut Quarantine, targets: std::ops::Range<u32>, requests: &[u8], now: Time) {
    let requests: Vec<Fingerprint> = requests.iter().map(|n| request(*n)).collect();
    for n in targets {
        q.record_crash(&target(n), &"plain".into(), &requests, now);
    }
}

fn is_held(q: &Quarantine, n: u8, now: Time) -> bool {
    q.hold(request(n), now).is_some()
}

#[test]
fn three_crashed_targets_hold_a_request_but_one_seen_three_times_does_not() {
    let mut q = Quarantine::default();
    for _ in 0..3 {
        crash(&mut q, 0..2, &[1], at(1));
    }
    assert!(!is_held(&q, 1, at(1)));
    let changes = q.record_crash(&target(2), &"plain".into(), &[request(1)], at(2));
    let hold = Hold { crashes: 3, remaining: Some(Duration::from_secs(60)) };
    assert_eq!(changes, [(request(1), Change::Held(hold))]);
    assert_eq!(q.try_send(request(1), at(3)).expect_err("held").crashes, 3);
    assert!(q.try_send(request(2), at(3)).is_ok(), "other requests are not held");
}

#[test]
fn a_held_request_gets_one_trial_at_a_time_and_two_in_total() {
    let mut q = Quarantine::default();
    // A crash of work in progress when it was held does not extend the hold.
    crash(&mut q, 10..13, &[1], at(0));
    crash(&mut q, 0..1, &[1], at(0));
    assert!(q.try_send(request(1), at(59)).is_err());
    assert!(q.try_send(request(1), at(60)).is_ok());
    assert!(q.try_send(request(1), at(60)).is_err(), "a trial is in progress");
    crash(&mut q, 3..4, &[1], at(61));
    assert!(q.try_send(request(1), at(660)).is_err());
    assert!(q.try_send(request(1), at(661)).is_ok());
    crash(&mut q, 4..5, &[1], at(662));
    assert_eq!(q.hold(request(1), at(4000)), Some(Hold { crashes: 6, remaining: None }));
    assert!(q.release(request(1)), "an operator can release it");
    assert!(!is_held(&q, 1, at(4000)));
}

#[test]
fn a_complete_answer_clears_earlier_and_later_crashes() {
    let mut q = Quarantine::default();
    q.record_answer(request(1), at(0));
    crash(&mut q, 0..4, &[1], at(20));
    assert!(!is_held(&q, 1, at(20)), "it was answered shortly before");
    crash(&mut q, 0..3, &[2], at(20));
    assert_eq!(q.record_answer(request(2), at(21)), Some(Change::Released("answered")));
    assert!(!is_held(&q, 2, at(21)));
    crash(&mut q, 4..7, &[1], at(100));
    assert!(is_held(&q, 1, at(100)), "the answer is too old to count");
}

#[test]
fn a_held_request_clears_suspects_on_the_same_targets_but_not_held_ones() {
    let mut q = Quarantine::default();
    crash(&mut q, 0..2, &[1, 2, 3], at(1));
    crash(&mut q, 2..3, &[1], at(2));
    assert!(is_held(&q, 1, at(2)));
    crash(&mut q, 3..4, &[2], at(3));
    assert!(!is_held(&q, 2, at(3)), "two of its three crashes are attributed to the held request");
    crash(&mut q, 4..7, &[3], at(4));
    assert!(is_held(&q, 3, at(4)), "three crashes are its own");
    assert!(is_held(&q, 1, at(4)));
}

#[test]
fn reports_converge_in_any_order_and_with_repeats() {
    let mut a = Quarantine::default();
    let mut b = Quarantine::default();
    crash(&mut a, 0..2, &[1], at(1));
    crash(&mut b, 1..3, &[1], at(1));
    let from_a = a.missing_from(&[empty_report(1)], at(1));
    let from_b = b.missing_from(&[empty_report(1)], at(1));
    for _ in 0..2 {
        a.merge(Some(&peer()), &from_b, at(2));
        b.merge(Some(&peer()), &from_a, at(2));
    }
    assert!(is_held(&a, 1, at(2)) && is_held(&b, 1, at(2)));
    assert!(
        a.missing_from(&report_of(&b), at(2)).is_empty()
            && b.missing_from(&report_of(&a), at(2)).is_empty()
    );
    let cleared = {
        b.record_answer(request(1), at(3));
        report_of(&b)
    };
    let changes = a.merge(Some(&peer()), &cleared, at(3));
    assert_eq!(changes, [(request(1), Change::Released("answered elsewhere"))]);
    a.merge(Some(&peer()), &from_a, at(4));
    assert!(!is_held(&a, 1, at(4)), "a stale report does not hold it again");
}

#[test]
fn a_node_that_answered_a_request_clears_reported_crashes() {
    let mut a = Quarantine::default();
    crash(&mut a, 0..3, &[1], at(1));
    let mut b = Quarantine::default();
    b.record_answer(request(1), at(1));
    b.merge(Some(&peer()), &report_of(&a), at(2));
    assert!(!is_held(&b, 1, at(2)));
    assert!(!b.missing_from(&report_of(&a), at(2)).is_empty(), "and reports it as cleared");
}

#[test]
fn suspects_are_bounded_and_held_ones_are_retained() {
    let mut q = Quarantine::default();
    crash(&mut q, 0..3, &[1], at(1));
    let many: Vec<Fingerprint> =
        (0..10_000u32).map(|n| Fingerprint::of(&[&n.to_le_bytes()])).collect();
    q.record_crash(&target(9), &"plain".into(), &many, at(2));
    assert!(is_held(&q, 1, at(2)));
    assert!(q.len() <= 4096, "{}", q.len());
    q.expire(at(30 * 60));
    assert_eq!(q.len(), 1, "only the held one is kept");
    let released = q.expire(at(2 * 60 * 60));
    assert_eq!(released, [(request(1), Change::Released("not asked for"))]);
    q.expire(at(3 * 60 * 60));
    assert!(q.is_empty());
}

fn empty_report(n: u8) -> model::forward::SuspectReport {
    model::forward::SuspectReport {
        is_part: false,
        request: request(n),
        service: "plain".into(),
        crashes: Vec::new(),
        tries: 0,
        tried_ms: 0,
        received_ms: 0,
    }
}

fn report_of(q: &Quarantine) -> Vec<model::forward::SuspectReport> {
    q.missing_from(&[empty_report(1)], at(2))
}

#[test]
fn a_stored_record_holds_a_request_unless_it_was_cleared() {
    let mut a = Quarantine::default();
    crash(&mut a, 0..3, &[1], at(1));
    let me = "me".into();
    let record = a.unstored_records(&me, &[], 5_000).remove(0);
    a.mark_stored(request(1));
    assert!(a.unstored_records(&me, &[], 5_000).is_empty(), "once");
    // Another node knows only one crash, too few to hold the request.
    let mut b = Quarantine::default();
    crash(&mut b, 7..8, &[1], at(100));
    let (changes, is_released) = b.merge_record(&record, 65_000, at(100));
    assert!(matches!(changes[..], [(_, Change::Held(_))]) && !is_released);
    assert!(b.unstored_records(&me, &[], 65_000).is_empty(), "the store already has it");
    b.record_answer(request(1), at(101));
    let (changes, is_released) = b.merge_record(&record, 66_000, at(102));
    assert!(changes.is_empty() && is_released, "its record must be deleted");
}
