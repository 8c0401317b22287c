//! Prompt parts under which targets crashed: which are held, what explains the crashes of others,
//! and which node sends their trials.

use std::time::Duration;

use decide::quarantine::{Change, Quarantine};
use model::forward::{Fingerprint, TargetId};
use model::member::{Node, NodeId};
use model::{Name, Time};

const FATAL: &str = "fatal";
const SHARED: &str = "shared";

const fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

fn key(text: &str) -> Fingerprint {
    Fingerprint::of(&[text.as_bytes()])
}

fn target(n: usize) -> TargetId {
    format!("i-{n}").as_str().into()
}

fn node(n: usize) -> Node {
    let address = "127.0.0.1:1".parse().expect("an address");
    let id = NodeId { name: format!("node-{n}").into(), start: 1 };
    Node { id, address, entry: address, domain: "hall".into(), capacity: 0 }
}

/// Records the crash of a target under parts of one request.
fn crash(q: &mut Quarantine, target_number: usize, request: &str, parts: &[&str]) {
    let parts: Vec<_> = parts.iter().map(|part| (key(part), key(request))).collect();
    let service: Name = "pool".into();
    q.record_part_crash(&target(target_number), &service, &parts, at(1));
}

/// Whether a node that sends no trials holds a part.
fn is_held(q: &Quarantine, part: &str) -> bool {
    q.part_hold(key(part), &"me".into(), Vec::new, at(2)).is_some()
}

#[test]
fn a_part_is_held_after_four_crashes_under_different_requests() {
    let mut q = Quarantine::default();
    for n in 0..4 {
        assert!(!is_held(&q, FATAL), "after {n} crashes");
        crash(&mut q, n, &format!("request-{n}"), &[FATAL]);
    }
    assert!(is_held(&q, FATAL));
    assert_eq!(q.count_held(at(2)), 1);
}

#[test]
fn one_request_that_crashes_its_targets_holds_none_of_its_parts() {
    let mut q = Quarantine::default();
    for n in 0..8 {
        crash(&mut q, n, "the same", &[SHARED]);
        q.record_crash(&target(n), &"pool".into(), &[key("the same")], at(1));
    }
    assert!(q.hold(key("the same"), at(2)).is_some());
    assert!(!is_held(&q, SHARED));
}

#[test]
fn a_part_of_repeated_requests_is_held_once_two_of_them_crashed_two_targets_each() {
    let mut q = Quarantine::default();
    for n in 0..4 {
        crash(&mut q, n, ["first", "second"][n / 2], &[FATAL]);
    }
    assert!(is_held(&q, FATAL));
}

#[test]
fn a_part_that_was_answered_lately_is_not_held_for_the_company_it_was_in() {
    let mut q = Quarantine::default();
    q.record_answer(key(SHARED), at(0));
    for n in 0..4 {
        crash(&mut q, n, &format!("request-{n}"), &[SHARED, FATAL]);
    }
    assert!(is_held(&q, FATAL) && !is_held(&q, SHARED));
}

#[test]
fn an_answer_at_another_node_releases_a_part() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    there.record_answer(key(SHARED), at(0));
    for n in 0..4 {
        crash(&mut here, n, &format!("request-{n}"), &[SHARED]);
    }
    assert!(is_held(&here, SHARED));
    let me: Name = "here".into();
    let reports = |q: &mut Quarantine| {
        let outgoing = q.outgoing(&me, &[node(1)], |_| true, at(2));
        outgoing.into_iter().flat_map(|message| message.reports).collect::<Vec<_>>()
    };
    there.merge(Some(&node(1).id), &reports(&mut here), at(2));
    assert!(!is_held(&there, SHARED));
    let changes = here.merge(Some(&node(2).id), &reports(&mut there), at(2));
    assert_eq!(changes, [(key(SHARED), Change::Released("answered elsewhere"))]);
    assert!(!is_held(&here, SHARED));
}

#[test]
fn a_held_part_explains_the_crashes_of_parts_and_requests_in_its_company() {
    let mut q = Quarantine::default();
    for n in 0..3 {
        crash(&mut q, n, &format!("request-{n}"), &[FATAL, SHARED]);
        q.record_crash(&target(n), &"pool".into(), &[key("bystander")], at(1));
    }
    assert!(q.hold(key("bystander"), at(2)).is_some());
    crash(&mut q, 3, "request-3", &[FATAL]);
    assert!(is_held(&q, FATAL));
    assert!(q.hold(key("bystander"), at(2)).is_none());
    for n in 4..7 {
        crash(&mut q, n, &format!("request-{n}"), &[SHARED]);
    }
    assert!(!is_held(&q, SHARED), "three crashes are left to it");
}

#[test]
fn of_two_parts_held_by_the_same_crashes_the_one_in_more_of_them_stays_held() {
    let mut q = Quarantine::default();
    crash(&mut q, 0, "request-0", &[FATAL]);
    for n in 1..5 {
        crash(&mut q, n, &format!("request-{n}"), &[SHARED, FATAL]);
    }
    assert!(is_held(&q, FATAL) && !is_held(&q, SHARED));
}

#[test]
fn only_the_first_replica_sends_the_trial_of_a_part() {
    let nodes: Vec<Node> = (0..5).map(node).collect();
    let mut may_send = 0;
    for me in &nodes {
        let mut q = Quarantine::default();
        for n in 0..4 {
            crash(&mut q, n, &format!("request-{n}"), &[FATAL]);
        }
        let peers = || nodes.iter().filter(|n| *n != me).cloned().collect();
        let hold = |now| q.part_hold(key(FATAL), &me.id.name, peers, now);
        assert!(hold(at(60)).is_some());
        let later = hold(at(62));
        assert!(later.is_none_or(|h| h.remaining == Some(Duration::from_secs(1))));
        may_send += usize::from(later.is_none());
    }
    assert_eq!(may_send, 1);
}

#[test]
fn a_held_part_survives_in_the_store_as_a_part() {
    let mut q = Quarantine::default();
    for n in 0..4 {
        crash(&mut q, n, &format!("request-{n}"), &[FATAL]);
    }
    let records = q.unstored_records(&"me".into(), &[], 1_000_000);
    assert!(records.len() == 1 && records[0].is_part, "{records:?}");
    let mut restarted = Quarantine::default();
    restarted.merge_record(&records[0], 1_000_000, at(2));
    assert!(is_held(&restarted, FATAL));
}
