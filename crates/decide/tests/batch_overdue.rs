//! Batch coordinator: calls that are late, slow or lost.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use decide::batch::{Action, CallEnd, Coordinator, Event};
use model::forward::{BatchOrder, Policy, Rank, StagePool};
use support::{answers, at, calls, coordinator, made, order, order_event, pool, probes, workers};

/// Number of pieces that the actions repeat.
fn repeated_pieces(actions: &[Action]) -> usize {
    let repeated = |a: &Action| match a {
        Action::Overdue { repeated, .. } => *repeated,
        _ => 0,
    };
    actions.iter().map(repeated).sum()
}

#[test]
fn pieces_of_an_overdue_call_are_repeated_elsewhere_and_the_second_result_freed() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "b")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("r1", 10)))).remove(0);
    assert_eq!(repeated_pieces(&c.handle_event(at(250), Event::Tick)), 0, "200 ms were expected");
    let overdue = c.handle_event(at(450), Event::Tick);
    assert_eq!(repeated_pieces(&overdue), 10);
    let second = calls(&overdue).remove(0);
    assert_ne!(first.worker, second.worker);
    assert_eq!(
        repeated_pieces(&c.handle_event(at(460), Event::Tick)),
        0,
        "pieces are repeated once"
    );
    let answered = c.handle_event(at(650), Event::CallEnded(second.number, made(&second)));
    assert_eq!(answers(&answered).len(), 1);
    let late = c.handle_event(at(1900), Event::CallEnded(first.number, made(&first)));
    let freed = late.iter().map(|a| match a {
        Action::Free(handles) => handles.len(),
        _ => 0,
    });
    assert_eq!(freed.sum::<usize>(), 10, "{late:?}");
}

#[test]
fn an_overdue_call_that_ends_cancels_repeats_not_yet_sent() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("r1", 10)))).remove(0);
    assert_eq!(
        repeated_pieces(&c.handle_event(at(450), Event::Tick)),
        10,
        "queued: there is no other worker"
    );
    let ended = c.handle_event(at(600), Event::CallEnded(first.number, made(&first)));
    assert_eq!(answers(&ended).len(), 1);
    assert_eq!(calls(&ended), []);
    assert_eq!(c.open_orders(), 0);
}

#[test]
fn an_order_with_an_overdue_call_is_not_shed_as_late() {
    let mut c = coordinator(&[("m1", "a")]);
    let soon = BatchOrder { slack_ms: 400, ..order("r1", 10) };
    let first = calls(&c.handle_event(at(0), order_event(1, soon))).remove(0);
    let overdue = c.handle_event(at(450), Event::Tick);
    assert_eq!((repeated_pieces(&overdue), answers(&overdue).len()), (10, 0));
    let ended = c.handle_event(at(500), Event::CallEnded(first.number, made(&first)));
    assert_eq!(answers(&ended).len(), 1, "late, but completed");
}

#[test]
fn a_slow_worker_is_ejected_for_longer_each_time() {
    let mut c = coordinator(&[("m1", "a")]);
    let mut call = calls(&c.handle_event(at(0), order_event(1, order("r1", 10)))).remove(0);
    let (mut now, mut ejections) = (0, Vec::new());
    for n in 2..=4 {
        now += 4_000;
        c.handle_event(at(now), Event::Tick);
        let patient = BatchOrder { slack_ms: 60_000, left_ms: 60_000, ..order("r", 10) };
        c.handle_event(at(now), order_event(n, patient));
        c.handle_event(at(now), Event::CallEnded(call.number, made(&call)));
        let ended = now;
        let due = (0..5_000).find(|_| {
            now += 10;
            !probes(&c.handle_event(at(now), Event::Tick)).is_empty()
        });
        assert!(due.is_some(), "it is probed");
        ejections.push(now - ended);
        call = calls(&c.handle_event(at(now), Event::Probed("m1".into(), true))).remove(0);
    }
    assert_eq!(ejections, [300, 600, 1200]);
}

