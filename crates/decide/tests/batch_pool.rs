//! Announcements of workers to the coordinator, and its cost by pool size.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod targets;

use std::collections::BTreeMap;
use std::time::Duration;

use decide::batch::{Coordinator, Event, WorkerFeed, WorkerInfo};
use decide::fleet::{ColdLimit, Fleet, Regions, Terms};
use decide::region::Map;
use model::Time;
use model::forward::{Evacuations, Policy, PoolId, ReportedLimit, Rollouts, Target, TargetId};
use proptest::prelude::*;
use support::{at, calls, made, order, order_event, pool};
use targets::target;

const COLD: ColdLimit =
    ColdLimit { duration: Duration::from_secs(2), interval: Some(Duration::from_millis(700)) };

fn engines() -> PoolId {
    PoolId { service: "engine".into(), region: None }
}

/// Worker entries examined per order of two pieces, in a pool of this size.
fn visited(workers: usize) -> f64 {
    const ORDERS: u64 = 500;
    let mut fleet = Fleet::default();
    for i in 0..workers {
        fleet.upsert(target(&format!("m{i}"), ["a", "b", "c"][i % 3]), at(0));
    }
    let mut feed = WorkerFeed::default();
    let mut c = Coordinator::new(pool(), Policy::default());
    let mut announce = |c: &mut Coordinator, fleet: &Fleet, now: Time| {
        let map = Map::new("a".into(), Regions::default());
        feed.next_event(fleet, &engines(), &map, None, now).map(|event| c.handle_event(now, event))
    };
    announce(&mut c, &fleet, at(0));
    let before = c.visited();
    for i in 0..ORDERS {
        let now = at(10 + i * 4);
        // One replica is replaced every 40 ms.
        if i % 10 == 0 {
            fleet.upsert(target(&format!("n{i}"), "a"), now);
            fleet.remove(&format!("m{}", i / 10).as_str().into(), None, at(0));
        }
        announce(&mut c, &fleet, now);
        for call in calls(&c.handle_event(now, order_event(i, order("r", 2)))) {
            announce(&mut c, &fleet, now);
            c.handle_event(now, Event::CallEnded(call.number, made(&call)));
        }
    }
    (c.visited() - before) as f64 / ORDERS as f64
}

#[test]
fn cost_per_order_does_not_grow_with_the_pool() {
    let (small, large) = (visited(300), visited(3000));
    assert!(large <= small * 1.2, "{small} workers at 300, {large} at 3,000");
    assert!(large < 20.0, "{large}");
}

/// Nodes that follow evacuations use no target before the first list, which is usually empty. That
/// list must announce the workers.
#[test]
fn an_empty_first_evacuation_list_announces_the_workers() {
    let map = Map::new("a".into(), Regions::default());
    let mut fleet = Fleet::default();
    fleet.follow_evacuations();
    fleet.upsert(target("t0", "a"), at(0));
    let mut feed = WorkerFeed::default();
    assert_eq!(
        feed.next_event(&fleet, &engines(), &map, None, at(0)),
        Some(Event::Workers(Vec::new()))
    );
    fleet.set_evacuations(Evacuations { at: 1, domains: Vec::new() }, at(10));
    let announced = all_of(feed.next_event(&fleet, &engines(), &map, None, at(10)));
    assert_eq!(announced.len(), 1, "{announced:?}");
}

/// Changes to five targets.
#[derive(Debug, Clone)]
enum Change {
    Entry { which: usize, draining: bool, cold: bool, service: bool, version: bool, start: u64 },
    Unreadable(usize),
    Removed { which: usize, doubted: bool },
    Evacuated(Vec<bool>),
    Orders,
    Limit { which: usize, per_s: Option<f64> },
    Expire,
    Advance(u64),
}

