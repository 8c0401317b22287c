//! Which node coordinates what as nodes join, leave, stop and fall silent.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::relay::Role;
use decide::rng::Rng;
use decide::roster::{PeerView, PendingChanges, Reachability, Roster, ViewChange};
use model::Time;
use model::member::{Health, Node, NodeId};

const SERVICES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn name(i: usize) -> String {
    format!("node-{i}")
}

fn view(i: usize, up_ms: u64, now: u64) -> PeerView {
    let id = NodeId { name: name(i).into(), start: i as u64 + 1 };
    let address = "127.0.0.1:1".parse().expect("an address");
    let node = Node { id, address, entry: address, domain: "d".into(), capacity: 0 };
    PeerView { node, suspect: false, up: Duration::from_millis(up_ms), at: at(now) }
}

/// The roster of node `me` among nodes with these uptimes, `now` after its own start.
fn roster(me: usize, up_ms: &[u64], now: u64) -> Roster {
    let mut roster = Roster::new(name(me).into(), "d".into(), 0);
    let others = (0..up_ms.len()).filter(|i| *i != me);
    roster.update(others.map(|i| view(i, up_ms[i], now)).collect(), at(now));
    roster
}

fn first(roster: &Roster, me: usize, service: &str, now: u64) -> String {
    let first = roster.coordinators(service, at(now)).next().flatten();
    first.map_or_else(|| name(me), |n| n.id.name.to_string())
}

#[test]
fn all_nodes_agree_on_a_coordinator_regardless_of_uptime() {
    let cases: [&[u64]; 4] = [
        &[60_000, 60_000, 60_000, 60_000, 60_000],
        &[200, 300, 250, 500, 400],
        &[60_000, 500, 60_000, 1_000, 60_000],
        &[500, 500, 60_000, 500, 500],
    ];
    for up in cases {
        for service in SERVICES {
            let found: Vec<String> = (0..up.len())
                .map(|me| first(&roster(me, up, up[me]), me, service, up[me]))
                .collect();
            assert!(found.iter().all(|f| *f == found[0]), "{service} at {up:?}: {found:?}");
        }
    }
}

#[test]
fn a_new_node_takes_no_roles_until_settled() {
    let up = [60_000, 60_000, 60_000, 1_000];
    for service in SERVICES {
        assert_ne!(first(&roster(0, &up, 60_000), 0, service, 60_000), name(3));
    }
    let later = [60_000; 4];
    let homes = SERVICES.map(|s| first(&roster(0, &later, 60_000), 0, s, 60_000));
    assert!(homes.contains(&name(3)), "a settled node has its share: {homes:?}");
}

#[test]
fn a_simultaneous_start_keeps_its_coordinators_as_uptime_grows() {
    let started = [0, 90, 340, 430, 460];
    for service in SERVICES {
        let firsts = |at_ms: u64| {
            let up: Vec<u64> = started.iter().map(|s| at_ms - s).collect();
            (0..up.len()).map(|me| first(&roster(me, &up, up[me]), me, service, up[me])).collect()
        };
        let young: Vec<String> = firsts(900);
        for at_ms in (1_000..6_000).step_by(100) {
            assert_eq!(firsts(at_ms), young, "{service} after {at_ms} ms");
        }
    }
}

