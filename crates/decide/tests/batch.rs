//! Batch coordinator: the contents and placement of calls, and the answers to orders.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use decide::batch::{Action, Call, CallEnd, Coordinator, Event, OrderId, WorkerInfo};
use model::forward::{BatchOrder, PieceResult, Policy, Rank, StagePool, TargetId};
use proptest::prelude::*;
use support::{answers, at, calls, coordinator, made, order, order_event, pool, probes, workers};

#[test]
fn orders_queued_while_workers_are_busy_share_the_next_call() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("r1", 2))));
    assert_eq!(first.len(), 1, "a free worker gets a call at once");
    for id in 2..=4 {
        let more = c.handle_event(at(10), order_event(id, order(&format!("r{id}"), 3)));
        assert!(calls(&more).is_empty(), "one call at a time at a worker with one slot");
    }
    let next = c.handle_event(at(120), Event::CallEnded(first[0].number, made(&first[0])));
    assert_eq!(answers(&next).len(), 1);
    assert_eq!(calls(&next)[0].pieces.len(), 9, "three requests share a call");
}

#[test]
fn an_order_late_in_a_typically_filled_call_goes_last() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("busy", 1))));
    // One piece takes 110 ms, a typically filled call 170 ms.
    let late = BatchOrder { slack_ms: 300, ..order("late", 1) };
    let in_time = BatchOrder { slack_ms: 330, ..order("in-time", 5) };
    for (id, order) in [(2, late), (3, in_time)] {
        c.handle_event(at(1), order_event(id, order));
    }
    let next = calls(&c.handle_event(at(150), Event::CallEnded(first[0].number, made(&first[0]))));
    assert_eq!(&*next[0].pieces[0].attempt, "in-time");
}

#[test]
fn an_order_larger_than_a_call_is_split_and_answered_once_in_piece_order() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "a")]);
    let started = calls(&c.handle_event(at(0), order_event(1, order("r1", 14))));
    let sizes: Vec<usize> = started.iter().map(|c| c.pieces.len()).collect();
    assert_eq!(sizes, [10, 4]);
    assert!(
        answers(&c.handle_event(at(200), Event::CallEnded(started[1].number, made(&started[1]))))
            .is_empty()
    );
    let done =
        answers(&c.handle_event(at(210), Event::CallEnded(started[0].number, made(&started[0]))));
    let pieces: Vec<String> = done[0].1.iter().map(piece_of).collect();
    let expected: Vec<String> = (0..14).map(|n| format!("r1/{n}")).collect();
    assert_eq!(pieces, expected);
}

fn piece_of(result: &PieceResult) -> String {
    let PieceResult::Made(handle) = result else {
        panic!("{result:?} is no completed piece");
    };
    handle.text.rsplit_once('/').expect("handles end with the call number").0.to_string()
}

#[test]
fn urgent_orders_go_first_and_hopeless_ones_last() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("busy", 1))));
    let urgent = BatchOrder { rank: Rank::new(None, 0), ..order("urgent", 6) };
    let patient = BatchOrder { rank: Rank::new(None, 2), slack_ms: 900, ..order("patient", 6) };
    let hopeless = BatchOrder { rank: Rank::new(None, 0), slack_ms: 20, ..order("hopeless", 6) };
    for (id, order) in [(2, hopeless), (3, patient), (4, urgent)] {
        c.handle_event(at(1), order_event(id, order));
    }
    let next = calls(&c.handle_event(at(110), Event::CallEnded(first[0].number, made(&first[0]))));
    let in_order: Vec<&str> = next[0].pieces.iter().map(|p| &*p.attempt).collect();
    assert_eq!(in_order[..6], ["urgent"; 6]);
    assert_eq!(in_order[6..], ["patient"; 4], "the call is filled with part of the next order");
    let then = calls(&c.handle_event(at(300), Event::CallEnded(next[0].number, made(&next[0]))));
    assert_eq!(&*then[0].pieces[0].attempt, "patient", "a started order is completed first");
    assert_eq!(&*then[0].pieces[2].attempt, "hopeless");
}

