//! Targets that restart under their names, with updates on both starts in any order.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod batch;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::batch::{Call, CallEnd, Coordinator, Event, WorkerInfo};
use decide::fleet::{ColdLimit, Fleet, Observation, Terms, drop_superseded};
use decide::prefill::Scheduler;
use decide::rng::Rng;
use model::Name;
use model::forward::{
    Allowed, BatchOrder, PieceResult, Policy, PrefillAsk, Side, Target, TargetChange, TargetId,
};
use proptest::prelude::*;
use support::{at, criteria, target};

/// The entry of target `t` at a revision.
fn entry(start: u64, revision: u64) -> Target {
    Target { id: TargetId::new("t", start), revision, ..target("t", "a") }
}

fn id(start: u64) -> TargetId {
    TargetId::new("t", start)
}

fn fleet(targets: Vec<Target>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replace(targets, None, at(0));
    fleet
}

/// Pairs of starts of a target: the later one has a greater or a lower start time, or either start
/// time is missing (0).
const STARTS: [(u64, u64); 4] = [(17, 18), (18, 17), (0, 17), (17, 0)];

#[test]
fn a_new_start_inherits_no_state_from_the_previous_start() {
    for (before, after) in STARTS {
        let mut fleet = fleet(vec![Target { cold_ms: 9000, ..entry(before, 5) }]);
        let limit =
            ColdLimit { duration: Duration::from_secs(9), interval: Some(Duration::from_secs(1)) };
        let old = id(before);
        fleet.record_cold_start(&old, limit, at(10));
        fleet.request_sent(&old, 700);
        fleet.observe(&old, Observation::Answered(Duration::from_millis(80)), at(20));
        assert!(fleet.observe(&old, Observation::Unreachable, at(30)), "ejected");

        assert!(fleet.upsert(entry(after, 6), at(40)));
        let new = id(after);
        let belief = fleet.get(&new).expect("the new start is known");
        assert!(!belief.is_ejected(at(40)) && !fleet.is_cold(belief, limit, at(40)));
        let pace = (belief.next_start, belief.cold_until);
        assert_eq!(pace, (at(0), at(40)));
        assert_eq!((belief.outstanding, belief.prefill_tokens), (0, 0));
        assert_eq!((belief.answer_ms(at(40)), belief.failure_rate(at(40))), (None, 0.0));
        assert!(fleet.get(&old).is_none(), "the previous start is forgotten");
        assert!(!fleet.is_usable(&old, Terms::ANY, at(40)));
    }
}

#[test]
fn late_events_of_the_previous_start_do_not_affect_the_new_start() {
    for (before, after) in STARTS {
        let mut fleet = fleet(vec![entry(before, 5)]);
        fleet.request_sent(&id(before), 700);
        fleet.upsert(entry(after, 6), at(40));
        fleet.request_sent(&id(after), 300);
        let limit =
            ColdLimit { duration: Duration::from_secs(9), interval: Some(Duration::from_secs(1)) };
        fleet.prompt_read(&id(before), 700);
        fleet.request_done(&id(before));
        fleet.record_cold_start(&id(before), limit, at(50));
        let ends = [Observation::Failed, Observation::Unreachable, Observation::Replaced];
        for end in ends {
            assert!(!fleet.observe(&id(before), end, at(50)), "{end:?}");
        }
        let belief = fleet.get(&id(after)).expect("known");
        assert_eq!(
            (belief.outstanding, belief.prefill_tokens, belief.failure_rate(at(40))),
            (1, 300, 0.0)
        );
        assert!(!belief.is_ejected(at(50)) && belief.next_start == at(0));
    }
}

