//! Allowed regions: no target outside of them is picked or gets a piece, in a first call or a
//! retry.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod batch;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use batch::{answers, at, calls, coordinator, made, order, order_event};
use decide::batch::{Action, Call, CallEnd, Event, OrderId, WorkerInfo};
use decide::fleet::{
    ColdStarts, Exclusion, Fleet, Home, Observation, PickCriteria, Regions, Terms, home_weights,
};
use decide::rng::Rng;
use model::Name;
use model::forward::{Allowed, BatchOrder, Evacuations, PieceResult, Target, TargetId};
use proptest::prelude::*;

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Regions of failure domains; the last one contains none.
const REGIONS: [&str; 3] = ["north", "south", "nowhere"];

/// Independent definition of the rule: without named regions everything is allowed, otherwise only
/// a known region that is named.
fn is_inside(named: &Option<BTreeSet<&str>>, region: Option<&str>) -> bool {
    match (named, region) {
        (None, _) => true,
        (Some(named), Some(region)) => named.contains(region),
        (Some(_), None) => false,
    }
}

fn allowed(named: &Option<BTreeSet<&str>>) -> Allowed {
    let only = |names: &BTreeSet<&str>| Allowed::only(names.iter().map(|n| Name::from(*n)));
    named.as_ref().map_or(Allowed::ANY, only)
}

/// Optional sets of region names, including unknown names and empty sets.
fn rule() -> impl Strategy<Value = Option<BTreeSet<&'static str>>> {
    prop::option::of(prop::collection::btree_set(prop::sample::select(&REGIONS[..]), 0..3))
}

/// Region of each failure domain that has a known one.
fn regions() -> impl Strategy<Value = BTreeMap<&'static str, &'static str>> {
    let region = prop::option::of(prop::sample::select(&REGIONS[..2]));
    prop::collection::vec(region, DOMAINS.len()).prop_map(|of| {
        DOMAINS.into_iter().zip(of).filter_map(|(domain, region)| Some((domain, region?))).collect()
    })
}

fn known(regions: &BTreeMap<&str, &str>) -> Regions {
    Regions::new(regions.iter().map(|(d, r)| (Name::from(*d), Name::from(*r))).collect())
}

#[test]
fn list_of_allowed_regions_permits_only_its_members() {
    let north = allowed(&Some(["north"].into()));
    let south = allowed(&Some(["south"].into()));
    let none = allowed(&Some(BTreeSet::new()));
    let both = north.intersection(&south);
    for (rule, region, permits) in [
        (&Allowed::ANY, Some("north"), true),
        (&Allowed::ANY, None, true),
        (&north, Some("north"), true),
        (&north, Some("south"), false),
        (&north, None, false),
        (&none, Some("north"), false),
        (&none, None, false),
        (&both, Some("north"), false),
        (&both, Some("south"), false),
    ] {
        assert_eq!(rule.permits(region), permits, "{rule:?} in {region:?}");
    }
    assert_eq!(north.intersection(&Allowed::ANY), north);
    assert_eq!(Allowed::ANY.intersection(&north), north);
    assert!(!both.is_any() && !none.is_any());
}

#[test]
fn region_rule_excludes_all_targets_if_no_regions_are_configured() {
    let mut fleet = Fleet::default();
    fleet.upsert(fleet::target("t0", "a"), at(0));
    let north = allowed(&Some(["north"].into()));
    let terms = Terms { allowed: &north, ..Terms::ANY };
    let state = fleet.get(&"t0".into()).expect("known target");
    assert_eq!(fleet.exclusion(state, terms, at(0)), Some(Exclusion::Region));
    assert_eq!(fleet.exclusion(state, Terms::ANY, at(0)), None);
    assert!(!fleet.regions().any_allowed(&north));
    assert!(!fleet.is_in_allowed_region(&"t0".into(), &north));
    assert!(
        !fleet.is_in_allowed_region(&"gone".into(), &north),
        "region of an unknown target is unknown"
    );
    assert!(home_weights(&fleet, "engine", "engine", &north, at(0)).is_empty());
}