#[test]
fn large_inputs_stay_in_their_failure_domain() {
    let large = |rank: u8, slack_ms| BatchOrder {
        near: Some("b".into()),
        moved_bytes: 9 << 20,
        spread_bytes: 9 << 20,
        rank: Rank::new(None, rank),
        slack_ms,
        ..order("large", 2)
    };
    let cases = [
        (
            "waits for a worker in its own domain",
            large(2, 2000),
            &[("m1", "a"), ("m2", "b")][..],
            "m2",
        ),
        ("goes elsewhere if its domain has no worker", large(2, 2000), &[("m1", "a")][..], "m1"),
    ];
    for (what, order, present, worker) in cases {
        let mut c = coordinator(present);
        let started = calls(&c.handle_event(at(0), order_event(1, order)));
        assert_eq!(&*started[0].worker.name, worker, "{what}");
    }
    let mut c = coordinator(&[("m1", "a"), ("m2", "b")]);
    let busy = BatchOrder { near: Some("b".into()), ..large(2, 2000) };
    c.handle_event(at(0), order_event(1, busy));
    let patient = c.handle_event(at(1), order_event(2, large(2, 200)));
    assert!(calls(&patient).is_empty(), "a patient order waits for its busy domain");
    let pressed = calls(&c.handle_event(at(2), order_event(3, large(1, 200))));
    assert_eq!(&*pressed[0].worker.name, "m1", "an urgent order short of time does not");
}

#[test]
fn worker_memory_is_not_overcommitted_and_is_reclaimed_when_results_are_freed() {
    let mut c = Coordinator::new(StagePool { room_mb: 5.0, ..pool() }, Policy::default());
    c.handle_event(at(0), workers(&[("m1", "a")]));
    let heavy = |name: &str| BatchOrder { result_bytes: 1_000_000, ..order(name, 4) };
    let first = calls(&c.handle_event(at(0), order_event(1, heavy("r1"))));
    assert_eq!(first[0].pieces.len(), 4);
    let ended = c.handle_event(at(150), Event::CallEnded(first[0].number, made(&first[0])));
    let kept = answers(&ended)[0].1.clone();
    assert!(
        calls(&c.handle_event(at(160), order_event(2, heavy("r2")))).is_empty(),
        "4 of 4.5 MB are in use"
    );
    let handles = kept
        .into_iter()
        .filter_map(|r| match r {
            PieceResult::Made(h) => Some(h),
            _ => None,
        })
        .collect();
    assert_eq!(calls(&c.handle_event(at(200), Event::Freed(handles)))[0].pieces.len(), 4);
}

#[test]
fn a_worker_without_room_for_a_large_result_still_makes_small_ones() {
    let mut c = coordinator(&[("m1", "a")]);
    let heavy = BatchOrder { result_bytes: 3_000_000, ..order("heavy", 2) };
    let first = calls(&c.handle_event(at(0), order_event(1, heavy))).remove(0);
    let full = CallEnd::Answered(vec![PieceResult::NoRoom; 2]);
    assert!(calls(&c.handle_event(at(2), Event::CallEnded(first.number, full))).is_empty());
    let light = calls(&c.handle_event(at(3), order_event(2, order("light", 2)))).remove(0);
    assert!(light.pieces.iter().all(|p| &*p.attempt == "light"));
    let ended = c.handle_event(at(100), Event::CallEnded(light.number, made(&light)));
    assert!(calls(&ended).is_empty(), "the lack of room was reported recently");
    let again = calls(&c.handle_event(at(200), Event::Tick)).pop();
    assert!(again.is_some_and(|call| &*call.pieces[0].attempt == "heavy"), "it is retried");
}

#[test]
fn an_order_that_fails_for_lack_of_room_reports_no_room() {
    let mut c = coordinator(&[("m1", "a")]);
    let heavy = BatchOrder { result_bytes: 30_000_000, slack_ms: 300, ..order("heavy", 2) };
    let first = calls(&c.handle_event(at(0), order_event(1, heavy))).remove(0);
    let full = CallEnd::Answered(vec![PieceResult::NoRoom; 2]);
    c.handle_event(at(2), Event::CallEnded(first.number, full));
    let light = BatchOrder { slack_ms: 250, ..order("light", 10) };
    let second = calls(&c.handle_event(at(3), order_event(2, light.clone()))).remove(0);
    c.handle_event(at(4), order_event(3, light));
    let ticks = [240, 260, 300].into_iter();
    let answered: BTreeMap<OrderId, Vec<PieceResult>> =
        ticks.flat_map(|ms| answers(&c.handle_event(at(ms), Event::Tick))).collect();
    assert_eq!(second.pieces.len(), 10);
    assert_eq!(answered[&1], vec![PieceResult::NoRoom; 2]);
    assert_eq!(answered[&3], vec![PieceResult::Late; 10]);
}

