//! What a request's first event is expected at, and who is refused for it.

use std::time::Duration;

use decide::forecast::{Door, Expected, Forecast, at_the_door, least_times};
use model::forward::{Allowed, Rank, Repeat, Route, Service, Stage, StagePool, Waits};
use model::{Name, Time};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route() -> Route {
    let stage = |service: &str, after: &[usize]| Stage {
        service: service.into(),
        after: after.to_vec(),
        bytes: 1000,
    };
    Route {
        name: "minutes".into(),
        host: "a".into(),
        path_prefix: "/".into(),
        repeat: Repeat::StreamOnce,
        pause_ms: None,
        timeout_ms: 8000,
        objective_ms: 1000,
        max_attempts: 1,
        rank: 1,
        open: true,
        split: Vec::new(),
        stages: vec![stage("first", &[]), stage("first", &[]), stage("second", &[1])],
        allowed: Allowed::ANY,
    }
}

fn services() -> Vec<Service> {
    let pool = StagePool {
        slots: 1,
        batch: 10,
        call_ms: 100.0,
        item_ms: 10.0,
        room_mb: 10.0,
        keep_ms: 4000,
    };
    let service = |name: &str| Service {
        name: name.into(),
        connections: 10,
        engine: None,
        cold: None,
        pool: Some(pool.clone()),
    };
    vec![service("first"), service("second")]
}

fn expected(forecast: &Forecast, pieces: &[u32], rank: u8, at: u64) -> Duration {
    let services = services();
    let find = |name: &Name| services.iter().find(|s| s.name == *name);
    let rank = Rank::of(None, rank);
    let least = least_times(&route(), pieces, find);
    forecast.expected(&route(), &least, rank, Time::from_millis(at)).whole()
}

#[test]
fn stages_in_a_row_add_up_and_stages_side_by_side_do_not() {
    let forecast = Forecast::default();
    let engine = expected(&forecast, &[0, 0, 0], 1, 0);
    assert_eq!(expected(&forecast, &[1, 0, 0], 1, 0) - engine, ms(110));
    assert_eq!(expected(&forecast, &[5, 1, 0], 1, 0) - engine, ms(150), "the longer counts");
    assert_eq!(expected(&forecast, &[0, 1, 2], 1, 0) - engine, ms(110 + 120));
    assert_eq!(expected(&forecast, &[], 1, 0), engine, "a request without pieces");
}

#[test]
fn a_wait_counts_by_rank_and_fades() {
    let mut forecast = Forecast::default();
    let before = expected(&forecast, &[0, 0, 1], 1, 0);
    forecast.hear(
        &"second".into(),
        Waits(vec![(Rank::of(None, 0), 100), (Rank::of(None, 1), 200), (Rank::of(None, 2), 400)]),
        Time::ZERO,
    );
    for (rank, wait) in [(0, 100), (1, 200), (2, 400), (9, 400)] {
        assert_eq!(expected(&forecast, &[0, 0, 1], rank, 0) - before, ms(wait), "rank {rank}");
    }
    let later = expected(&forecast, &[0, 0, 1], 2, 750) - before;
    assert!(later > ms(150) && later < ms(250), "{later:?} of 400 ms after half of the time");
    assert_eq!(expected(&forecast, &[0, 0, 1], 2, 60_000), before);
}

#[test]
fn the_stage_that_binds_is_named_with_its_wait_and_age() {
    let mut forecast = Forecast::default();
    let services = services();
    let find = |name: &Name| services.iter().find(|s| s.name == *name);
    let (route, rank, now) = (route(), Rank::of(None, 1), Time::from_millis(300));
    let least = |pieces: &[u32]| least_times(&route, pieces, find);
    assert_eq!(forecast.longest_wait(&route, &least(&[1, 1, 1]), rank, now), None);
    for (name, wait, at) in [("first", 100, 0), ("second", 500, 150)] {
        let waits = Waits(vec![(Rank::default(), wait)]);
        forecast.hear(&name.into(), waits, Time::from_millis(at));
    }
    let whole = forecast.longest_wait(&route, &least(&[1, 1, 1]), rank, now);
    assert_eq!(whole, Some((&"second".into(), ms(450), ms(150))));
    let short = forecast.longest_wait(&route, &least(&[1, 0, 0]), rank, now);
    assert_eq!(short, Some((&"first".into(), ms(80), ms(300))), "only stages with pieces count");
}

fn times(least: u64, waits: u64) -> Expected {
    Expected { least: ms(least), waits: ms(waits) }
}

#[test]
fn waits_that_take_too_much_of_the_spare_time_turn_a_request_away() {
    let cases = [
        (400, 0, true, "no wait"),
        (400, 200, true, "a third of the 600 ms that it has to spare"),
        (400, 300, false, "half of them"),
        (900, 140, true, "tight, but less than a call's wait"),
        (900, 200, false, "tight, and more than that"),
        (1200, 0, true, "never in time: served late, for no wait is to blame"),
        (1200, 200, false, "never in time, and others wait"),
    ];
    for (least, waits, enters, why) in cases {
        let door = at_the_door(times(least, waits), ms(1000), ms(8000));
        assert_eq!(door == Door::Enter, enters, "{why}: {door:?}");
    }
}

#[test]
fn who_would_be_late_by_far_comes_back_later() {
    let back = |waits| match at_the_door(times(400, waits), ms(1000), ms(8000)) {
        Door::Refuse(after) => after,
        Door::Enter => panic!("a wait of {waits} ms for an objective of 1 s is refused"),
    };
    let (soon, late) = (back(800), back(4600));
    assert!(soon < late, "{soon:?} and {late:?}: the later, the more there is to work off");
}

proptest! {
    #[test]
    fn any_times_give_a_verdict_whose_wait_fits_the_callers_patience(
        least in 0u64..50_000,
        waits in 0u64..50_000,
        objective in 0u64..20_000,
        patience in 0u64..60_000,
    ) {
        let door = at_the_door(times(least, waits), ms(objective), ms(patience));
        if let Door::Refuse(after) = door {
            prop_assert!(after >= ms(300));
            prop_assert!(after <= ms(patience / 3).max(ms(300)));
        }
    }
}
