//! Sizes of calls, and how several failed calls of one order count.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use decide::batch::{Call, CallEnd, Event};
use model::forward::BatchOrder;
use support::{answers, at, calls, coordinator, made, order, order_event, pool};

/// Simulates twenty workers that get an order of nine pieces every `every_ms`, with calls as long
/// as their pieces require. Returns the mean time of an order in the second half, and the mean
/// number of pieces in a call.
fn simulate(every_ms: u64) -> (f64, f64) {
    let names: Vec<String> = (0..20).map(|i| format!("m{i}")).collect();
    let all: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut c = coordinator(&all);
    let (mut in_flight, mut latencies, mut pieces): (Vec<(u64, Call)>, Vec<u64>, Vec<usize>) =
        (Vec::new(), Vec::new(), Vec::new());
    for ms in 1..6000 {
        let (ended, open): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|(at, _)| *at <= ms);
        in_flight = open;
        let ended = ended.into_iter().map(|(_, call)| Event::CallEnded(call.number, made(&call)));
        let mut events: Vec<Event> = ended.collect();
        if ms % every_ms == 0 {
            let order = BatchOrder { slack_ms: 20_000, left_ms: 30_000, ..order("r", 9) };
            events.push(order_event(ms, order));
        }
        for event in events {
            let actions = c.handle_event(at(ms), event);
            latencies.extend(answers(&actions).iter().filter(|_| ms > 3000).map(|(id, _)| ms - id));
            for call in calls(&actions) {
                pieces.push(call.pieces.len());
                in_flight.push((
                    ms + pool().call_time(call.pieces.len() as u32).as_millis() as u64,
                    call,
                ));
            }
        }
    }
    let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len() as f64;
    (
        mean(latencies.into_iter().map(|t| t as f64).collect()),
        mean(pieces.into_iter().map(|n| n as f64).collect()),
    )
}

#[test]
fn calls_are_short_while_workers_are_idle_and_full_under_load() {
    let (idle_ms, idle_pieces) = simulate(100);
    assert!(idle_ms <= 135.0 && idle_pieces <= 4.0, "{idle_ms} ms, {idle_pieces} pieces a call");
    // 0.95 of the capacity of twenty workers with full calls.
    let (busy_ms, busy_pieces) = simulate(10);
    assert!(busy_ms <= 300.0 && busy_pieces >= 8.5, "{busy_ms} ms, {busy_pieces} pieces a call");
}

#[test]
fn concurrent_call_failures_of_an_order_count_once() {
    let names: Vec<String> = (0..60).map(|i| format!("m{i}")).collect();
    let all: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut c = coordinator(&all);
    let order = BatchOrder { slack_ms: 20_000, left_ms: 30_000, ..order("r", 9) };
    let mut in_flight = calls(&c.handle_event(at(0), order_event(1, order)));
    assert_eq!(in_flight.len(), 3, "{in_flight:?}");
    for round in 1..=3 {
        let ended = std::mem::take(&mut in_flight);
        for call in ended {
            let actions =
                c.handle_event(at(round * 100), Event::CallEnded(call.number, CallEnd::Failed));
            assert_eq!(answers(&actions), [], "in round {round}");
            in_flight.extend(calls(&actions));
        }
        in_flight.extend(calls(&c.handle_event(at(round * 100), Event::Tick)));
    }
    let ended = in_flight.into_iter().flat_map(|call| {
        answers(&c.handle_event(at(400), Event::CallEnded(call.number, CallEnd::Failed)))
    });
    assert_eq!(ended.count(), 1, "it fails after the fourth failure");
}

/// Guards against a worker that rejects every call and gets one whenever the others are busy.
#[test]
fn a_worker_that_rejects_all_calls_gets_few_of_them() {
    /// Calls per second that such a worker may get.
    const MAX_PER_S: usize = 5;
    const SECONDS: u64 = 10;
    let mut c = coordinator(&[("full", "a"), ("busy", "a")]);
    let mut in_flight: Vec<(u64, Call)> = Vec::new();
    let mut rejected = 0;
    for ms in 1..SECONDS * 1000 {
        let (ended, open): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|(at, _)| *at <= ms);
        in_flight = open;
        let end = |call: Call| match &*call.worker.name {
            "full" => Event::CallEnded(call.number, CallEnd::Full),
            _ => Event::CallEnded(call.number, made(&call)),
        };
        let mut events: Vec<Event> = ended.into_iter().map(|(_, call)| end(call)).collect();
        events.push(Event::Tick);
        if ms % 30 == 0 {
            let order = BatchOrder { slack_ms: 20_000, left_ms: 30_000, ..order("r", 3) };
            events.push(order_event(ms, order));
        }
        for event in events {
            for call in calls(&c.handle_event(at(ms), event)) {
                let is_rejected = &*call.worker.name == "full";
                rejected += usize::from(is_rejected);
                let length = pool().call_time(call.pieces.len() as u32).as_millis() as u64;
                in_flight.push((ms + if is_rejected { 1 } else { length }, call));
            }
        }
    }
    assert!(rejected <= MAX_PER_S * SECONDS as usize, "{rejected} calls in {SECONDS} s");
}
