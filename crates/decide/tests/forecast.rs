//! Expected time to first event of a request, and the admission decision.

use std::time::Duration;

use decide::forecast::{Admission, Expected, Forecast, decide_admission, min_stage_times};
use model::forward::{
    Allowed, PoolId, QueueId, Rank, Repeat, Route, Service, Stage, StagePool, Waits,
};
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
    let rank = Rank::new(None, rank);
    let least = min_stage_times(&route(), pieces, find);
    let stages = route().stages.into_iter();
    let queues: Vec<QueueId> = stages.map(|s| queue(&s.service, None, &Allowed::ANY, 0)).collect();
    forecast.expected(&route(), &least, &queues, rank, Time::from_millis(at)).total()
}

fn queue(service: &str, region: Option<&str>, allowed: &Allowed, bytes: u64) -> QueueId {
    let pool = PoolId { service: service.into(), region: region.map(Into::into) };
    QueueId::new(pool, allowed, bytes)
}

#[test]
fn sequential_stages_add_up_and_parallel_stages_do_not() {
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
    forecast.record(
        queue("second", None, &Allowed::ANY, 0),
        Waits(vec![
            (Rank::new(None, 0), 100),
            (Rank::new(None, 1), 200),
            (Rank::new(None, 2), 400),
        ]),
        Time::ZERO,
    );
    for (rank, wait) in [(0, 100), (1, 200), (2, 400), (9, 400)] {
        assert_eq!(expected(&forecast, &[0, 0, 1], rank, 0) - before, ms(wait), "rank {rank}");
    }
    let later = expected(&forecast, &[0, 0, 1], 2, 750) - before;
    assert!(later > ms(150) && later < ms(250), "{later:?} of 400 ms after half of the time");
    assert_eq!(expected(&forecast, &[0, 0, 1], 2, 60_000), before);
}

fn one(wait: u32) -> Waits {
    Waits(vec![(Rank::default(), wait)])
}

#[test]
fn a_request_waits_in_the_queues_of_the_regions_that_run_its_stages() {
    const LARGE: u64 = 2 << 20;
    let any = Allowed::ANY;
    let north = Allowed::only(["north".into()]);
    let south = Allowed::only(["south".into()]);
    let encode = |region, allowed, bytes| queue("encode", Some(region), allowed, bytes);
    let reported = [(encode("north", &any, 0), 90), (encode("north", &north, 0), 700)];
    let cases = [
        (encode("north", &any, 0), 90, "spills where it is sooner"),
        (encode("north", &north, 0), 700, "kept in its region"),
        (encode("north", &any, LARGE), 90, "no report for large orders: bounded by the others"),
        (encode("north", &south, 0), 90, "no report for its regions: bounded by the others"),
        (encode("south", &any, 0), 0, "another region's queue"),
        (encode("south", &south, 0), 0, "another region's queue, with only that region allowed"),
        (queue("encode", None, &any, 0), 0, "the common queue of all regions"),
        (queue("draft", Some("north"), &any, 0), 0, "another service"),
    ];
    let mut forecast = Forecast::default();
    for (queue, wait) in reported {
        forecast.record(queue, one(wait), Time::ZERO);
    }
    for (queue, wait, why) in cases {
        let times = forecast.stage_times(&[ms(100)], &[queue], Rank::default(), Time::ZERO);
        assert_eq!(times, [ms(100 + wait)], "{why}");
    }
}

#[test]
fn a_reported_wait_overrides_older_ones_of_wider_queues() {
    let north = Allowed::only(["north".into()]);
    let own = queue("encode", Some("north"), &north, 0);
    let wider = queue("encode", Some("north"), &Allowed::ANY, 0);
    let wait = |forecast: &Forecast| {
        let now = Time::from_millis(100);
        forecast.stage_times(&[ms(1)], std::slice::from_ref(&own), Rank::default(), now)[0]
    };
    let mut forecast = Forecast::default();
    forecast.record(wider.clone(), one(900), Time::ZERO);
    forecast.record(own.clone(), one(0), Time::from_millis(100));
    assert_eq!(wait(&forecast), ms(1), "the later report shows an empty queue");
    forecast.record(wider, one(900), Time::from_millis(100));
    assert_eq!(wait(&forecast), ms(901), "both are equally new: the wider one is a lower bound");
}

#[test]
fn all_orders_share_one_queue_when_regions_share_one_pool() {
    let north = Allowed::only(["north".into()]);
    let plain = queue("encode", None, &Allowed::ANY, 0);
    assert_eq!(queue("encode", None, &north, 8 << 20), plain);
}