#[test]
fn results_that_are_never_freed_expire() {
    let mut c = Coordinator::new(StagePool { room_mb: 5.0, ..pool() }, Policy::default());
    c.handle_event(at(0), workers(&[("m1", "a")]));
    let patient = |name: &str| BatchOrder { slack_ms: 6000, ..order(name, 4) };
    let heavy = |name: &str| BatchOrder { result_bytes: 1_000_000, ..patient(name) };
    let first = calls(&c.handle_event(at(0), order_event(1, heavy("r1"))));
    c.handle_event(at(150), Event::CallEnded(first[0].number, made(&first[0])));
    assert!(calls(&c.handle_event(at(160), order_event(2, heavy("r2")))).is_empty());
    assert_eq!(calls(&c.handle_event(at(4200), Event::Tick)).len(), 1);
}

#[test]
fn a_failed_call_is_retried_elsewhere_up_to_a_limit() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "a")]);
    let mut call = calls(&c.handle_event(at(0), order_event(1, order("r1", 2)))).remove(0);
    let mut seen = vec![call.worker.clone()];
    let mut now = 0;
    let results = loop {
        now += 50;
        let out = c.handle_event(at(now), Event::CallEnded(call.number, CallEnd::Failed));
        if let Some((_, results)) = answers(&out).pop() {
            break results;
        }
        let mut next = calls(&out).pop();
        while next.is_none() {
            now += 50;
            let mut out = c.handle_event(at(now), Event::Tick);
            for worker in probes(&out) {
                out.extend(c.handle_event(at(now), Event::Probed(worker, true)));
            }
            next = calls(&out).pop();
        }
        call = next.expect("the loop ends with a call");
        seen.push(call.worker.clone());
    };
    assert_eq!(results, [PieceResult::Failed, PieceResult::Failed]);
    assert_ne!(seen[0], seen[1], "the failed worker is ejected");
    assert_eq!(seen.len(), 4);
}

#[test]
fn a_failed_worker_must_answer_a_probe_before_it_gets_calls() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("r1", 2)))).remove(0);
    c.handle_event(at(50), Event::CallEnded(first.number, CallEnd::Failed));
    let mut failed = first.worker.clone();
    for ms in (100..900).step_by(50) {
        let out = c.handle_event(at(ms), Event::Tick);
        assert!(calls(&out).is_empty(), "the other worker is busy, this one is ejected");
        for worker in probes(&out) {
            assert_eq!(worker, first.worker);
            failed = worker;
        }
    }
    c.handle_event(at(900), order_event(2, BatchOrder { slack_ms: 6000, ..order("r2", 2) }));
    c.handle_event(at(910), Event::Probed(failed.clone(), false));
    assert!(calls(&c.handle_event(at(920), Event::Tick)).is_empty(), "the probe got no answer");
    let again = probes(&c.handle_event(at(5000), Event::Tick));
    assert_eq!(again, [failed.clone()], "it is probed again later");
    let back = calls(&c.handle_event(at(5001), Event::Probed(failed.clone(), true)));
    assert_eq!(back[0].worker, failed);
}

#[test]
fn an_order_not_started_in_time_is_answered_as_late() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("busy", 10))));
    let starved = BatchOrder { slack_ms: 300, ..order("starved", 2) };
    let came_late = BatchOrder { slack_ms: 0, ..order("came-late", 2) };
    c.handle_event(at(0), order_event(2, starved));
    c.handle_event(at(0), order_event(3, came_late));
    assert!(answers(&c.handle_event(at(299), Event::Tick)).is_empty());
    let ended = answers(&c.handle_event(at(300), Event::Tick));
    assert_eq!(ended, [(2, vec![PieceResult::Late; 2])]);
    let next = calls(&c.handle_event(at(310), Event::CallEnded(first[0].number, made(&first[0]))));
    assert_eq!(next[0].pieces.len(), 2, "an order late on arrival runs when no other waits");
}

#[test]
fn an_order_whose_call_failed_is_retried_past_its_slack() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "a")]);
    let first = calls(
        &c.handle_event(at(0), order_event(1, BatchOrder { slack_ms: 300, ..order("r1", 2) })),
    );
    let again = c.handle_event(at(900), Event::CallEnded(first[0].number, CallEnd::Failed));
    assert!(answers(&again).is_empty());
    let again = calls(&again);
    assert_ne!(again[0].worker, first[0].worker);
    assert_eq!(again[0].pieces.len(), 2);
}