#[test]
fn repeated_entry_is_not_a_restart() {
    let mut fleet = fleet(vec![entry(17, 5)]);
    fleet.request_sent(&id(17), 700);
    assert!(!fleet.upsert(entry(17, 5), at(10)));
    assert!(!fleet.upsert(entry(17, 0), at(10)), "an entry without a revision");
    fleet.replace(vec![entry(17, 5)], None, at(20));
    let changes = vec![TargetChange::Gone("t".into()), TargetChange::Now(entry(17, 5))];
    apply(&mut fleet, changes);
    fleet.upsert(Target { version: "v2".into(), slots: 9, ..entry(17, 6) }, at(30));
    let belief = fleet.get(&id(17)).expect("known");
    assert_eq!((belief.outstanding, belief.prefill_tokens, belief.target.slots), (1, 700, 9));
}

#[test]
fn a_start_in_another_service_and_domain_is_indexed_only_there() {
    let mut fleet = fleet(vec![entry(17, 5), target("u", "a")]);
    let moved = Target {
        service: "encode".into(),
        domain: "b".into(),
        address: "127.0.0.1:2".parse().expect("an address"),
        ..entry(18, 6)
    };
    fleet.upsert(moved, at(10));
    let names = |service: &str| -> Vec<(Name, Name)> {
        let of = fleet.usable(service, Terms::ANY, at(10));
        of.map(|belief| (belief.target.id.name.clone(), belief.target.domain.clone())).collect()
    };
    assert_eq!(names("engine"), [("u".into(), "a".into())]);
    assert_eq!(names("encode"), [("t".into(), "b".into())]);
    assert_eq!(fleet.domain_of(&id(18)).map(|d| &**d), Some("b"));
    assert_eq!(fleet.domain_of(&id(17)), None);
}

#[test]
fn a_request_that_failed_at_the_previous_start_may_try_the_new_start() {
    let mut fleet = fleet(vec![entry(17, 5)]);
    let tried = [id(17)];
    let mut rng = Rng::new(1);
    assert_eq!(fleet.pick_by_wait(criteria(&tried), at(0), &mut rng), None);
    fleet.upsert(entry(18, 6), at(10));
    let chosen = fleet.pick_by_wait(criteria(&tried), at(10), &mut rng).map(|t| t.id);
    assert_eq!(chosen, Some(id(18)));
}

/// Applies changes as a node does.
fn apply(fleet: &mut Fleet, changes: Vec<TargetChange>) {
    for change in drop_superseded(changes) {
        match change {
            TargetChange::Now(target) => {
                fleet.upsert(target, at(0));
            }
            TargetChange::Unreadable(name) => {
                fleet.mark_unreadable(&name);
            }
            TargetChange::Gone(name) => fleet.remove(&name, None, at(0)),
        }
    }
}

#[test]
fn a_stale_source_does_not_restore_an_earlier_start() {
    let mut fleet = fleet(vec![entry(18, 7)]);
    fleet.request_sent(&id(18), 700);
    assert!(!fleet.upsert(entry(17, 5), at(10)), "older revision, even of a later start");
    assert!(!fleet.upsert(entry(19, 6), at(10)));
    // A source that is ahead repeats changes that are known, including a removal.
    let earlier = [TargetChange::Now(entry(17, 4)), TargetChange::Gone("t".into())];
    let changes = [&earlier[..], &[TargetChange::Now(entry(18, 7))]].concat();
    apply(&mut fleet, changes);
    assert_eq!(fleet.get(&id(18)).expect("known").outstanding, 1);
    fleet.replace(vec![entry(17, 3)], None, at(20));
    assert!(fleet.get(&id(17)).is_some(), "a full list is authoritative");
}

#[test]
fn a_removal_after_draining_is_kept_as_a_removal() {
    let drains = TargetChange::Now(Target { draining: true, ..entry(17, 6) });
    let changes = vec![drains, TargetChange::Gone("t".into())];
    assert_eq!(drop_superseded(changes.clone()), changes);
}

