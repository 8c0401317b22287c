//! Who coordinates what, as nodes come, go, stop and fall silent.

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
fn all_nodes_find_the_same_coordinator_whatever_their_ages() {
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
fn a_node_that_just_came_takes_nothing_from_those_that_were_there() {
    let up = [60_000, 60_000, 60_000, 1_000];
    for service in SERVICES {
        assert_ne!(first(&roster(0, &up, 60_000), 0, service, 60_000), name(3));
    }
    let later = [60_000; 4];
    let homes = SERVICES.map(|s| first(&roster(0, &later, 60_000), 0, s, 60_000));
    assert!(homes.contains(&name(3)), "but has its share later: {homes:?}");
}

#[test]
fn nodes_that_started_together_keep_their_coordinator_as_they_grow_older() {
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
fn suspects_and_silent_and_stopping_nodes_do_not_coordinate() {
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
        assert_ne!(first(&silent, 0, service, 69_000), was, "silence lasts until an answer");
        let due = |r: &Roster, ms| r.checks_due(service, at(ms)).iter().any(|p| p.id == id);
        assert!(!due(&silent, 60_400) && due(&silent, 60_500), "which is asked for");
        silent.mark_answered(&id, at(60_200));
        assert_eq!(first(&silent, 0, service, 60_300), was, "an answer ends it");
        let mut stopping = roster(0, &up, 60_000);
        stopping.note_stopping(&id, at(60_000));
        assert_ne!(first(&stopping, 0, service, 60_100), was);
        assert!(stopping.is_awaitable(&id), "but what it has begun is waited for");
        let mut suspected = roster(0, &up, 60_000);
        let mut views: Vec<PeerView> = (1..5).map(|i| view(i, 60_000, 60_000)).collect();
        views[i - 1].suspect = true;
        suspected.update(views, at(60_000));
        assert_ne!(first(&suspected, 0, service, 60_000), was);
        assert!(!suspected.is_awaitable(&id));
    }
}

#[test]
fn a_node_that_stops_coordinates_only_if_nobody_else_can() {
    let mut alone = Roster::new(name(0).into(), "d".into(), 0);
    alone.stop();
    assert!(alone.coordinates("a", at(9_000)));
    for up in [[60_000; 4], [100; 4]] {
        let mut stopping = roster(0, &up, up[0]);
        stopping.stop();
        for service in SERVICES {
            let order = stopping.coordinators(service, at(up[0]));
            assert_eq!(order.last(), Some(None), "it goes last");
            assert!(!stopping.coordinates(service, at(up[0])));
        }
    }
}

#[test]
fn a_peer_is_asked_once_and_no_more_often_than_its_answer_holds() {
    let mut roster = roster(0, &[60_000; 2], 60_000);
    let id = view(1, 0, 0).node.id;
    let ask = |r: &mut Roster, ms| r.reachability(&id, at(ms));
    roster.begin_wait(&id, at(60_000));
    assert_eq!(
        ask(&mut roster, 60_000),
        Reachability::Responsive,
        "an order has only just begun to wait"
    );
    assert_eq!(ask(&mut roster, 60_100), Reachability::Responsive);
    assert_eq!(ask(&mut roster, 60_120), Reachability::Unknown, "a cut is to show soon");
    roster.mark_answered(&id, at(60_125));
    assert_eq!(ask(&mut roster, 60_300), Reachability::Unknown);
    assert_eq!(ask(&mut roster, 60_310), Reachability::Responsive, "it is being asked");
    roster.mark_silent(&id, at(60_550));
    assert_eq!(ask(&mut roster, 60_560), Reachability::Silent);
    assert_eq!(ask(&mut roster, 61_040), Reachability::Silent);
    assert_eq!(ask(&mut roster, 61_050), Reachability::Unknown, "and asked again");
    assert_eq!(ask(&mut roster, 61_060), Reachability::Silent, "while it is asked it stays silent");
    roster.mark_answered(&id, at(61_570));
    assert_eq!(ask(&mut roster, 61_600), Reachability::Responsive);
}

#[test]
fn nodes_that_started_together_gather_and_a_restarted_one_does_not() {
    assert!(Roster::new(name(0).into(), "d".into(), 0).is_cluster_forming(at(100)));
    assert!(roster(0, &[300, 300], 300).is_cluster_forming(at(300)));
    assert!(!roster(0, &[300, 300], 900).is_cluster_forming(at(900)));
    assert!(!roster(0, &[300, 60_000], 300).is_cluster_forming(at(300)));
}

#[test]
fn nodes_gather_until_no_more_come() {
    let mut roster = Roster::new(name(0).into(), "d".into(), 0);
    for (ms, peers) in [(50, 1), (120, 4), (200, 9)] {
        roster.update((1..=peers).map(|i| view(i, ms, ms)).collect(), at(ms));
        assert!(roster.is_cluster_forming(at(ms + 90)), "more may come after {peers}");
    }
    assert!(!roster.is_cluster_forming(at(310)), "nobody came for a while");
    roster.update((1..=10).map(|i| view(i, 320, 320)).collect(), at(320));
    assert!(roster.is_cluster_forming(at(330)), "a late one");
    assert!(!roster.is_cluster_forming(at(900)), "but not for ever");
}

#[test]
fn nodes_do_not_wait_for_hosts_that_bear_less_than_others() {
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
        "both hosts that coordinate have been known for a while"
    );
}