#[test]
fn without_shedding_an_order_waits_until_its_deadline() {
    let mut c = Coordinator::new(pool(), Policy { shedding: false, ..Policy::default() });
    c.handle_event(at(0), workers(&[("m1", "a")]));
    c.handle_event(at(0), order_event(1, order("busy", 10)));
    c.handle_event(at(0), order_event(2, BatchOrder { slack_ms: 300, ..order("starved", 2) }));
    assert!(answers(&c.handle_event(at(2000), Event::Tick)).is_empty());
    assert_eq!(answers(&c.handle_event(at(8000), Event::Tick)).len(), 2, "its deadline has passed");
}

#[test]
fn a_partly_started_order_is_completed_past_its_slack() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(
        &c.handle_event(at(0), order_event(1, BatchOrder { slack_ms: 300, ..order("r1", 12) })),
    );
    assert!(answers(&c.handle_event(at(350), Event::Tick)).is_empty());
    let next = calls(&c.handle_event(at(360), Event::CallEnded(first[0].number, made(&first[0]))));
    let ended = answers(&c.handle_event(at(480), Event::CallEnded(next[0].number, made(&next[0]))));
    assert!(ended[0].1.iter().all(|r| matches!(r, PieceResult::Made(_))), "{ended:?}");
}

#[test]
fn an_expired_order_is_answered_at_once_and_its_results_are_freed() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("busy", 1))));
    c.handle_event(at(1), order_event(2, BatchOrder { left_ms: 40, ..order("late", 2) }));
    let out = c.handle_event(at(60), Event::Tick);
    assert_eq!(answers(&out), [(2, vec![PieceResult::Late, PieceResult::Late])]);
    c.handle_event(at(61), Event::Cancel(1));
    let ended = c.handle_event(at(120), Event::CallEnded(first[0].number, made(&first[0])));
    assert!(matches!(&ended[..], [Action::Free(handles)] if handles.len() == 1));
}

#[test]
fn hand_over_moves_only_unstarted_unpinned_orders() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("begun", 1))));
    c.handle_event(at(1), order_event(2, order("waiting", 1)));
    assert_eq!(c.handle_event(at(2), Event::HandOver), [Action::HandOver(2)]);
    let kept = Event::Order { id: 3, order: order("kept", 1), pinned: true };
    c.handle_event(at(3), kept);
    assert!(c.handle_event(at(4), Event::HandOver).is_empty(), "a pinned order is not handed over");
    let ended = c.handle_event(at(120), Event::CallEnded(first[0].number, made(&first[0])));
    assert_eq!(answers(&ended).len(), 1, "a started order is completed here");
}

#[test]
fn waits_grow_with_pieces_queued_at_the_same_or_a_higher_rank() {
    let mut c = coordinator(&[("m1", "a")]);
    c.handle_event(at(0), order_event(1, order("busy", 1)));
    let empty = c.waits(at(0));
    c.handle_event(at(1), order_event(2, BatchOrder { rank: Rank::new(None, 1), ..order("r", 8) }));
    let full = c.waits(at(1));
    assert_eq!(
        full.for_rank(Rank::new(None, 0)),
        empty.for_rank(Rank::new(None, 0)),
        "rank 1 is not ahead of rank 0"
    );
    assert!(
        full.for_rank(Rank::new(None, 1)) >= empty.for_rank(Rank::new(None, 1)) + 8 * 20,
        "{full:?} after {empty:?}"
    );
    let mut none = Coordinator::new(pool(), Policy::default());
    none.handle_event(at(0), order_event(1, order("r", 1)));
    assert_eq!(none.waits(at(0)).for_rank(Rank::new(None, 0)), u32::MAX, "there is no worker");
}

