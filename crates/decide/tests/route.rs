//! Routing: homes, spills, failure domains, versions, draining and ejection.

use std::time::Duration;

use decide::load::LoadTable;
use decide::rng::Rng;
use decide::route::{PolicyKind, PoolTable, RouteQuery, TargetInfo, make_policy};
use model::load::{TargetReport, TargetStatus};
use model::{Name, Time};

const NOW: Time = Time::from_millis(10_000);

fn table(n: usize, distance: impl Fn(usize) -> u8) -> PoolTable {
    let mut t = PoolTable::default();
    t.set_targets(
        (0..n)
            .map(|i| TargetInfo {
                name: format!("t{i}").into(),
                address: format!("10.0.0.{i}:1").into(),
                domain: "a".into(),
                distance: distance(i),
            })
            .collect(),
    );
    t
}

fn query(prefix: u64) -> RouteQuery<'static> {
    RouteQuery { now: NOW, prefix, model: None, budget: 500.0, tried: &[] }
}

fn pick(kind: PolicyKind, t: &PoolTable, prefix: u64) -> Option<Name> {
    let i = make_policy(kind, 1).pick(&query(prefix), t)?;
    Some(t.slots()[i].info.name.clone())
}

fn report(name: &str, seq: u64) -> TargetStatus {
    let report = TargetReport { target: name.into(), seq, ..TargetReport::default() };
    TargetStatus { report, seq, ready: true, polled: true }
}

const ALL: [PolicyKind; 7] = [
    PolicyKind::RoundRobin,
    PolicyKind::LeastOutstanding,
    PolicyKind::SessionHash,
    PolicyKind::SessionHashBound,
    PolicyKind::Home,
    PolicyKind::HomeUnbound,
    PolicyKind::HomeNext,
];

#[test]
fn every_node_finds_the_same_home() {
    let t = table(20, |_| 0);
    let mut reversed = PoolTable::default();
    reversed.set_targets(t.slots().iter().rev().map(|s| s.info.clone()).collect());
    for prefix in 0..200 {
        assert_eq!(pick(PolicyKind::Home, &t, prefix), pick(PolicyKind::Home, &reversed, prefix));
    }
}

#[test]
fn removing_a_target_moves_only_its_own_prefixes() {
    let t = table(20, |_| 0);
    let mut smaller = PoolTable::default();
    let rest = t.slots().iter().filter(|s| &*s.info.name != "t3");
    smaller.set_targets(rest.map(|s| s.info.clone()).collect());
    for prefix in 0..500 {
        let before = pick(PolicyKind::Home, &t, prefix).expect("a home");
        let after = pick(PolicyKind::Home, &smaller, prefix).expect("a home");
        assert!(before == after || &*before == "t3");
    }
}

#[test]
fn no_policy_picks_a_draining_unready_or_mismatched_target() {
    for kind in ALL {
        let mut t = table(4, |_| 0);
        t.mark_draining("t0");
        let down = TargetStatus { ready: false, ..report("t1", 1) };
        t.update(NOW, &down);
        for (name, model) in [("t2", "m@v1"), ("t3", "m@v2")] {
            let mut n = report(name, 1);
            n.report.models = vec![model.into()];
            t.update(NOW, &n);
        }
        let mut policy = make_policy(kind, 1);
        for prefix in 0..100 {
            let route_query = RouteQuery { model: Some("m@v2"), ..query(prefix) };
            let i = policy.pick(&route_query, &t).expect("t3 fits");
            assert_eq!(&*t.slots()[i].info.name, "t3", "{kind:?}");
        }
    }
}

#[test]
fn reports_from_peers_do_not_determine_the_models_of_a_target() {
    let (name, route_query) = (Name::from("t0"), RouteQuery { model: Some("m@v1"), ..query(0) });
    let mut board = LoadTable::default();
    board.set_targets([name.clone()].iter());
    let polled = TargetReport { target: name.clone(), seq: 1, ..TargetReport::default() };
    let rumor = board.record_poll(polled).expect("a new report");
    let holds_none = board.get("t0").expect("polled").clone();
    let mut elsewhere = LoadTable::default();
    elsewhere.set_targets([name.clone()].iter());
    elsewhere.merge_rumor(rumor).expect("new to the other node");
    for (report, fits) in [(&holds_none, false), (elsewhere.get("t0").expect("heard"), true)] {
        let mut t = table(1, |_| 0);
        t.update(NOW, report);
        let picked = make_policy(PolicyKind::Home, 1).pick(&route_query, &t);
        assert_eq!(picked.is_some(), fits, "{report:?}");
    }
}