#[test]
fn suspected_silent_and_stopping_nodes_do_not_coordinate() {
    let up = [60_000; 5];
    for service in SERVICES {
        let all = roster(0, &up, 60_000);
        let was = first(&all, 0, service, 60_000);
        let Some(i) = (1..5).find(|i| name(*i) == was) else {
            continue;
        };
        let id = view(i, 0, 0).node.id;
        let mut silent = roster(0, &up, 60_000);
        silent.mark_silent(&id, at(60_000));
        assert_ne!(first(&silent, 0, service, 60_100), was);
        assert_ne!(
            first(&silent, 0, service, 69_000),
            was,
            "a silent peer stays silent until it answers"
        );
        let due = |r: &Roster, ms| r.checks_due(service, at(ms)).iter().any(|p| p.id == id);
        assert!(
            !due(&silent, 60_400) && due(&silent, 60_500),
            "a liveness check is due after 500 ms"
        );
        silent.mark_answered(&id, at(60_200));
        assert_eq!(first(&silent, 0, service, 60_300), was, "an answer ends the silence");
        let mut stopping = roster(0, &up, 60_000);
        stopping.mark_stopping(&id, at(60_000));
        assert_ne!(first(&stopping, 0, service, 60_100), was);
        assert!(stopping.is_awaitable(&id), "work that it has begun is waited for");
        let mut suspected = roster(0, &up, 60_000);
        let mut views: Vec<PeerView> = (1..5).map(|i| view(i, 60_000, 60_000)).collect();
        views[i - 1].suspect = true;
        suspected.update(views, at(60_000));
        assert_ne!(first(&suspected, 0, service, 60_000), was);
        assert!(!suspected.is_awaitable(&id));
    }
}

#[test]
fn a_stopping_node_coordinates_only_as_a_last_resort() {
    let mut alone = Roster::new(name(0).into(), "d".into(), 0);
    alone.stop();
    assert!(alone.coordinates("a", at(9_000)));
    for up in [[60_000; 4], [100; 4]] {
        let mut stopping = roster(0, &up, up[0]);
        stopping.stop();
        for service in SERVICES {
            let order = stopping.coordinators(service, at(up[0]));
            assert_eq!(order.last(), Some(None), "this node ranks last");
            assert!(!stopping.coordinates(service, at(up[0])));
        }
    }
}

#[test]
fn a_peer_is_checked_once_per_answer_lifetime() {
    let mut roster = roster(0, &[60_000; 2], 60_000);
    let id = view(1, 0, 0).node.id;
    let ask = |r: &mut Roster, ms| r.reachability(&id, at(ms));
    roster.begin_wait(&id, at(60_000));
    assert_eq!(
        ask(&mut roster, 60_000),
        Reachability::Responsive,
        "an order has just begun to wait"
    );
    assert_eq!(ask(&mut roster, 60_100), Reachability::Responsive);
    assert_eq!(
        ask(&mut roster, 60_120),
        Reachability::Unknown,
        "a partition must be detected soon"
    );
    roster.mark_answered(&id, at(60_125));
    assert_eq!(ask(&mut roster, 60_300), Reachability::Unknown);
    assert_eq!(ask(&mut roster, 60_310), Reachability::Responsive, "a check is in progress");
    roster.mark_silent(&id, at(60_550));
    assert_eq!(ask(&mut roster, 60_560), Reachability::Silent);
    assert_eq!(ask(&mut roster, 61_040), Reachability::Silent);
    assert_eq!(ask(&mut roster, 61_050), Reachability::Unknown, "another check is due");
    assert_eq!(ask(&mut roster, 61_060), Reachability::Silent, "it stays silent during a check");
    roster.mark_answered(&id, at(61_570));
    assert_eq!(ask(&mut roster, 61_600), Reachability::Responsive);
}

#[test]
fn only_a_simultaneous_start_counts_as_cluster_forming() {
    assert!(Roster::new(name(0).into(), "d".into(), 0).is_cluster_forming(at(100)));
    assert!(roster(0, &[300, 300], 300).is_cluster_forming(at(300)));
    assert!(!roster(0, &[300, 300], 900).is_cluster_forming(at(900)));
    assert!(!roster(0, &[300, 60_000], 300).is_cluster_forming(at(300)));
}

#[test]
fn cluster_forms_until_no_new_peers_appear() {
    let mut roster = Roster::new(name(0).into(), "d".into(), 0);
    for (ms, peers) in [(50, 1), (120, 4), (200, 9)] {
        roster.update((1..=peers).map(|i| view(i, ms, ms)).collect(), at(ms));
        assert!(roster.is_cluster_forming(at(ms + 90)), "more than {peers} may still join");
    }
    assert!(!roster.is_cluster_forming(at(310)), "no peer joined for 100 ms");
    roster.update((1..=10).map(|i| view(i, 320, 320)).collect(), at(320));
    assert!(roster.is_cluster_forming(at(330)), "a peer joined late");
    assert!(!roster.is_cluster_forming(at(900)), "forming ends after a fixed time");
}