/// Steps of a simulation in which calls end in any order and with any outcome.
#[derive(Debug, Clone)]
enum Step {
    Order { pieces: u32, rank: u8, near: u8 },
    End { which: usize, how: u8 },
    Duplicate { which: usize },
    Probed { ok: bool },
    Cancel { which: u64 },
    Workers { mask: u8 },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..25, 0u8..3, 0u8..3).prop_map(|(pieces, rank, near)| Step::Order { pieces, rank, near }),
        6 => (0usize..8, 0u8..10).prop_map(|(which, how)| Step::End { which, how }),
        1 => (0usize..8).prop_map(|which| Step::Duplicate { which }),
        1 => any::<bool>().prop_map(|ok| Step::Probed { ok }),
        1 => (0u64..40).prop_map(|which| Step::Cancel { which }),
        1 => (0u8..16).prop_map(|mask| Step::Workers { mask }),
        3 => (1u64..400).prop_map(|ms| Step::Advance { ms }),
    ]
}

#[derive(Default)]
struct World {
    now: u64,
    orders: BTreeMap<OrderId, u32>,
    answered: BTreeSet<OrderId>,
    cancelled: BTreeSet<OrderId>,
    in_flight: Vec<Call>,
    probed: Vec<TargetId>,
    ended: Vec<Call>,
    /// Handles of results that were returned or freed.
    settled: BTreeSet<String>,
}

impl World {
    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Start(call) => {
                    prop_assert!(call.pieces.len() <= pool().batch);
                    let same = self.in_flight.iter().filter(|f| f.worker == call.worker).count();
                    prop_assert!(same < 1, "concurrent calls at {}", call.worker);
                    self.in_flight.push(call);
                }
                Action::Answer(id, results) => {
                    prop_assert!(self.answered.insert(id), "order {id} answered twice");
                    prop_assert!(!self.cancelled.contains(&id));
                    prop_assert_eq!(results.len() as u32, self.orders[&id]);
                    for (n, result) in results.iter().enumerate() {
                        if let PieceResult::Made(handle) = result {
                            prop_assert_eq!(piece_of(result), format!("r{id}/{n}"));
                            prop_assert!(self.settled.insert(handle.text.clone()));
                        }
                    }
                }
                Action::Probe(worker) => self.probed.push(worker),
                Action::Free(handles) => {
                    for handle in handles {
                        prop_assert!(self.settled.insert(handle.text), "returned or freed before");
                    }
                }
                Action::HandOver(_) | Action::Overdue { .. } => {}
            }
        }
        Ok(())
    }

    fn end(&mut self, which: usize, how: u8) -> Option<Event> {
        if self.in_flight.is_empty() {
            return None;
        }
        let call = self.in_flight.remove(which % self.in_flight.len());
        let end = match how {
            0 => CallEnd::Failed,
            1 => CallEnd::Full,
            2 => CallEnd::Answered(vec![PieceResult::NoRoom; call.pieces.len()]),
            3 => CallEnd::Answered(Vec::new()),
            _ => made(&call),
        };
        let event = Event::CallEnded(call.number, end);
        self.ended.push(call);
        Some(event)
    }
}

proptest! {
    /// For any outcome of calls, each order is answered once and completely with its own pieces,
    /// and no worker gets more concurrent calls than it has slots.
    #[test]
    fn each_order_is_answered_once_with_its_own_pieces(steps in prop::collection::vec(step(), 1..120)) {
        let all = [("m1", "a"), ("m2", "a"), ("m3", "b"), ("m4", "c")];
        let domains = ["a", "b", "c"];
        let mut c = coordinator(&all);
        let mut world = World::default();
        for step in steps {
            let event = match step {
                Step::Order { pieces, rank, near } => {
                    let id = world.orders.len() as u64 + 1;
                    world.orders.insert(id, pieces);
                    let near = Some(domains[usize::from(near)].into());
                    let order = order(&format!("r{id}"), pieces);
                    Some(order_event(id, BatchOrder { rank: Rank::new(None, rank), near, moved_bytes: 2 << 20, ..order }))
                }
                Step::End { which, how } => world.end(which, how),
                Step::Duplicate { which } if !world.ended.is_empty() => {
                    let call = &world.ended[which % world.ended.len()];
                    Some(Event::CallEnded(call.number, made(call)))
                }
                Step::Duplicate { .. } => None,
                Step::Probed { ok } => world.probed.pop().map(|worker| Event::Probed(worker, ok)),
                Step::Cancel { which } => {
                    let open = world.orders.contains_key(&which) && !world.answered.contains(&which);
                    open.then(|| {
                        world.cancelled.insert(which);
                        Event::Cancel(which)
                    })
                }
                Step::Workers { mask } => {
                    let present: Vec<_> =
                        all.iter().enumerate().filter(|(i, _)| mask & (1 << i) != 0).map(|(_, m)| *m).collect();
                    Some(workers(&present))
                }
                Step::Advance { ms } => {
                    world.now += ms;
                    Some(Event::Tick)
                }
            };
            if let Some(event) = event {
                let actions = c.handle_event(at(world.now), event);
                world.apply(actions)?;
            }
        }
        // At the end all workers are present and every call succeeds.
        let actions = c.handle_event(at(world.now), workers(&all));
        world.apply(actions)?;
        for _ in 0..2000 {
            world.now += 20;
            let probed = world.probed.pop().map(|worker| Event::Probed(worker, true));
            let event = probed.or_else(|| world.end(0, 9)).unwrap_or(Event::Tick);
            let actions = c.handle_event(at(world.now), event);
            world.apply(actions)?;
        }
        for id in world.orders.keys() {
            prop_assert!(world.answered.contains(id) || world.cancelled.contains(id), "order {id}");
        }
        prop_assert_eq!(c.open_orders(), 0);
    }
}