/// What a small host that has just started knows of its relays, among peers that bear this
/// much, all of its failure domain.
fn forming(peers: &[u8]) -> decide::relay::Relays {
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
fn a_small_host_that_starts_asks_hosts_that_bear_more_and_not_the_store() {
    let alone = forming(&[]);
    assert_eq!((alone.role, alone.peers.len()), (Role::Unknown, 0));
    let found = forming(&[0, 0, 2, 0, 2, 2]);
    assert_eq!(found.role, Role::Unknown, "though it knows few peers, it is no relay");
    let asked: Vec<&str> = found.peers.iter().map(|p| &*p.id.name).collect();
    assert_eq!(asked.len(), 2);
    assert!(asked.iter().all(|n| ["node-2", "node-4", "node-5"].contains(n)), "{asked:?}");
}

#[test]
fn among_small_hosts_a_few_read_the_store_at_once_and_all_know_which() {
    let found = forming(&[0; 60]);
    assert!(!found.peers.is_empty());
    let reads_at =
        |n: &str, ms| Roster::new(n.into(), "d".into(), 0).relays(at(ms)).role == Role::Relay;
    let reads = |n: &str| reads_at(n, 310);
    assert!(found.peers.iter().all(|p| reads(&p.id.name)), "those that are asked do read it");
    let early = (0..600).filter(|i| reads(&name(*i))).count();
    assert!((15..=60).contains(&early), "{early} of 600 read it before they know others");
    assert!(!(0..600).any(|i| reads_at(&name(i), 290)), "a host that bears more may be there");
}

#[test]
fn a_node_that_finds_nobody_in_time_reads_the_store() {
    let alone = Roster::new("small".into(), "d".into(), 0);
    assert_eq!(alone.relays(at(700)).role, Role::Unknown);
    assert_eq!(alone.relays(at(800)).role, Role::Relay);
}

#[test]
fn what_is_known_of_peers_that_are_gone_is_forgotten() {
    let mut roster = roster(0, &[60_000; 2], 60_000);
    let id = view(1, 0, 0).node.id;
    roster.note_stopping(&id, at(60_000));
    roster.update(Vec::new(), at(61_000));
    assert!(roster.is_awaitable(&id));
    roster.update(Vec::new(), at(130_000));
    assert!(!roster.is_awaitable(&id));
    assert_eq!(roster.max_seen(), 2, "the budget stays shared by as many as there were");
    roster.mark_silent(&id, at(130_000));
    assert!(roster.is_silent(&id), "an answer that is waited for may still fail");
    roster.purge_departed(at(130_000));
    assert!(!roster.is_silent(&id));
}

/// The roster of node `me` among `n` nodes of which every third is in the same domain.
fn spread(me: usize, n: usize, silent: &[usize]) -> Roster {
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

/// Nodes that take themselves for relays.
fn own_relays(n: usize, silent: &[usize]) -> Vec<usize> {
    let up = (0..n).filter(|i| !silent.contains(i));
    up.filter(|i| spread(*i, n, silent).relays(at(60_001)).role == Role::Relay).collect()
}

#[test]
fn one_node_of_each_domain_relays_another_stands_by_and_the_others_ask_these() {
    let n = 60;
    let of_role = |role| -> Vec<usize> {
        let found = |i: &usize| spread(*i, n, &[]).relays(at(60_001)).role == role;
        (0..n).filter(found).collect()
    };
    let (relays, standbys) = (of_role(Role::Relay), of_role(Role::Standby));
    assert_eq!((relays.len(), standbys.len()), (3, 3), "{relays:?} {standbys:?}");
    let is_among = |names: &[usize], p: &Node| names.iter().any(|i| name(*i) == *p.id.name);
    for me in of_role(Role::Follower) {
        let found = spread(me, n, &[]).relays(at(60_001));
        assert!(is_among(&relays, &found.peers[0]), "all agree on the relay");
        assert!(is_among(&standbys, &found.peers[1]), "and on its standby");
        assert!(found.peers[..2].iter().all(|p| *p.domain == *domain(me)));
        assert_eq!(found.peers.len(), 4, "and one of each other domain");
    }
    for me in standbys {
        let found = spread(me, n, &[]).relays(at(60_001));
        assert!(found.peers.iter().all(|p| is_among(&relays, p)), "it asks relays alone");
        assert_eq!(*found.peers[0].domain, *domain(me), "its own first");
    }
}

#[test]
fn where_relays_fall_silent_others_take_their_place() {
    let n = 60;
    let before = own_relays(n, &[]);
    let after = own_relays(n, &before[..2]);
    assert_eq!(after.len(), 3);
    assert!(before[..2].iter().all(|gone| !after.contains(gone)));
    assert!(before[2..].iter().all(|kept| after.contains(kept)), "the other stays");
}

#[test]
fn a_small_domain_has_a_relay_and_a_standby_too() {
    let mut roles: Vec<Role> = Vec::new();
    for me in 0..9 {
        let found = spread(me, 9, &[]).relays(at(60_001));
        let whom = if found.role == Role::Follower { 4 } else { 3 };
        assert_eq!(found.peers.len(), whom, "{me}: whom it asks while the store turns it away");
        roles.push(found.role);
    }
    for role in [Role::Relay, Role::Standby, Role::Follower] {
        assert_eq!(roles.iter().filter(|r| **r == role).count(), 3, "{role:?}: one a domain");
    }
}

#[test]
fn a_node_alone_in_its_domain_reads_the_store() {
    let found = spread(0, 3, &[]).relays(at(60_001));
    assert_eq!(found.role, Role::Relay);
    assert_eq!(found.peers.len(), 2, "the relays of the others");
}

#[test]
fn two_silent_peers_of_a_domain_pass_for_a_cut_until_one_of_it_answers() {
    let (n, now) = (30, at(60_100));
    let me = 0;
    let others: Vec<usize> = (0..n).filter(|i| i % 3 == 1).collect();
    let mut roster = spread(me, n, &others[..1]);
    let of_domain = |r: &Roster| {
        let order = r.coordinators("a", now);
        order.flatten().filter(|p| *p.domain == *domain(1)).count()
    };
    assert_eq!(of_domain(&roster), 9, "one that is silent may have failed alone");
    roster.mark_silent(&view(others[1], 0, 0).node.id, now);
    assert_eq!(of_domain(&roster), 0, "the whole domain is left out");
    assert_eq!(roster.coordinators("a", now).count(), 20, "the others are not");
    roster.mark_answered(&view(others[2], 0, 0).node.id, now);
    assert_eq!(of_domain(&roster), 8, "all but the silent are back");
}

#[test]
fn nodes_that_know_different_things_agree_once_told_whom_the_other_skipped() {
    let (n, now) = (30, at(60_100));
    for service in SERVICES {
        let first = spread(0, n, &[]).coordinators(service, now).next();
        let Some(Some(lost)) = &first else {
            continue;
        };
        let mut asker = spread(0, n, &[]);
        asker.mark_silent(&lost.id, now);
        let Some(Some(next)) = asker.coordinators(service, now).next() else {
            continue;
        };
        let skipped = asker.skipped(service, now);
        assert_eq!(skipped, std::slice::from_ref(&lost.id));
        let i = (0..n).find(|i| name(*i) == *next.id.name).expect("one of the nodes");
        let mut asked = spread(i, n, &[]);
        assert!(!asked.coordinates(service, now), "it knows of no loss");
        assert_eq!(
            asked.eligible_among(&skipped),
            std::slice::from_ref(lost),
            "so it asks that one"
        );
        asked.mark_silent(&lost.id, now);
        assert!(asked.coordinates(service, now));
        assert!(asked.eligible_among(&skipped).is_empty(), "and asks no more");
    }
}

#[test]
fn a_survey_asks_some_of_each_domain_and_none_that_is_silent() {
    let roster = spread(0, 30, &[1, 2, 3, 5]);
    let mut seen = std::collections::BTreeMap::new();
    for p in roster.survey("some service", at(60_100)) {
        assert!(!["node-1", "node-2", "node-3", "node-5"].contains(&&*p.id.name));
        *seen.entry(p.domain.to_string()).or_insert(0) += 1;
    }
    assert!(seen.values().all(|n| (1..=6).contains(n)), "{seen:?}");
}

#[test]
fn hosts_that_bear_more_come_first_and_all_agree_on_them() {
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
fn changes_of_the_view_within_a_moment_are_told_together() {
    let mut changes = PendingChanges::default();
    assert_eq!(changes.take_due(at(900)), None);
    for i in 0..100 {
        changes.note(&name(i).into(), Health::Suspect, at(1_000 + i as u64));
    }
    changes.note(&name(7).into(), Health::Dead, at(1_150));
    changes.note(&name(9).into(), Health::Alive, at(1_160));
    changes.note(&"new".into(), Health::Alive, at(1_170));
    changes.note(&"gone".into(), Health::Left, at(1_180));
    assert_eq!(changes.take_due(at(1_249)), None, "more may come");
    let told = changes.take_due(at(1_250)).expect("it is due");
    let ViewChange { alive, suspected, dead, left, names } = told;
    assert_eq!((alive, suspected, dead, left), (2, 98, 1, 1), "each by its latest health");
    assert_eq!(names.len(), 6, "a bounded part by name");
    assert_eq!(*names[0], *name(7), "those that failed first");
    assert_eq!(changes.take_due(at(2_000)), None, "each once");
}

#[test]
fn each_target_is_owned_by_one_node_and_they_share_them_out() {
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
        "one that stops owns none"
    );
    let alone = Roster::new("node-0".into(), "d".into(), 0);
    assert!(!alone.owns("i-1", at(100)), "its peers are not known yet");
    assert!(alone.owns("i-1", at(900)), "there are none");
}

/// A peer in one of three failure domains, on a host that may bear more.
fn placed(i: usize, up_ms: u64, now: u64) -> PeerView {
    let view = view(i, up_ms, now);
    let capacity = u8::from(i.is_multiple_of(7));
    let node = Node { domain: domain(i % 3).into(), capacity, ..view.node };
    PeerView { node, ..view }
}

/// Whatever came, went and came again at other times, a roster that was told each change by itself
/// answers as one that was told the peers that are up now.
#[test]
fn changes_of_peers_come_to_the_same_as_whole_views() {
    let mut rng = Rng::new(3);
    for _ in 0..20 {
        let mut told = Roster::new("node-0".into(), domain(0).into(), 0);
        let mut up: BTreeMap<usize, u64> = BTreeMap::new();
        // Orders are kept from the first question on.
        told.coordinators("a", at(60_000)).count();
        for ms in (60_000..64_000).step_by(50) {
            let i = 1 + rng.below(30);
            if rng.below(3) == 0 {
                up.remove(&i);
                told.remove(&placed(i, 0, 0).node.id);
            } else {
                let up_ms = [40, 5_000, 60_000][rng.below(3)];
                up.insert(i, ms - up_ms.min(ms));
                told.put(placed(i, up_ms, ms), at(ms));
            }
            let mut fresh = Roster::new("node-0".into(), domain(0).into(), 0);
            fresh.update(up.iter().map(|(i, born)| placed(*i, ms - born, ms)).collect(), at(ms));
            for service in SERVICES {
                let order = |r: &Roster| r.coordinators(service, at(ms)).collect::<Vec<_>>();
                assert_eq!(order(&told), order(&fresh), "{service} at {ms} ms");
                for d in 0..3 {
                    let scheduler = |r: &Roster| r.scheduler(service, &domain(d), at(ms));
                    assert_eq!(scheduler(&told), scheduler(&fresh), "{service} in {d} at {ms} ms");
                }
            }
            assert_eq!(told.relays(at(ms)).peers, fresh.relays(at(ms)).peers);
            assert_eq!(told.count(), fresh.count());
        }
    }
}