#[test]
fn cluster_forming_does_not_wait_for_low_capacity_hosts() {
    let mut roster = Roster::new(name(0).into(), "d".into(), 0);
    let peers = |small: usize, ms| {
        let mut views: Vec<PeerView> = (1..=small + 2).map(|i| view(i, ms, ms)).collect();
        views[..2].iter_mut().for_each(|v| v.node.capacity = 2);
        views
    };
    for (ms, small) in [(50, 0), (90, 40), (140, 80)] {
        roster.update(peers(small, ms), at(ms));
    }
    assert!(roster.is_cluster_forming(at(140)));
    assert!(
        !roster.is_cluster_forming(at(150)),
        "both hosts that coordinate have been known for 100 ms"
    );
}

/// The relays that a newly started small host finds among peers of these capacities, all in its
/// failure domain.
fn relays_of_starting_node(peers: &[u8]) -> decide::relay::Relays {
    let mut roster = Roster::new("small".into(), "d".into(), 0);
    let peer = |(i, capacity): (usize, &u8)| {
        let mut view = view(i, 60_000, 100);
        view.node.capacity = *capacity;
        view
    };
    roster.update(peers.iter().enumerate().map(peer).collect(), at(100));
    roster.relays(at(120))
}

#[test]
fn a_starting_small_host_asks_larger_hosts_instead_of_the_store() {
    let alone = relays_of_starting_node(&[]);
    assert_eq!((alone.role, alone.peers.len()), (Role::Unknown, 0));
    let sources = relays_of_starting_node(&[0, 0, 2, 0, 2, 2]);
    assert_eq!(sources.role, Role::Unknown, "it is no relay although it knows few peers");
    let asked: Vec<&str> = sources.peers.iter().map(|p| &*p.id.name).collect();
    assert_eq!(asked.len(), 2);
    assert!(asked.iter().all(|n| ["node-2", "node-4", "node-5"].contains(n)), "{asked:?}");
}

#[test]
fn among_small_hosts_a_few_agreed_ones_read_the_store_early() {
    let sources = relays_of_starting_node(&[0; 60]);
    assert!(!sources.peers.is_empty());
    let reads_store_at =
        |n: &str, ms| Roster::new(n.into(), "d".into(), 0).relays(at(ms)).role == Role::Relay;
    let reads_store = |n: &str| reads_store_at(n, 310);
    assert!(
        sources.peers.iter().all(|p| reads_store(&p.id.name)),
        "the peers that are asked read the store"
    );
    let early = (0..600).filter(|i| reads_store(&name(*i))).count();
    assert!((15..=60).contains(&early), "{early} of 600 read the store before they know peers");
    assert!(
        !(0..600).any(|i| reads_store_at(&name(i), 290)),
        "a larger host may still be discovered"
    );
}

#[test]
fn a_node_without_peers_reads_the_store_after_discovery() {
    let alone = Roster::new("small".into(), "d".into(), 0);
    assert_eq!(alone.relays(at(700)).role, Role::Unknown);
    assert_eq!(alone.relays(at(800)).role, Role::Relay);
}

#[test]
fn state_of_departed_peers_is_purged() {
    let mut roster = roster(0, &[60_000; 2], 60_000);
    let id = view(1, 0, 0).node.id;
    roster.mark_stopping(&id, at(60_000));
    roster.update(Vec::new(), at(61_000));
    assert!(roster.is_awaitable(&id));
    roster.update(Vec::new(), at(130_000));
    assert!(!roster.is_awaitable(&id));
    assert_eq!(roster.max_seen(), 2, "the budget stays divided by the former number of nodes");
    roster.mark_silent(&id, at(130_000));
    assert!(roster.is_silent(&id), "a call in progress may still fail");
    roster.purge_departed(at(130_000));
    assert!(!roster.is_silent(&id));
}