#[test]
fn the_wait_with_all_workers_ejected_lasts_until_the_first_retry() {
    let wait = |c: &mut Coordinator, ms| c.waits(at(ms)).for_rank(Rank::default());
    let mut c = coordinator(&[("m1", "a"), ("m2", "a")]);
    let late = calls(&c.handle_event(at(0), order_event(1, order("r1", 20))));
    c.handle_event(at(450), Event::Tick);
    for call in &late {
        c.handle_event(at(900), Event::CallEnded(call.number, made(call)));
    }
    // 300 ms until calls are accepted again, instead of reporting no worker.
    assert_eq!([900, 1000, 1200].map(|ms| wait(&mut c, ms)), [300, 200, 0]);
    let mut c = coordinator(&[("m1", "a")]);
    let failed = calls(&c.handle_event(at(0), order_event(1, order("r1", 10)))).remove(0);
    c.handle_event(at(10), Event::CallEnded(failed.number, CallEnd::Failed));
    assert_eq!(wait(&mut c, 20), u32::MAX, "a failed worker may be lost");
}

#[test]
fn repeats_are_bounded_when_all_calls_hang() {
    let all: Vec<String> = (0..10).map(|n| format!("m{n}")).collect();
    let named: Vec<(&str, &str)> = all.iter().map(|m| (m.as_str(), "a")).collect();
    let mut c = coordinator(&named);
    for n in 0..60 {
        let patient = BatchOrder { slack_ms: 60_000, left_ms: 60_000, ..order("r", 10) };
        c.handle_event(at(0), order_event(n, patient));
    }
    let mut repeated = 0;
    for ms in (40..4000).step_by(40) {
        repeated += repeated_pieces(&c.handle_event(at(ms), Event::Tick));
    }
    assert_eq!(repeated, 50, "half of the capacity of ten workers");
}

#[test]
fn a_slightly_late_worker_gets_the_next_call() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("r1", 10)))).remove(0);
    c.handle_event(at(450), Event::Tick);
    c.handle_event(at(460), order_event(2, order("r2", 10)));
    let ended = c.handle_event(at(480), Event::CallEnded(first.number, made(&first)));
    assert_eq!(calls(&ended).len(), 1);
}

#[test]
fn a_duplicate_result_for_an_open_order_is_freed() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "b"), ("m3", "c")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("r1", 12))));
    assert_eq!(first.len(), 2, "twelve pieces take two calls");
    let large = &first[0];
    let again = calls(&c.handle_event(at(450), Event::Tick)).remove(0);
    let kept = c.handle_event(at(460), Event::CallEnded(large.number, made(large)));
    assert_eq!(answers(&kept).len(), 0, "two pieces are missing");
    let second = c.handle_event(at(640), Event::CallEnded(again.number, made(&again)));
    let freed = second.iter().map(|a| match a {
        Action::Free(handles) => handles.len(),
        _ => 0,
    });
    let twice = again.pieces.iter().filter(|p| large.pieces.iter().any(|l| l.piece == p.piece));
    assert_eq!(freed.sum::<usize>(), twice.count(), "{second:?}");
}

#[test]
fn a_call_slower_by_a_third_after_many_equal_ones_is_not_overdue() {
    let slow = StagePool { call_ms: 900.0, ..pool() };
    let mut c = Coordinator::new(slow, Policy::default());
    c.handle_event(at(0), workers(&[("m1", "a")]));
    let patient = || BatchOrder { slack_ms: 60_000, left_ms: 60_000, ..order("r", 10) };
    let mut now = 0;
    for n in 0..40 {
        let call = calls(&c.handle_event(at(now), order_event(n, patient()))).remove(0);
        now += 1000;
        c.handle_event(at(now), Event::CallEnded(call.number, made(&call)));
    }
    c.handle_event(at(now), order_event(100, patient()));
    assert_eq!(
        repeated_pieces(&c.handle_event(at(now + 1350), Event::Tick)),
        0,
        "it may take 1.6 of the typical time"
    );
    assert_eq!(repeated_pieces(&c.handle_event(at(now + 1650), Event::Tick)), 10);
}
