//! Regions: their distances, their coordinators, and the placement of orders.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::fleet::Regions;
use decide::region::Map;
use decide::roster::{PeerView, Roster};
use model::forward::PoolId;
use model::member::{Node, NodeId};
use model::{Name, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two failure domains in each of three regions.
fn regions() -> Regions {
    let of = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
    Regions::new(of.iter().map(|(d, r)| ((*d).into(), (*r).into())).collect())
}

/// Round trips by failure domain, in milliseconds.
type Times<'a> = &'a [(&'a str, u64)];

fn map(measured: Times<'_>) -> Map {
    let mut map = Map::new("a1".into(), regions());
    for (domain, took) in measured {
        map.record_round_trip(&(*domain).into(), ms(*took));
    }
    map
}

#[test]
fn regions_are_split_only_by_measured_distance() {
    let far = [("a2", 1), ("b1", 40), ("b2", 41), ("c1", 40)];
    let near = [("a2", 1), ("b1", 2), ("b2", 2), ("c1", 1), ("c2", 2)];
    let cases: [(Times<'_>, bool, &str); 4] = [
        (&[], true, "unmeasured regions count as far"),
        (&far, true, "far"),
        (&near, false, "as near as failure domains of one region"),
        (&near[..3], true, "one region is near, the other unmeasured"),
    ];
    for (measured, is_split, why) in cases {
        assert_eq!(map(measured).is_split(), is_split, "{why}");
    }
    assert!(!Map::new("a1".into(), Regions::default()).is_split(), "no regions are configured");
}

#[test]
fn short_delay_spikes_and_values_between_the_bounds_change_nothing() {
    let mut near = map(&[("b1", 2), ("b2", 2), ("c1", 2), ("c2", 2)]);
    for _ in 0..3 {
        for domain in ["b1", "b2", "c1", "c2"] {
            near.record_round_trip(&domain.into(), ms(90));
        }
    }
    assert!(!near.is_split(), "{:?}", near.round_trip(&"b1".into()));
    let mut between = map(&[("b1", 8), ("b2", 8), ("c1", 8), ("c2", 8)]);
    assert!(between.is_split(), "split until measured as near");
    for domain in ["b1", "b2", "c1", "c2"] {
        between.record_round_trip(&domain.into(), ms(2));
    }
    assert!(!between.is_split());
    for _ in 0..1000 {
        between.record_round_trip(&"b1".into(), ms(8));
        between.record_round_trip(&"b2".into(), ms(8));
    }
    assert!(!between.is_split(), "8 ms do not split them again");
}

#[test]
fn orders_go_to_the_requested_or_nearest_region_with_workers() {
    let seen = map(&[("b1", 60), ("b2", 60), ("c1", 30), ("c2", 30)]);
    let cases: [(Option<&str>, &[&str], Option<&str>); 6] = [
        (None, &["a", "b", "c"], Some("a")),
        (Some("b"), &["a", "b", "c"], Some("b")),
        (Some("b"), &["a", "c"], Some("a")),
        (None, &["b", "c"], Some("c")),
        (None, &["b"], Some("b")),
        (None, &[], Some("a")),
    ];
    for (requested, able, expected) in cases {
        let able: BTreeSet<Name> = able.iter().map(|r| (*r).into()).collect();
        let placed = seen.choose_region(requested.map(Into::into), &able);
        assert_eq!(placed.as_deref(), expected, "requested {requested:?} of {able:?}");
    }
}

#[test]
fn each_stage_is_placed_near_its_inputs() {
    let seen = map(&[("b1", 60), ("b2", 60), ("c1", 30), ("c2", 30)]);
    /// Regions with workers for a stage.
    type Able<'a> = Option<&'a [&'a str]>;
    type Case<'a> = ([Able<'a>; 3], [Option<&'a str>; 3], &'a str);
    let all: Able<'_> = Some(&["a", "b", "c"]);
    let cases: [Case<'_>; 5] = [
        ([all, all, all], [Some("a"); 3], "own region"),
        (
            [Some(&["b"]), all, all],
            [Some("b"), Some("b"), Some("a")],
            "the second stage stays with its input",
        ),
        ([Some(&["b", "c"]), Some(&["a"]), all], [Some("c"), Some("a"), Some("a")], "nearest"),
        ([None, all, all], [None, Some("a"), Some("a")], "a skipped stage"),
        ([Some(&["b"]), None, Some(&["b"])], [Some("b"), None, Some("b")], "allowed region"),
    ];
    let after = [vec![], vec![0], vec![]];
    for (able, expected, why) in cases {
        let able = able.map(|a| a.map(|a| a.iter().map(|r| (*r).into()).collect()));
        let places = seen.choose_regions(&after, &able);
        assert_eq!(places.iter().map(Option::as_deref).collect::<Vec<_>>(), expected, "{why}");
    }
    let near = map(&[("a2", 1), ("b1", 2), ("b2", 2), ("c1", 1), ("c2", 2)]);
    assert_eq!(near.choose_regions(&after, &[const { None }; 3]), [None, None, None]);
}

/// Roster of one node in a fleet with `each` nodes per failure domain.
fn roster(me: &str, each: usize) -> Roster {
    let domains = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let now = at(60_000);
    let node = |domain: &str, i: usize| {
        let id = NodeId { name: format!("{domain}-{i}").into(), start: 1 };
        let address = "127.0.0.1:1".parse().expect("an address");
        let node = Node { id, address, entry: address, domain: domain.into(), capacity: 0 };
        PeerView { node, suspect: false, up: ms(60_000), at: now }
    };
    let all = domains.iter().flat_map(|d| (0..each).map(move |i| node(d, i)));
    let domain = me.split('-').next().expect("a domain");
    let mut roster = Roster::new(me.into(), domain.into(), 0);
    roster.set_regions(regions());
    roster.update(all.filter(|p| *p.node.id.name != *me).collect(), now);
    roster
}

fn pool_of(region: &str) -> PoolId {
    PoolId { service: "encode".into(), region: Some(region.into()) }
}

#[test]
fn all_nodes_agree_on_a_coordinator_in_each_region() {
    let now = at(60_000);
    for region in ["a", "b", "c"] {
        let mut found = BTreeSet::new();
        for domain in ["a1", "a2", "b1", "b2", "c1", "c2"] {
            for i in 0..3 {
                let me = format!("{domain}-{i}");
                let roster = roster(&me, 3);
                let first =
                    roster.coordinators(&pool_of(region), now).next().expect("a coordinator");
                found.insert(first.map_or(me, |n| n.id.name.to_string()));
            }
        }
        let found: Vec<String> = found.into_iter().collect();
        assert!(found.len() == 1 && found[0].starts_with(region), "{region}: {found:?}");
    }
}

#[test]
fn partitioned_region_gets_a_coordinator_on_each_side() {
    let now = at(60_000);
    let mut asker = roster("a1-0", 3);
    for id in ["b1-0", "b1-1", "b2-0", "b2-1"] {
        asker.mark_silent(&NodeId { name: id.into(), start: 1 }, now);
    }
    let order = asker.coordinators(&pool_of("b"), now).collect::<Vec<_>>();
    let first = order[0].as_ref().map_or("a1-0", |n| &n.id.name);
    assert!(!first.starts_with('b'), "no node there answers: {first}");
    let own = asker.coordinators(&pool_of("a"), now).collect::<Vec<_>>();
    let first = own[0].as_ref().map_or("a1-0", |n| &n.id.name);
    assert!(first.starts_with('a'), "the own region is unaffected: {first}");
    asker.mark_answered(&NodeId { name: "b1-2".into(), start: 1 }, now);
    let order = asker.coordinators(&pool_of("b"), now).collect::<Vec<_>>();
    let first = order[0].as_ref().map_or("a1-0", |n| &n.id.name);
    assert!(first.starts_with('b'), "used again once a node there answers: {first}");
}

#[test]
fn two_connected_regions_agree_without_the_third() {
    let now = at(60_000);
    let first = |r: &Roster, me: &str, region: &str| {
        let order = r.coordinators(&pool_of(region), now).next();
        order.flatten().map_or(me.to_string(), |n| n.id.name.to_string())
    };
    let lost = |me: &str, regions: &[&str]| {
        let mut roster = roster(me, 3);
        for region in regions {
            for (domain, i) in [(1, 0), (1, 1), (2, 0), (2, 1)] {
                let id = NodeId { name: format!("{region}{domain}-{i}").into(), start: 1 };
                roster.mark_silent(&id, now);
            }
        }
        roster
    };
    let (a, b, c) = (lost("a1-0", &["c"]), lost("b1-0", &["c"]), lost("c1-0", &["a", "b"]));
    for region in ["a", "b"] {
        let (of_a, of_b) = (first(&a, "a1-0", region), first(&b, "b1-0", region));
        assert!(of_a == of_b && of_a.starts_with(region), "{region}: {of_a}, {of_b}");
    }
    assert!(first(&c, "c1-0", "c").starts_with('c'), "the third region coordinates itself");
    assert!(first(&c, "c1-0", "a").starts_with('c'), "no coordinator in an unreachable region");
}