/// The roster of node `me` among `n` nodes, of which every third is in the same domain.
fn multi_domain_roster(me: usize, n: usize, silent: &[usize]) -> Roster {
    let mut roster = Roster::new(name(me).into(), domain(me).into(), 0);
    let others = (0..n).filter(|i| *i != me).map(|i| {
        let mut view = view(i, 60_000, 60_000);
        view.node.domain = domain(i).into();
        view
    });
    roster.update(others.collect(), at(60_000));
    for i in silent.iter().filter(|i| **i != me) {
        roster.mark_silent(&view(*i, 0, 0).node.id, at(60_000));
    }
    roster
}

fn domain(i: usize) -> String {
    format!("d{}", i % 3)
}

/// Nodes that consider themselves relays.
fn self_appointed_relays(n: usize, silent: &[usize]) -> Vec<usize> {
    let up = (0..n).filter(|i| !silent.contains(i));
    up.filter(|i| multi_domain_roster(*i, n, silent).relays(at(60_001)).role == Role::Relay)
        .collect()
}

#[test]
fn each_domain_has_one_relay_one_standby_and_followers() {
    let n = 60;
    let of_role = |role| -> Vec<usize> {
        let has_role = |i: &usize| multi_domain_roster(*i, n, &[]).relays(at(60_001)).role == role;
        (0..n).filter(has_role).collect()
    };
    let (relays, standbys) = (of_role(Role::Relay), of_role(Role::Standby));
    assert_eq!((relays.len(), standbys.len()), (3, 3), "{relays:?} {standbys:?}");
    let is_among = |names: &[usize], p: &Node| names.iter().any(|i| name(*i) == *p.id.name);
    for me in of_role(Role::Follower) {
        let sources = multi_domain_roster(me, n, &[]).relays(at(60_001));
        assert!(is_among(&relays, &sources.peers[0]), "followers agree on the relay");
        assert!(is_among(&standbys, &sources.peers[1]), "followers agree on the standby");
        assert!(sources.peers[..2].iter().all(|p| *p.domain == *domain(me)));
        assert_eq!(sources.peers.len(), 4, "two of its own domain and one of each other");
    }
    for me in standbys {
        let sources = multi_domain_roster(me, n, &[]).relays(at(60_001));
        assert!(sources.peers.iter().all(|p| is_among(&relays, p)), "it asks only relays");
        assert_eq!(
            *sources.peers[0].domain,
            *domain(me),
            "the relay of its own domain comes first"
        );
    }
}

#[test]
fn silent_relays_are_replaced() {
    let n = 60;
    let before = self_appointed_relays(n, &[]);
    let after = self_appointed_relays(n, &before[..2]);
    assert_eq!(after.len(), 3);
    assert!(before[..2].iter().all(|gone| !after.contains(gone)));
    assert!(before[2..].iter().all(|kept| after.contains(kept)), "the remaining relay is kept");
}

#[test]
fn a_small_domain_also_has_a_relay_and_a_standby() {
    let mut roles: Vec<Role> = Vec::new();
    for me in 0..9 {
        let sources = multi_domain_roster(me, 9, &[]).relays(at(60_001));
        let expected_peers = if sources.role == Role::Follower { 4 } else { 3 };
        assert_eq!(
            sources.peers.len(),
            expected_peers,
            "{me}: peers that it asks while the store refuses it"
        );
        roles.push(sources.role);
    }
    for role in [Role::Relay, Role::Standby, Role::Follower] {
        assert_eq!(roles.iter().filter(|r| **r == role).count(), 3, "{role:?}: one per domain");
    }
}

#[test]
fn the_only_node_of_a_domain_reads_the_store() {
    let sources = multi_domain_roster(0, 3, &[]).relays(at(60_001));
    assert_eq!(sources.role, Role::Relay);
    assert_eq!(sources.peers.len(), 2, "the relays of the other domains");
}