proptest! {
    /// Stale sources deliver earlier starts again, in any order.
    #[test]
    fn the_latest_revision_wins_in_any_delivery_order(
        starts in prop::collection::vec(0..4_u64, 1..6),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..30),
    ) {
        let entries: Vec<Target> =
            starts.iter().zip(1..).map(|(start, revision)| entry(*start, revision)).collect();
        let mut fleet = Fleet::default();
        let mut newest: Option<Target> = None;
        let mut sent = 0;
        for index in order {
            let next = index.get(&entries).clone();
            let is_newer = newest.as_ref().is_none_or(|n| next.revision > n.revision);
            let is_restart = newest.as_ref().is_none_or(|n| next.id != n.id);
            fleet.upsert(next.clone(), at(0));
            if is_newer {
                sent = if is_restart { 0 } else { sent };
                newest = Some(next);
            }
            let known = newest.as_ref().expect("an entry was delivered");
            let belief = fleet.get(&known.id).expect("the newest is known");
            prop_assert_eq!(&belief.target, known);
            prop_assert_eq!(belief.outstanding, sent);
            fleet.request_sent(&known.id, 1);
            sent += 1;
        }
    }
}

#[test]
fn a_target_with_an_unreadable_entry_gets_no_new_work_but_keeps_its_current_work() {
    let name: Name = "t".into();
    let doubt = Some(at(9000));
    let mut fleet = fleet(vec![entry(17, 5)]);
    fleet.request_sent(&id(17), 700);
    assert!(fleet.mark_unreadable(&name));
    assert!(!fleet.mark_unreadable(&name), "reported once");
    assert!(!fleet.is_usable(&id(17), Terms::ANY, at(10)));
    assert_eq!(fleet.get(&id(17)).expect("it keeps running").outstanding, 1);
    let list = fleet.list(at(10));
    assert_eq!((list.targets.len(), &list.unreadable[..]), (0, &["t".into()][..]));

    // Another node takes this list while in doubt after an outage, a third one without any doubt.
    let mut other = Fleet::default();
    other.upsert(entry(17, 5), at(0));
    let mut third = Fleet::default();
    third.upsert(entry(17, 5), at(0));
    third.request_sent(&id(17), 700);
    third.replace(list.clone(), None, at(10));
    assert_eq!(third.get(&id(17)).expect("it keeps running").outstanding, 1);
    assert!(!third.is_usable(&id(17), Terms::ANY, at(10)));
    other.replace(list, doubt, at(10));
    assert!(!other.is_usable(&id(17), Terms::ANY, at(10)), "not kept as a target that vanished");
    assert!(other.get(&id(17)).is_some_and(|belief| belief.missing_until.is_none()), "nor removed");
    other.expire(at(20_000));
    assert!(other.get(&id(17)).is_some());

    assert!(!fleet.upsert(entry(17, 4), at(20)), "an older revision does not restore it");
    assert!(!fleet.is_usable(&id(17), Terms::ANY, at(20)));
    assert!(fleet.upsert(entry(17, 6), at(20)));
    assert!(fleet.is_usable(&id(17), Terms::ANY, at(20)));
    assert_eq!(fleet.count_unreadable(), 0);

    other.remove(&name, doubt, at(0));
    assert!(other.get(&id(17)).is_none(), "its removal does not wait for the doubt period");
    assert_eq!(other.count_unreadable(), 0);
}

#[test]
fn a_missing_target_whose_entry_returns_unreadable_gets_no_new_work() {
    let mut fleet = fleet(vec![entry(17, 5)]);
    fleet.remove(&"t".into(), Some(at(9000)), at(0));
    assert!(fleet.is_usable(&id(17), Terms::ANY, at(10)), "it is probably still running");
    fleet.mark_unreadable(&"t".into());
    assert!(!fleet.is_usable(&id(17), Terms::ANY, at(10)));
}

/// An event with workers of one name and these starts.
fn workers_event(starts: &[u64], domain: &str) -> Event {
    let info = |start: &u64| WorkerInfo {
        id: id(*start),
        domain: domain.into(),
        region: None,
        gap: None,
        max_pieces: None,
        share: None,
    };
    Event::Workers(starts.iter().map(info).collect())
}

