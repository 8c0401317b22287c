//! The batch coordinator: who is told early that no call can take its order in time, and what
//! callers get for it.

#[allow(dead_code, reason = "each test file uses its part")]
mod support {
    pub mod batch;
    pub mod play;
}

use decide::batch::{CallEnd, Event, OrderId};
use model::forward::{BatchOrder, PieceResult, Policy, Rank, StagePool};
use proptest::prelude::*;
use support::batch::{answers, at, calls, coordinator, order, placed, pool};
use support::play::{Asked, Got, Row, play};

/// An order of a full call, which takes 200 ms.
fn full(id: OrderId, slack_ms: u64) -> Event {
    placed(id, BatchOrder { slack_ms, ..order(&format!("r{id}"), 10) })
}

fn low(slack_ms: u64) -> Event {
    placed(9, BatchOrder { rank: Rank::of(None, 2), slack_ms, ..order("low", 10) })
}

#[test]
fn who_cannot_be_taken_in_time_is_told_at_once() {
    for (slack_ms, ends) in [(599, true), (601, false)] {
        let mut c = coordinator(&[("m1", "a")]);
        for id in 1..=3 {
            assert_eq!(answers(&c.on(at(0), full(id, 900))), [], "at 0, 200 and 400 ms");
        }
        let told = answers(&c.on(at(0), low(slack_ms)));
        let late = vec![PieceResult::Late; 10];
        let wanted = if ends { vec![(9, late)] } else { Vec::new() };
        assert_eq!(told, wanted, "its call would start at 600 ms");
        assert_eq!(c.open(), if ends { 3 } else { 4 }, "the others are made");
    }
}

#[test]
fn who_is_overtaken_is_told_before_its_time_is_over() {
    let mut c = coordinator(&[("m1", "a")]);
    c.on(at(0), full(1, 900));
    c.on(at(1), low(500));
    assert_eq!(answers(&c.on(at(2), full(3, 900))), []);
    let told = answers(&c.on(at(3), full(4, 900)));
    assert_eq!(told.first().map(|(id, _)| *id), Some(9), "{told:?}");
}

#[test]
fn while_a_maker_is_idle_for_want_of_room_nobody_is_told_early() {
    let mut c = coordinator(&[("m1", "a")]);
    let first = calls(&c.on(at(0), full(1, 500))).remove(0);
    let no_room = CallEnd::Answered(vec![PieceResult::NoRoom; 10]);
    assert_eq!(answers(&c.on(at(5), Event::Ended(first.number, no_room))), []);
    assert_eq!(answers(&c.on(at(6), full(2, 500))), []);
    assert_eq!(answers(&c.on(at(46), Event::Tick)), [], "there may be room again at any moment");
}

fn row(pool: StagePool) -> Row {
    Row { pool, makers: &[("m1", "a"), ("m2", "b")], full_until: (0, 0) }
}

/// What callers get with and without early ends.
fn both(asked: &[Asked], rows: &[Row]) -> (Got, Got) {
    let without = Policy { outlook: false, ..Policy::default() };
    (play(asked, rows, Policy::default()), play(asked, rows, without))
}

/// Requests of three ranks, one after another at this distance.
fn burst(n: u64, every_ms: u64) -> Vec<Asked> {
    let one = |i| Asked {
        at_ms: 1 + i * every_ms,
        rank: (i % 3) as u8,
        pieces: 2 + (i % 4) as u32,
        spare_ms: 500,
    };
    (0..n).map(one).collect()
}

#[test]
fn on_a_path_with_a_narrow_stage_callers_are_told_sooner_and_as_many_are_served() {
    let wide = || row(StagePool { batch: 40, item_ms: 2.0, ..pool() });
    let rows = [wide(), row(pool()), wide()];
    let (with, without) = both(&burst(200, 12), &rows);
    assert!(with.in_time >= without.in_time, "{with:?} {without:?}");
    assert!(with.held * 4 < without.held * 3, "{with:?} {without:?}");
    assert!(with.for_nobody <= without.for_nobody, "{with:?} {without:?}");
}

#[test]
fn where_a_pool_comes_back_with_its_room_held_as_many_are_served() {
    let rows = [row(pool()), Row { full_until: (2500, 3), ..row(pool()) }];
    let (with, without) = both(&burst(150, 20), &rows);
    assert!(with.in_time >= without.in_time, "{with:?} {without:?}");
    assert!(with.held <= without.held, "{with:?} {without:?}");
}

fn asked() -> impl Strategy<Value = Asked> {
    (1u64..2000, 0u8..3, 1u32..10, 0u64..1200).prop_map(|(at_ms, rank, pieces, spare_ms)| Asked {
        at_ms,
        rank,
        pieces,
        spare_ms,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn in_any_burst_as_many_are_in_time_and_who_is_not_is_held_no_longer(
        asked in prop::collection::vec(asked(), 1..150),
    ) {
        let (with, without) = both(&asked, &[row(pool())]);
        prop_assert!(with.in_time >= without.in_time, "{with:?} {without:?}");
        prop_assert!(with.held <= without.held, "{with:?} {without:?}");
    }
}