#[test]
fn regions_without_failure_domains_are_reported() {
    let regions = known(&[("a", "north")].into());
    let rule = allowed(&Some(["north", "nowhere"].into()));
    assert!(regions.any_allowed(&rule));
    assert_eq!(regions.unknown(&rule).map(|n| &**n).collect::<Vec<_>>(), ["nowhere"]);
    assert!(!regions.any_allowed(&allowed(&Some(["nowhere"].into()))));
    assert!(Regions::default().any_allowed(&Allowed::ANY));
}

/// State of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Sound,
    Failing,
    Draining,
    Missing,
    Unreadable,
    Cold,
    Busy,
    Evacuated,
}

const STATES: [State; 8] = [
    State::Sound,
    State::Failing,
    State::Draining,
    State::Missing,
    State::Unreadable,
    State::Cold,
    State::Busy,
    State::Evacuated,
];

fn add(fleet: &mut Fleet, name: &str, domain: &str, state: State) {
    let id = TargetId::from(name);
    let target = fleet::target(name, domain);
    let cold_ms = if state == State::Cold { 5000 } else { 0 };
    fleet.upsert(Target { draining: state == State::Draining, cold_ms, ..target }, at(0));
    match state {
        State::Failing => _ = fleet.observe(&id, Observation::Unreachable, at(0)),
        State::Missing => fleet.remove(&id.name, Some(at(2000)), at(0)),
        State::Unreadable => _ = fleet.mark_unreadable(&id.name),
        State::Busy => (0..50).for_each(|_| fleet.request_sent(&id, 50_000)),
        State::Sound | State::Draining | State::Cold | State::Evacuated => {}
    }
}

proptest! {
    /// Whatever the rules, locations and failures, no pick is outside the allowed regions, and a
    /// healthy target inside is found.
    #[test]
    fn no_pick_outside_the_allowed_regions(
        regions in regions(),
        targets in prop::collection::vec(
            (prop::sample::select(&DOMAINS[..]), prop::sample::select(&STATES[..])), 0..16),
        named in rule(),
        domain in prop::sample::select(&DOMAINS[..]),
        exclude in prop::collection::btree_set(0usize..16, 0..4),
        key: u64,
        seed: u64,
    ) {
        let mut fleet = Fleet::default();
        fleet.set_regions(known(&regions));
        for (i, (domain, state)) in targets.iter().enumerate() {
            add(&mut fleet, &format!("t{i}"), domain, *state);
        }
        let is_evacuated =
            |d: &str| targets.iter().any(|(domain, s)| *domain == d && *s == State::Evacuated);
        let evacuated = DOMAINS.iter().filter(|d| is_evacuated(d)).map(|d| Name::from(*d));
        fleet.set_evacuations(Evacuations { at: 1, domains: evacuated.collect() }, at(0));
        let allowed = allowed(&named);
        let exclude: Vec<TargetId> = exclude.iter().map(|i| format!("t{i}").as_str().into()).collect();
        let weights = home_weights(&fleet, "engine", "engine", &allowed, at(10));
        let criteria = PickCriteria {
            service: "engine",
            domain,
            map: fleet::one_region(),
            home_region: None,
            terms: Terms { allowed: &allowed, ..Terms::ANY },
            exclude: &exclude,
            max_per_target: 40,
            home_weights: &weights,
            cold_limit: None,
            cold_starts: ColdStarts::Avoid,
            may_repeat: true,
        };
        let home = Home { key, shared_tokens: 100 };
        let by_wait = fleet.pick_by_wait(criteria, at(10), &mut Rng::new(seed));
        let by_home = fleet.pick_home(criteria, home, at(10));
        let near = fleet.local_homes(criteria, home, at(10));
        let place = |id: &TargetId| {
            let i: usize = id.name[1..].parse().expect("a number");
            targets[i].0
        };
        let inside = |d: &str| is_inside(&named, regions.get(d).copied());
        let chosen = by_wait.iter().chain(&by_home).map(|t| &t.id).chain(&near);
        for id in chosen {
            prop_assert!(inside(place(id)), "{} in {}", id.name, place(id));
            prop_assert!(fleet.is_in_allowed_region(id, &allowed));
        }
        for (domain, _) in &weights {
            prop_assert!(inside(domain), "a weight of {}", domain);
        }
        let is_free = |(i, (d, s)): (usize, &(&str, State))| {
            let id = TargetId::from(format!("t{i}").as_str());
            let is_up = matches!(s, State::Sound | State::Failing | State::Cold);
            is_up && inside(d) && !is_evacuated(d) && !exclude.contains(&id)
        };
        let any = targets.iter().enumerate().any(is_free);
        prop_assert!(!any || (by_wait.is_some() && by_home.is_some()), "an allowed target is free");
    }
}