/// A coordinator with a call at start 17 of its only worker, which then restarts as 18.
fn restarted_worker() -> (Coordinator, Call) {
    let mut c = Coordinator::new(batch::pool(), Policy::default());
    c.handle_event(at(0), workers_event(&[17], "a"));
    let large = BatchOrder { result_bytes: 80_000_000, ..batch::order("r1", 1) };
    let first = batch::calls(&c.handle_event(at(0), batch::order_event(1, large)));
    assert_eq!(first[0].worker, id(17));
    c.handle_event(at(10), workers_event(&[18], "a"));
    (c, first[0].clone())
}

#[test]
fn a_restarted_worker_has_all_its_slots_and_result_capacity() {
    let (mut c, old) = restarted_worker();
    let large = BatchOrder { result_bytes: 80_000_000, ..batch::order("r2", 1) };
    let next = batch::calls(&c.handle_event(at(20), batch::order_event(2, large.clone())));
    assert_eq!(next.len(), 1, "the slot of the previous start does not count");
    assert_eq!(next[0].worker, id(18));
    // Results of the previous start take no room at the new one.
    c.handle_event(at(30), Event::CallEnded(old.number, batch::made(&old)));
    let end = batch::made(&next[0]);
    c.handle_event(at(40), Event::CallEnded(next[0].number, end));
    let small = BatchOrder { result_bytes: 1_000_000, ..batch::order("r3", 1) };
    let third = batch::calls(&c.handle_event(at(50), batch::order_event(3, small)));
    assert_eq!(third[0].worker, id(18));
}

#[test]
fn a_call_end_of_the_previous_start_neither_ejects_nor_limits_the_new_start() {
    let no_room = |call: &Call| CallEnd::Answered(vec![PieceResult::NoRoom; call.pieces.len()]);
    for end in [None, Some(CallEnd::Failed), Some(CallEnd::Full)] {
        let (mut c, old) = restarted_worker();
        let end = end.unwrap_or_else(|| no_room(&old));
        let mut actions = c.handle_event(at(20), Event::CallEnded(old.number, end.clone()));
        actions.extend(c.handle_event(at(21), Event::Probed(id(17), false)));
        let large = BatchOrder { result_bytes: 80_000_000, ..batch::order("r2", 1) };
        actions.extend(c.handle_event(at(22), batch::order_event(2, large)));
        actions.extend(c.handle_event(at(22), Event::Tick));
        // If it were ejected or short of room it would have no call yet.
        let started = batch::calls(&actions);
        assert_eq!(started.len(), 1, "{end:?}: one slot allows one call");
        assert_eq!(started[0].worker, id(18), "{end:?}");
    }
}

fn prefill_ask(attempt: &str) -> PrefillAsk {
    PrefillAsk {
        service: "pool".into(),
        domain: "d".into(),
        allowed: Allowed::ANY,
        side: Side::Serving,
        attempt: attempt.into(),
        home: 1,
        shared: 13_000,
        tokens: 17_000,
        slack_ms: 0,
        but: Vec::new(),
    }
}

#[test]
fn a_restarted_engine_has_an_empty_prefill_queue_and_cache() {
    let mut scheduler = Scheduler::new(at(0));
    scheduler.place(&prefill_ask("p1"), &[id(17)], at(20_000)).expect("an engine");
    let placed = scheduler.place(&prefill_ask("p2"), &[id(18)], at(20_100)).expect("an engine");
    assert_eq!((placed.engine, placed.tokens_ahead, placed.is_cached), (id(18), 0, false));
    assert_eq!(scheduler.queued_tokens(&id(18)), 17_000);
    scheduler.finish_prompt(&id(17), &"p2".into(), at(20_200));
    scheduler.cancel_prompt(&id(17), &"p2".into());
    assert_eq!(
        scheduler.queued_tokens(&id(18)),
        17_000,
        "events of the previous start do not affect it"
    );
    scheduler.finish_prompt(&id(18), &"p2".into(), at(20_200));
    assert_eq!(scheduler.queued_tokens(&id(18)), 0);
}