#[test]
fn the_stage_with_the_longest_wait_is_reported_with_its_age() {
    let mut forecast = Forecast::default();
    let services = services();
    let find = |name: &Name| services.iter().find(|s| s.name == *name);
    let (route, rank, now) = (route(), Rank::new(None, 1), Time::from_millis(300));
    let least = |pieces: &[u32]| min_stage_times(&route, pieces, find);
    let stages = route.stages.iter();
    let queues: Vec<QueueId> = stages.map(|s| queue(&s.service, None, &Allowed::ANY, 0)).collect();
    let longest = |forecast: &Forecast, pieces: &[u32]| {
        let longest = forecast.longest_wait(&least(pieces), &queues, rank, now)?;
        Some((longest.service.to_string(), longest.wait, longest.age))
    };
    assert_eq!(longest(&forecast, &[1, 1, 1]), None);
    for (name, wait, at) in [("first", 100, 0), ("second", 500, 150)] {
        forecast.record(queue(name, None, &Allowed::ANY, 0), one(wait), Time::from_millis(at));
    }
    assert_eq!(longest(&forecast, &[1, 1, 1]), Some(("second".into(), ms(450), ms(150))));
    let short = longest(&forecast, &[1, 0, 0]);
    assert_eq!(short, Some(("first".into(), ms(80), ms(300))), "only stages with pieces count");
}

fn times(least: u64, waits: u64) -> Expected {
    Expected { without_wait: ms(least), waits: ms(waits) }
}

#[test]
fn waits_that_exceed_the_spare_time_share_refuse_a_request() {
    let cases = [
        (400, 0, true, "no wait"),
        (400, 200, true, "a third of the spare 600 ms"),
        (400, 300, false, "half of the spare 600 ms"),
        (900, 140, true, "tight objective, wait within the tolerance"),
        (900, 200, false, "tight objective, wait above the tolerance"),
        (1200, 0, true, "never in time: served late, since no wait causes it"),
        (1200, 200, false, "never in time, and there is a wait"),
    ];
    for (least, waits, is_admitted, why) in cases {
        let admission = decide_admission(times(least, waits), ms(1000), ms(8000));
        assert_eq!(admission == Admission::Admit, is_admitted, "{why}: {admission:?}");
    }
}

#[test]
fn retry_after_grows_with_the_expected_lateness() {
    let retry_after = |waits| match decide_admission(times(400, waits), ms(1000), ms(8000)) {
        Admission::Refuse(after) => after,
        Admission::Admit => panic!("a wait of {waits} ms for an objective of 1 s is refused"),
    };
    let (soon, late) = (retry_after(800), retry_after(4600));
    assert!(soon < late, "{soon:?} and {late:?}: a longer queue takes longer to drain");
}

proptest! {
    #[test]
    fn retry_after_stays_within_the_callers_patience(
        least in 0u64..50_000,
        waits in 0u64..50_000,
        objective in 0u64..20_000,
        patience in 0u64..60_000,
    ) {
        let admission = decide_admission(times(least, waits), ms(objective), ms(patience));
        if let Admission::Refuse(after) = admission {
            prop_assert!(after >= ms(300));
            prop_assert!(after <= ms(patience / 3).max(ms(300)));
        }
    }
}

#[test]
fn a_no_worker_report_is_dropped_when_a_worker_is_added() {
    let least = expected(&Forecast::default(), &[1, 1, 1], 1, 0);
    let mut forecast = Forecast::default();
    let service: Name = "first".into();
    let of_service = queue(&service, None, &Allowed::ANY, 0);
    let waits = |wait| Waits(vec![(Rank::default(), wait)]);
    forecast.record(of_service.clone(), waits(u32::MAX), Time::ZERO);
    assert!(expected(&forecast, &[1, 1, 1], 1, 400) > ms(60_000));
    forecast.worker_added(&"second".into());
    assert!(
        expected(&forecast, &[1, 1, 1], 1, 400) > ms(60_000),
        "another service's worker was added"
    );
    forecast.worker_added(&service);
    assert_eq!(expected(&forecast, &[1, 1, 1], 1, 400), least);
    forecast.record(of_service, waits(900), Time::ZERO);
    forecast.worker_added(&service);
    assert!(expected(&forecast, &[1, 1, 1], 1, 0) > least, "reported waits are kept");
}