fn change() -> impl Strategy<Value = Change> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    prop_oneof![
        6 => (0usize..5, flags, 1u64..3).prop_map(|(which, (draining, cold, service, version), start)| {
            Change::Entry { which, draining, cold, service, version, start }
        }),
        1 => (0usize..5).prop_map(Change::Unreadable),
        2 => (0usize..5, any::<bool>()).prop_map(|(which, doubted)| Change::Removed { which, doubted }),
        1 => prop::collection::vec(any::<bool>(), 3).prop_map(Change::Evacuated),
        1 => Just(Change::Orders),
        2 => (0usize..5, prop::option::of(1.0..20.0)).prop_map(|(which, per_s)| Change::Limit { which, per_s }),
        1 => Just(Change::Expire),
        4 => (1u64..1500).prop_map(Change::Advance),
    ]
}

fn apply(fleet: &mut Fleet, change: Change, revision: u64, now: u64) {
    let name = |which: usize| format!("t{which}");
    let id = |fleet: &Fleet, which: usize| {
        fleet.by_name(&name(which)).map_or(TargetId::from("t9"), |b| b.target.id.clone())
    };
    match change {
        Change::Entry { which, draining, cold, service, version, start } => {
            let known = target(&name(which), ["a", "b", "c"][which % 3]);
            let entry = Target {
                id: TargetId { start, ..known.id.clone() },
                service: if service { "engine" } else { "other" }.into(),
                version: if version { "v1" } else { "v2" }.into(),
                cold_ms: if cold { 900 } else { 0 },
                draining,
                revision,
                ..known
            };
            fleet.upsert(entry, at(now));
        }
        Change::Unreadable(which) => _ = fleet.mark_unreadable(&name(which).as_str().into()),
        Change::Removed { which, doubted } => {
            fleet.remove(&name(which).as_str().into(), doubted.then(|| at(now + 800)), at(now));
        }
        Change::Evacuated(which) => {
            let domains = ["a", "b", "c"].into_iter().zip(which);
            let domains = domains.filter(|(_, is)| *is).map(|(d, _)| d.into()).collect();
            fleet.set_evacuations(Evacuations { at: revision, domains }, at(now));
        }
        Change::Orders => {
            let list = Rollouts { at: revision, ..Rollouts::default() };
            fleet.versions_mut().apply(list, at(now));
        }
        Change::Limit { which, per_s } => {
            let said = per_s.map_or(ReportedLimit::None, ReportedLimit::PerSecond);
            let id = id(fleet, which);
            fleet.record_limit(&id, said, at(now), at(now));
        }
        Change::Expire => fleet.expire(at(now)),
        Change::Advance(_) => {}
    }
}

fn all_of(event: Option<Event>) -> BTreeMap<TargetId, WorkerInfo> {
    let Some(Event::Workers(workers)) = event else {
        panic!("a new feed starts with a snapshot: {event:?}");
    };
    workers.into_iter().map(|m| (m.id.clone(), m)).collect()
}

proptest! {
    /// After any changes at any time, the accumulated deltas of a feed equal the snapshot of a new
    /// feed, and contain no unusable worker.
    #[test]
    fn worker_deltas_match_full_snapshots(
        changes in prop::collection::vec(change(), 1..60),
        follows in any::<bool>(),
    ) {
        let map = Map::new("a".into(), Regions::default());
        let mut fleet = Fleet::default();
        if follows {
            fleet.follow_evacuations();
            fleet.versions_mut().follow();
        }
        let mut feed = WorkerFeed::default();
        let mut known = BTreeMap::new();
        let mut now = 0;
        for (revision, change) in (1..).zip(changes) {
            if let Change::Advance(ms) = change {
                now += ms;
            }
            apply(&mut fleet, change, revision, now);
            match feed.next_event(&fleet, &engines(), &map, Some(COLD), at(now)) {
                Some(Event::WorkersChanged { updated, removed }) => {
                    for id in removed {
                        prop_assert!(known.remove(&id).is_some(), "{id} was never announced");
                    }
                    known.extend(updated.into_iter().map(|m| (m.id.clone(), m)));
                }
                None => {}
                whole => known = all_of(whole),
            }
            let fresh = WorkerFeed::default().next_event(&fleet, &engines(), &map, Some(COLD), at(now));
            prop_assert_eq!(&known, &all_of(fresh));
            for id in known.keys() {
                prop_assert!(fleet.is_usable(id, Terms::ANY, at(now)));
            }
        }
    }
}