#[test]
fn two_silent_peers_mark_a_domain_as_cut_until_one_of_its_peers_answers() {
    let (n, now) = (30, at(60_100));
    let me = 0;
    let others: Vec<usize> = (0..n).filter(|i| i % 3 == 1).collect();
    let mut roster = multi_domain_roster(me, n, &others[..1]);
    let of_domain = |r: &Roster| {
        let order = r.coordinators("a", now);
        order.flatten().filter(|p| *p.domain == *domain(1)).count()
    };
    assert_eq!(of_domain(&roster), 9, "a single silent peer may have failed on its own");
    roster.mark_silent(&view(others[1], 0, 0).node.id, now);
    assert_eq!(of_domain(&roster), 0, "the whole domain is excluded");
    assert_eq!(roster.coordinators("a", now).count(), 20, "the other domains are not");
    roster.mark_answered(&view(others[2], 0, 0).node.id, now);
    assert_eq!(of_domain(&roster), 8, "all but the silent peers are back");
}

#[test]
fn nodes_with_different_views_agree_after_exchanging_skipped_peers() {
    let (n, now) = (30, at(60_100));
    for service in SERVICES {
        let first = multi_domain_roster(0, n, &[]).coordinators(service, now).next();
        let Some(Some(lost)) = &first else {
            continue;
        };
        let mut requester = multi_domain_roster(0, n, &[]);
        requester.mark_silent(&lost.id, now);
        let Some(Some(next)) = requester.coordinators(service, now).next() else {
            continue;
        };
        let skipped = requester.skipped(service, now);
        assert_eq!(skipped, std::slice::from_ref(&lost.id));
        let i = (0..n).find(|i| name(*i) == *next.id.name).expect("one of the nodes");
        let mut responder = multi_domain_roster(i, n, &[]);
        assert!(!responder.coordinates(service, now), "it does not know of the failure");
        assert_eq!(
            responder.eligible_among(&skipped),
            std::slice::from_ref(lost),
            "so it checks that peer"
        );
        responder.mark_silent(&lost.id, now);
        assert!(responder.coordinates(service, now));
        assert!(responder.eligible_among(&skipped).is_empty(), "nothing is left to check");
    }
}

#[test]
fn a_survey_covers_each_domain_and_excludes_silent_peers() {
    let roster = multi_domain_roster(0, 30, &[1, 2, 3, 5]);
    let mut seen = std::collections::BTreeMap::new();
    for p in roster.survey("some service", at(60_100)) {
        assert!(!["node-1", "node-2", "node-3", "node-5"].contains(&&*p.id.name));
        *seen.entry(p.domain.to_string()).or_insert(0) += 1;
    }
    assert!(seen.values().all(|n| (1..=6).contains(n)), "{seen:?}");
}

#[test]
fn all_nodes_rank_high_capacity_hosts_first() {
    let n = 30;
    let is_large = |i: usize| i >= 27;
    for service in SERVICES {
        let mut firsts = std::collections::BTreeSet::new();
        for me in 0..n {
            let capacity = |i| if is_large(i) { 2 } else { 0 };
            let mut roster = Roster::new(name(me).into(), domain(me).into(), capacity(me));
            let others = (0..n).filter(|i| *i != me).map(|i| {
                let mut view = view(i, 60_000, 60_000);
                view.node.capacity = capacity(i);
                view
            });
            roster.update(others.collect(), at(60_000));
            firsts.insert(first(&roster, me, service, 60_000));
        }
        let large: Vec<String> = (27..30).map(name).collect();
        assert!(firsts.len() == 1 && firsts.iter().all(|f| large.contains(f)), "{firsts:?}");
    }
}