#[test]
fn an_older_report_never_replaces_a_newer_one() {
    let mut t = table(1, |_| 0);
    let mut leaving = report("t0", 5);
    leaving.report.leaving = true;
    t.update(NOW, &leaving);
    t.update(NOW, &report("t0", 4));
    assert!(t.slots()[0].draining);
}

#[test]
fn the_local_failure_domain_is_preferred_until_full() {
    let mut t = table(6, |i| u8::from(i >= 3));
    for prefix in 0..100 {
        let name = pick(PolicyKind::Home, &t, prefix).expect("a target");
        assert!(["t0", "t1", "t2"].contains(&&*name), "{name}");
    }
    for name in ["t0", "t1", "t2"] {
        for _ in 0..64 {
            t.record_sent(NOW, name);
        }
    }
    for prefix in 0..100 {
        let name = pick(PolicyKind::Home, &t, prefix).expect("a target");
        assert!(["t3", "t4", "t5"].contains(&&*name), "{name}");
    }
}

#[test]
fn a_hot_prefix_spills_along_its_rendezvous_order() {
    let mut t = table(20, |_| 0);
    let home = pick(PolicyKind::Home, &t, 9).expect("a home");
    let mut policy = make_policy(PolicyKind::Home, 3);
    let mut taken = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let i = policy.pick(&query(9), &t).expect("a target");
        let name = t.slots()[i].info.name.clone();
        t.record_sent(NOW, &name);
        taken.insert(name);
    }
    assert!(taken.contains(&home));
    assert!((2..=4).contains(&taken.len()), "a spill stays on the next few targets: {taken:?}");
}

#[test]
fn failing_targets_are_ejected_but_never_most_of_the_pool() {
    let mut t = table(6, |_| 0);
    let mut ejected = 0;
    for i in 0..6 {
        for _ in 0..10 {
            t.record_sent(NOW, &format!("t{i}"));
            ejected += usize::from(t.record_failure(NOW, &format!("t{i}")));
        }
    }
    assert_eq!(ejected, 2, "a third of six");
    let fit = t.slots().iter().filter(|s| PoolTable::fits(s, NOW, None)).count();
    assert_eq!(fit, 4);
    let later = NOW + Duration::from_secs(31);
    let fit = t.slots().iter().filter(|s| PoolTable::fits(s, later, None)).count();
    assert_eq!(fit, 6, "ejection ends");
}

#[test]
fn a_slow_target_gets_fewer_requests() {
    let mut t = table(4, |_| 0);
    let mut rng = Rng::new(4);
    let mut policy = make_policy(PolicyKind::Home, 5);
    let mut counts = [0u32; 4];
    for n in 0..2000u64 {
        let now = NOW + Duration::from_millis(n);
        let i = policy.pick(&RouteQuery { now, ..query(rng.next_u64()) }, &t).expect("a target");
        let name = t.slots()[i].info.name.clone();
        let sent = t.record_sent(now, &name);
        counts[i] += 1;
        let ms = if i == 0 { 500 } else { 10 };
        t.record_first_frame(now, &name, sent, Duration::from_millis(ms));
        // The slow target holds its calls; the others finish at once.
        if i != 0 || n % 20 == 0 {
            t.record_success(now, &name);
        }
    }
    assert!(counts[0] * 4 < counts[1], "{counts:?}");
}

#[test]
fn a_changed_pool_keeps_the_state_of_remaining_targets() {
    let mut t = table(3, |_| 0);
    t.record_sent(NOW, "t1");
    t.mark_draining("t2");
    let mut infos: Vec<TargetInfo> = t.slots().iter().map(|s| s.info.clone()).collect();
    infos.remove(0);
    infos.reverse();
    t.set_targets(infos);
    assert_eq!(t.slot("t1").map(|s| s.in_flight), Some(1));
    assert!(t.slot("t2").is_some_and(|s| s.draining));
    assert!(t.slot("t0").is_none());
}