#[test]
fn a_piece_carries_the_time_left_after_its_wait() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.handle_event(at(0), order_event(1, order("busy", 1))));
    assert_eq!(first[0].pieces[0].left_ms, Some(8000));
    c.handle_event(at(0), order_event(2, order("waits", 1)));
    let next = calls(&c.handle_event(at(250), Event::CallEnded(first[0].number, made(&first[0]))));
    assert_eq!(next[0].pieces[0].left_ms, Some(7750));
}

#[test]
fn a_cold_worker_gets_calls_no_closer_than_its_gap() {
    let cold = |gap: Option<Duration>| {
        Event::Workers(vec![WorkerInfo {
            id: "m1".into(),
            domain: "a".into(),
            region: None,
            gap,
            max_pieces: None,
            share: None,
        }])
    };
    let mut c = Coordinator::new(pool(), Policy::default());
    let gap = Duration::from_millis(800);
    c.handle_event(at(1), cold(Some(gap)));
    let first = calls(&c.handle_event(at(1), order_event(1, order("r1", 10))));
    assert_eq!(first.len(), 1, "the first call starts at once");
    c.handle_event(at(1), order_event(2, order("r2", 10)));
    let after = c.handle_event(at(201), Event::CallEnded(first[0].number, made(&first[0])));
    assert_eq!(calls(&after), [], "the next one waits although the worker is free");
    assert_eq!(calls(&c.handle_event(at(800), Event::Tick)), []);
    assert_eq!(calls(&c.handle_event(at(801), Event::Tick)).len(), 1);
    let mut c = Coordinator::new(pool(), Policy::default());
    c.handle_event(at(1), cold(Some(Duration::MAX)));
    assert_eq!(
        calls(&c.handle_event(at(1), order_event(1, order("r1", 10)))),
        [],
        "it gets no calls"
    );
    assert_eq!(calls(&c.handle_event(at(900), cold(None))).len(), 1, "it is no longer cold");
}

#[test]
fn an_order_with_two_failed_calls_shares_no_call() {
    let mut c = coordinator(&[("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a")]);
    let mut started = Vec::new();
    for (id, name) in [(1, "bad"), (2, "good"), (3, "fine")] {
        let order = BatchOrder { slack_ms: 20_000, left_ms: 30_000, ..order(name, 2) };
        c.handle_event(at(0), workers(&[]));
        c.handle_event(at(0), order_event(id, order));
    }
    started.extend(calls(&c.handle_event(at(1), workers(&[("m1", "a")]))));
    assert_eq!(started[0].pieces.len(), 6, "they share a call");
    let again =
        calls(&c.handle_event(at(50), Event::CallEnded(started[0].number, CallEnd::Failed)));
    assert!(again.is_empty(), "its only worker failed");
    let again = calls(&c.handle_event(at(51), workers(&[("m2", "a")])));
    assert_eq!(again[0].pieces.len(), 6, "one failure does not isolate an order");
    c.handle_event(at(100), Event::CallEnded(again[0].number, CallEnd::Failed));
    let alone = calls(&c.handle_event(at(101), workers(&[("m3", "a"), ("m4", "a")])));
    for call in &alone {
        let attempts: BTreeSet<&str> = call.pieces.iter().map(|p| &*p.attempt).collect();
        assert_eq!((attempts.len(), call.pieces.len()), (1, 2), "{call:?}");
    }
    assert_eq!(alone.len(), 2);
}
