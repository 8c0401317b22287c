//! Batch coordinator: calls whose workers are silent and may answer yet.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use decide::batch::{Action, Call, CallEnd, Coordinator, Event, WorkerInfo};
use model::forward::{Allowed, BatchOrder, Policy, Rank, Waits};
use support::{answers, at, calls, coordinator, made, order, order_event, probes};

/// An order whose request has time.
fn patient(pieces: u32) -> BatchOrder {
    BatchOrder { slack_ms: 60_000, left_ms: 60_000, ..order("r", pieces) }
}

/// The call of a first order, whose worker falls silent.
fn silent_call(c: &mut Coordinator) -> Call {
    let call = calls(&c.handle_event(at(0), order_event(1, patient(10)))).remove(0);
    c.handle_event(at(1900), Event::CallSilent(call.number));
    call
}

fn freed(actions: &[Action]) -> usize {
    let count = |a: &Action| match a {
        Action::Free(handles) => handles.len(),
        _ => 0,
    };
    actions.iter().map(count).sum()
}

#[test]
fn answer_of_a_silent_worker_is_taken_if_no_other_came_first() {
    let mut c = coordinator(&[("m1", "a")]);
    let call = silent_call(&mut c);
    let ended = c.handle_event(at(2500), Event::CallEnded(call.number, made(&call)));
    assert_eq!((answers(&ended).len(), c.open_orders()), (1, 0));
    assert_eq!((calls(&ended).len(), freed(&ended)), (0, 0), "no piece is asked for again");
}

#[test]
fn pieces_of_a_silent_worker_are_made_elsewhere_and_its_late_results_freed() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "b")]);
    let call = calls(&c.handle_event(at(0), order_event(1, patient(10)))).remove(0);
    let again = calls(&c.handle_event(at(400), Event::CallSilent(call.number))).remove(0);
    assert_ne!(again.worker, call.worker);
    let made_again = c.handle_event(at(600), Event::CallEnded(again.number, made(&again)));
    assert_eq!(answers(&made_again).len(), 1);
    let late = c.handle_event(at(2500), Event::CallEnded(call.number, made(&call)));
    assert_eq!((answers(&late).len(), freed(&late)), (0, 10));
}

#[test]
fn order_does_not_fail_while_a_silent_worker_may_answer() {
    let mut c = coordinator(&[("m1", "a")]);
    let silent = silent_call(&mut c);
    let mut now = 1900;
    for _ in 0..3 {
        let due = (0..300).find_map(|_| {
            now += 10;
            let probed = !probes(&c.handle_event(at(now), Event::Tick)).is_empty();
            probed.then(|| calls(&c.handle_event(at(now), Event::Probed("m1".into(), true))))
        });
        let call = due.expect("the worker is probed").remove(0);
        now += 10;
        let failed = c.handle_event(at(now), Event::CallEnded(call.number, CallEnd::Failed));
        assert_eq!(answers(&failed), [], "the silent worker may answer yet");
    }
    let ended = c.handle_event(at(now), Event::CallEnded(silent.number, CallEnd::Failed));
    assert_eq!(answers(&ended).len(), 1, "no call is left");
}

#[test]
fn silence_of_all_workers_is_not_reported_as_the_lack_of_any() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, patient(10)))).remove(0);
    c.handle_event(at(200), Event::CallEnded(first.number, made(&first)));
    let second = calls(&c.handle_event(at(300), order_event(2, patient(10)))).remove(0);
    c.handle_event(at(2200), Event::CallSilent(second.number));
    let wait = c.waits(at(2300)).for_rank(Rank::default());
    assert_ne!(wait, Waits::NOBODY);
}

#[test]
fn order_with_an_overdue_call_in_flight_is_not_handed_over() {
    let mut c = coordinator(&[("m1", "a")]);
    let call = calls(&c.handle_event(at(0), order_event(1, patient(10)))).remove(0);
    c.handle_event(at(450), Event::Tick);
    assert_eq!(c.queued_pieces(), 10, "its pieces wait for a second worker");
    let handed_over = c.handle_event(at(500), Event::HandOver);
    assert!(!handed_over.contains(&Action::HandOver(1)), "its first call is at work");
    let ended = c.handle_event(at(600), Event::CallEnded(call.number, made(&call)));
    assert_eq!(answers(&ended).len(), 1);
}

#[test]
fn order_does_not_fail_for_want_of_workers_while_a_draining_one_makes_its_pieces() {
    let mut c = Coordinator::new(support::pool(), Policy::default());
    let worker = WorkerInfo {
        id: "m1".into(),
        domain: "a".into(),
        region: Some("north".into()),
        gap: None,
        max_pieces: None,
        share: None,
    };
    c.handle_event(at(0), Event::Workers(vec![worker]));
    let bound = BatchOrder { allowed: Allowed::only(["north".into()]), ..patient(10) };
    let call = calls(&c.handle_event(at(0), order_event(1, bound))).remove(0);
    c.handle_event(at(450), Event::Tick);
    let drained = c.handle_event(at(500), Event::Workers(Vec::new()));
    assert_eq!(answers(&drained), [], "its call is at work");
    let ended = c.handle_event(at(600), Event::CallEnded(call.number, made(&call)));
    assert_eq!((answers(&ended).len(), freed(&ended)), (1, 0));
}