#[test]
fn view_changes_within_the_gather_window_are_reported_together() {
    let mut changes = PendingChanges::default();
    assert_eq!(changes.take_due(at(900)), None);
    for i in 0..100 {
        changes.record(&name(i).into(), Health::Suspect, at(1_000 + i as u64));
    }
    changes.record(&name(7).into(), Health::Dead, at(1_150));
    changes.record(&name(9).into(), Health::Alive, at(1_160));
    changes.record(&"new".into(), Health::Alive, at(1_170));
    changes.record(&"gone".into(), Health::Left, at(1_180));
    assert_eq!(changes.take_due(at(1_249)), None, "changes are still collected");
    let summary = changes.take_due(at(1_250)).expect("it is due");
    let ViewChange { alive, suspected, dead, left, names } = summary;
    assert_eq!((alive, suspected, dead, left), (2, 98, 1, 1), "each by its latest health");
    assert_eq!(names.len(), 6, "a bounded number of names");
    assert_eq!(*names[0], *name(7), "failed peers come first");
    assert_eq!(changes.take_due(at(2_000)), None, "each change is reported once");
}

#[test]
fn each_target_has_one_owner_and_ownership_is_distributed() {
    let up = [60_000; 6];
    let rosters: Vec<Roster> = (0..up.len()).map(|me| roster(me, &up, 60_000)).collect();
    let mut owned = [0; 6];
    for target in (0..120).map(|i| format!("i-{i}")) {
        let owners: Vec<usize> =
            (0..6).filter(|me| rosters[*me].owns(&target, at(60_000))).collect();
        assert_eq!(owners.len(), 1, "{target}: {owners:?}");
        owned[owners[0]] += 1;
    }
    assert!(owned.iter().all(|n| *n > 5), "{owned:?}");
    let mut stopping = roster(0, &up, 60_000);
    stopping.stop();
    assert!(
        (0..120).all(|i| !stopping.owns(&format!("i-{i}"), at(60_000))),
        "a stopping node owns none"
    );
    let alone = Roster::new("node-0".into(), "d".into(), 0);
    assert!(!alone.owns("i-1", at(100)), "its peers are not discovered yet");
    assert!(alone.owns("i-1", at(900)), "discovery is over and there are no peers");
}

/// A peer in one of three failure domains, on a host of higher capacity for every seventh.
fn view_in_domain(i: usize, up_ms: u64, now: u64) -> PeerView {
    let view = view(i, up_ms, now);
    let capacity = u8::from(i.is_multiple_of(7));
    let node = Node { domain: domain(i % 3).into(), capacity, ..view.node };
    PeerView { node, ..view }
}

/// A roster updated change by change, with peers that join, leave and restart, answers like one
/// built from the peers that are up now.
#[test]
fn incremental_updates_equal_full_updates() {
    let mut rng = Rng::new(3);
    for _ in 0..20 {
        let mut incremental = Roster::new("node-0".into(), domain(0).into(), 0);
        let mut up: BTreeMap<usize, u64> = BTreeMap::new();
        // The first lookup caches an order, which later changes must update.
        incremental.coordinators("a", at(60_000)).count();
        for ms in (60_000..64_000).step_by(50) {
            let i = 1 + rng.below(30);
            if rng.below(3) == 0 {
                up.remove(&i);
                incremental.remove(&view_in_domain(i, 0, 0).node.id);
            } else {
                let up_ms = [40, 5_000, 60_000][rng.below(3)];
                up.insert(i, ms - up_ms.min(ms));
                incremental.upsert(view_in_domain(i, up_ms, ms), at(ms));
            }
            let mut fresh = Roster::new("node-0".into(), domain(0).into(), 0);
            fresh.update(
                up.iter().map(|(i, start)| view_in_domain(*i, ms - start, ms)).collect(),
                at(ms),
            );
            for service in SERVICES {
                let order = |r: &Roster| r.coordinators(service, at(ms)).collect::<Vec<_>>();
                assert_eq!(order(&incremental), order(&fresh), "{service} at {ms} ms");
                for d in 0..3 {
                    let scheduler = |r: &Roster| r.scheduler(service, &domain(d), at(ms));
                    assert_eq!(
                        scheduler(&incremental),
                        scheduler(&fresh),
                        "{service} in {d} at {ms} ms"
                    );
                }
            }
            assert_eq!(incremental.relays(at(ms)).peers, fresh.relays(at(ms)).peers);
            assert_eq!(incremental.count(), fresh.count());
        }
    }
}