/// Calls with a piece whose order does not allow the worker's region.
fn outside<'a>(
    calls: &'a [Call],
    rules: &BTreeMap<Name, Option<BTreeSet<&str>>>,
    workers: &BTreeMap<TargetId, Option<&str>>,
) -> Vec<&'a Call> {
    let is_outside = |call: &&Call| {
        let region = workers.get(&call.worker).copied().flatten();
        call.pieces.iter().any(|p| !is_inside(&rules[&p.attempt], region))
    };
    calls.iter().filter(is_outside).collect()
}

#[test]
fn the_check_detects_calls_outside_the_allowed_regions() {
    let mut c = coordinator(&[("m1", "a")]);
    let started = calls(&c.handle_event(at(0), order_event(1, order("r1", 2))));
    let rules = [(Name::from("r1"), Some(BTreeSet::from(["north"])))].into();
    let at_region = |region| BTreeMap::from([(TargetId::from("m1"), region)]);
    assert_eq!(outside(&started, &rules, &at_region(Some("north"))).len(), 0);
    assert_eq!(outside(&started, &rules, &at_region(Some("south"))).len(), 1);
    assert_eq!(outside(&started, &rules, &at_region(None)).len(), 1);
}

#[derive(Debug, Clone)]
enum Step {
    Order { pieces: u32, rule: Option<BTreeSet<&'static str>>, near: usize, bytes: u64 },
    Workers(BTreeSet<usize>),
    End { call: usize, how: usize },
    Cancel(usize),
    HandOver,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = prop::sample::select(vec![1000u64, 3_000_000]);
    prop_oneof![
        4 => (1u32..12, rule(), 0..DOMAINS.len(), bytes)
            .prop_map(|(pieces, rule, near, bytes)| Step::Order { pieces, rule, near, bytes }),
        1 => prop::collection::btree_set(0usize..8, 0..8).prop_map(Step::Workers),
        4 => (0usize..8, 0usize..6).prop_map(|(call, how)| Step::End { call, how }),
        1 => (0usize..20).prop_map(Step::Cancel),
        1 => Just(Step::HandOver),
        3 => (1u64..900).prop_map(Step::Pass),
    ]
}

/// Workers of a coordinator: the present ones of two per failure domain.
fn worker_infos(present: &BTreeSet<usize>, regions: &BTreeMap<&str, &str>) -> Vec<WorkerInfo> {
    let info = |i: &usize| {
        let domain = DOMAINS[i % DOMAINS.len()];
        WorkerInfo {
            id: format!("m{i}").as_str().into(),
            domain: domain.into(),
            region: regions.get(domain).map(|r| Name::from(*r)),
            share: None,
            gap: None,
            max_pieces: None,
        }
    };
    present.iter().map(info).collect()
}

fn end(call: &Call, how: usize) -> CallEnd {
    match how {
        0 => CallEnd::Failed,
        1 => CallEnd::Full,
        2 => CallEnd::Answered(vec![PieceResult::NoRoom; call.pieces.len()]),
        _ => made(call),
    }
}

proptest! {
    /// Whatever happens to workers and calls, each piece of a shared call, including a second call,
    /// is requested only where its own order allows it, and an order without an allowed worker is
    /// answered at once.
    #[test]
    fn no_piece_is_requested_outside_the_allowed_regions(
        regions in regions(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let place: BTreeMap<TargetId, Option<&str>> = (0..8usize)
            .map(|i| (format!("m{i}").as_str().into(), regions.get(DOMAINS[i % 4]).copied()))
            .collect();
        let mut present: BTreeSet<usize> = (0..8).collect();
        let mut c = coordinator(&[]);
        c.handle_event(at(0), Event::Workers(worker_infos(&present, &regions)));
        let mut rules: BTreeMap<Name, Option<BTreeSet<&str>>> = BTreeMap::new();
        let mut open: BTreeMap<OrderId, Name> = BTreeMap::new();
        let mut flights: Vec<Call> = Vec::new();
        let (mut now, mut next) = (0, 1);
        for step in steps {
            let event = match step {
                Step::Order { pieces, rule, near, bytes } => {
                    let attempt = format!("r{next}");
                    let order = BatchOrder {
                        allowed: allowed(&rule),
                        near: Some(DOMAINS[near].into()),
                        moved_bytes: bytes,
                        spread_bytes: bytes,
                        ..order(&attempt, pieces)
                    };
                    rules.insert(attempt.as_str().into(), rule);
                    open.insert(next, attempt.as_str().into());
                    next += 1;
                    order_event(next - 1, order)
                }
                Step::Workers(now_present) => {
                    present = now_present;
                    Event::Workers(worker_infos(&present, &regions))
                }
                Step::End { call, how } if call < flights.len() => {
                    let call = flights.remove(call);
                    Event::CallEnded(call.number, end(&call, how))
                }
                Step::Cancel(n) if open.remove(&(n as OrderId)).is_some() => {
                    Event::Cancel(n as OrderId)
                }
                Step::HandOver => Event::HandOver,
                Step::Pass(ms) => {
                    now += ms;
                    Event::Tick
                }
                Step::End { .. } | Step::Cancel(_) => continue,
            };
            let actions = c.handle_event(at(now), event);
            let started = calls(&actions);
            let found = outside(&started, &rules, &place);
            prop_assert!(found.is_empty(), "{:?}", found);
            flights.extend(started);
            for (id, _) in answers(&actions) {
                open.remove(&id);
            }
            for action in &actions {
                if let Action::HandOver(id) = action {
                    open.remove(id);
                }
            }
            let has_worker = |rule: &Option<BTreeSet<&str>>| {
                let mut there = present.iter().map(|i| regions.get(DOMAINS[i % 4]).copied());
                rule.is_none() || there.any(|region| is_inside(rule, region))
            };
            for attempt in open.values().filter(|a| !has_worker(&rules[*a])) {
                let is_asked =
                    flights.iter().any(|f| f.pieces.iter().any(|p| p.attempt == *attempt));
                prop_assert!(is_asked, "{} waits although no worker is allowed", attempt);
            }
        }
    }
}

#[test]
fn order_near_a_disallowed_domain_goes_to_an_allowed_region() {
    let mut c = coordinator(&[]);
    let regions = BTreeMap::from([("a", "north"), ("b", "south")]);
    c.handle_event(at(0), Event::Workers(worker_infos(&[0, 1].into(), &regions)));
    let bytes = 3_000_000;
    let order = BatchOrder {
        allowed: allowed(&Some(["south"].into())),
        near: Some("a".into()),
        moved_bytes: bytes,
        ..order("r1", 2)
    };
    let started = calls(&c.handle_event(at(0), order_event(1, order)));
    assert_eq!(started.iter().map(|c| &*c.worker.name).collect::<Vec<_>>(), ["m1"]);
}

#[test]
fn order_without_an_allowed_worker_fails_at_once_and_frees_its_results() {
    let mut c = coordinator(&[]);
    let regions = BTreeMap::from([("a", "north"), ("b", "south")]);
    c.handle_event(at(0), Event::Workers(worker_infos(&[0, 1].into(), &regions)));
    let south = || allowed(&Some(["south"].into()));
    let large = BatchOrder { allowed: south(), ..order("r1", 15) };
    let started = calls(&c.handle_event(at(0), order_event(1, large))).remove(0);
    c.handle_event(at(200), Event::Workers(worker_infos(&[0].into(), &regions)));
    let actions = c.handle_event(at(210), Event::CallEnded(started.number, made(&started)));
    assert_eq!(answers(&actions).len(), 0, "already answered when its worker was removed");
    let freed = actions.iter().map(|a| match a {
        Action::Free(handles) => handles.len(),
        _ => 0,
    });
    assert_eq!(freed.sum::<usize>(), 10, "{actions:?}");
    let waits_for_nobody = BatchOrder { allowed: south(), ..order("r2", 1) };
    let refused = answers(&c.handle_event(at(220), order_event(2, waits_for_nobody)));
    assert_eq!(refused, [(2, vec![PieceResult::Failed])]);
    let anywhere = calls(&c.handle_event(at(230), order_event(3, order("r3", 1))));
    assert_eq!(&*anywhere[0].worker.name, "m0");
}
