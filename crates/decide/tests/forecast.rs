//! What a request's first event is expected at, and who is refused for it.

use std::time::Duration;

use decide::forecast::{Door, Forecast, at_the_door};
use model::forward::{Rank, Repeat, Route, Service, Stage, StagePool, Waits};
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
        pool: Some(pool.clone()),
    };
    vec![service("first"), service("second")]
}

fn expected(forecast: &Forecast, pieces: &[u32], rank: u8, at: u64) -> Duration {
    let services = services();
    let find = |name: &Name| services.iter().find(|s| s.name == *name);
    forecast.expected(&route(), pieces, Rank::of(None, rank), Time::from_millis(at), find)
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
fn who_is_in_time_enters_and_who_is_not_comes_back_later() {
    let patience = ms(8000);
    assert_eq!(at_the_door(ms(700), ms(1000), patience), Door::Enter);
    let Door::Refuse(soon) = at_the_door(ms(1200), ms(1000), patience) else {
        panic!("1.2 s for an objective of 1 s is refused");
    };
    let Door::Refuse(late) = at_the_door(ms(5000), ms(1000), patience) else {
        panic!("5 s for an objective of 1 s is refused");
    };
    assert!(soon < late, "{soon:?} and {late:?}: the later, the more there is to work off");
}

proptest! {
    #[test]
    fn any_times_give_a_verdict_whose_wait_fits_the_callers_patience(
        expected in 0u64..100_000,
        objective in 0u64..20_000,
        patience in 0u64..60_000,
    ) {
        if let Door::Refuse(after) = at_the_door(ms(expected), ms(objective), ms(patience)) {
            prop_assert!(after >= ms(300));
            prop_assert!(after <= ms(patience / 3).max(ms(300)));
        }
    }
}
