//! Choice of the source, bounds on staleness, and the reach of the change log.

use std::time::Duration;

use decide::relay::{Choice, History, Relays, Role, Source, Sources, startup_wait, waits};
use decide::rng::Rng;
use model::Time;
use model::member::{Node, NodeId};
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn node(name: &str) -> Node {
    let address = "127.0.0.1:1".parse().expect("an address");
    let id = NodeId { name: name.into(), start: 1 };
    Node { id, address, entry: address, domain: "d".into(), capacity: 0 }
}

fn relays(role: Role) -> Relays {
    Relays { role, followers: 57, peers: vec![node("a"), node("b")] }
}

fn full_jitter(bound: Duration) -> Duration {
    bound
}

fn name_of(chosen: &Choice) -> &str {
    match &chosen.source {
        Source::Store => "store",
        Source::Peer { node, .. } => &node.id.name,
        Source::Unavailable => "unavailable",
    }
}

fn awaits_fresh(chosen: &Choice) -> bool {
    matches!(chosen.source, Source::Peer { await_fresh: true, .. })
}

#[test]
fn relay_reads_the_store_and_falls_back_to_peers() {
    let mut sources = Sources::default();
    let relays = relays(Role::Relay);
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays, at(ms), full_jitter)).to_string();
    assert_eq!(choose(&mut sources, 0), "store");
    sources.store_failed(Role::Relay, at(0), full_jitter);
    assert_eq!(choose(&mut sources, 10), "a");
    assert_eq!(choose(&mut sources, 200), "store", "retried soon");
    for _ in 0..9 {
        sources.store_failed(Role::Relay, at(200), full_jitter);
    }
    assert_eq!(choose(&mut sources, 1000), "a", "not too often");
    assert_eq!(choose(&mut sources, 1100), "store");
}

#[test]
fn follower_tries_each_relay_and_then_the_store() {
    let mut sources = Sources::default();
    let relays = relays(Role::Follower);
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays, at(ms), full_jitter)).to_string();
    assert_eq!(choose(&mut sources, 0), "a");
    sources.relay_failed(&node("a").id, at(0));
    assert_eq!(choose(&mut sources, 10), "b");
    sources.relay_failed(&node("b").id, at(500));
    assert_eq!(choose(&mut sources, 510), "store", "at once if no relay answers");
    assert_eq!(choose(&mut sources, 3010), "a", "the relay's backoff has ended");
}

#[test]
fn follower_of_stale_relays_waits_at_one_until_it_is_fresh() {
    let mut sources = Sources::default();
    let relays = relays(Role::Follower);
    sources.relay_stale(&node("a").id, at(0));
    let second = sources.choose(&relays, at(10), full_jitter);
    assert_eq!(
        (name_of(&second), awaits_fresh(&second)),
        ("b", false),
        "another relay may be fresh"
    );
    sources.relay_stale(&node("b").id, at(20));
    let waits = sources.choose(&relays, at(30), full_jitter);
    assert_eq!((name_of(&waits), awaits_fresh(&waits)), ("a", true));
    sources.relay_fresh(&node("a").id);
    let found = sources.choose(&relays, at(700), full_jitter);
    assert_eq!((name_of(&found), awaits_fresh(&found)), ("a", false));
}

/// Times at which a follower calls the store within ten seconds while no relay has contact with it.
fn fallback_times(followers: usize, mut draw: impl FnMut(Duration) -> Duration) -> Vec<u64> {
    let mut sources = Sources::default();
    let relays = Relays { followers, ..relays(Role::Follower) };
    let mut asked = Vec::new();
    for ms in (0..10_000).step_by(100) {
        for peer in &relays.peers {
            sources.relay_stale(&peer.id, at(ms));
        }
        if sources.choose(&relays, at(ms), &mut draw).source == Source::Store {
            sources.store_failed(Role::Follower, at(ms), &mut draw);
            asked.push(ms);
        }
    }
    asked
}

#[test]
fn followers_of_stale_relays_bound_their_total_store_calls() {
    for (followers, max) in [(5, 120), (57, 160), (500, 1_300)] {
        let mut rng = Rng::new(7);
        let asks = (0..followers).map(|_| fallback_times(followers, |max| rng.jitter(max)).len());
        let asks: usize = asks.sum();
        assert!((10..=max).contains(&asks), "{followers} followers asked {asks} times in 10 s");
    }
    let latest = fallback_times(500, full_jitter);
    assert_eq!(latest.first(), Some(&8_000), "a node that can reach the store calls it in time");
}

#[test]
fn starting_node_asks_only_known_peers() {
    let mut sources = Sources::default();
    let no_peers = Relays { role: Role::Unknown, peers: Vec::new(), ..relays(Role::Unknown) };
    let chosen = sources.choose(&no_peers, at(0), full_jitter);
    assert_eq!(name_of(&chosen), "unavailable");
    assert!(chosen.pause > Duration::ZERO);
    let chosen = sources.choose(&relays(Role::Unknown), at(50), full_jitter);
    assert_eq!(
        (name_of(&chosen), awaits_fresh(&chosen)),
        ("a", true),
        "the peer may be starting too"
    );
    sources.relay_failed(&node("a").id, at(60));
    sources.relay_failed(&node("b").id, at(60));
    assert_eq!(name_of(&sources.choose(&relays(Role::Unknown), at(70), full_jitter)), "store");
}

#[test]
fn earliest_backoff_is_retried_after_a_pause_if_all_sources_fail() {
    let mut sources = Sources::default();
    sources.relay_failed(&node("a").id, at(0));
    sources.relay_failed(&node("b").id, at(100));
    sources.store_failed(Role::Follower, at(200), full_jitter);
    let relays = relays(Role::Follower);
    let chosen = sources.choose(&relays, at(300), full_jitter);
    assert_eq!(name_of(&chosen), "store", "its backoff ends first");
    assert_eq!(chosen.pause, Duration::from_millis(500), "bounded pause");
    sources.store_answered();
    assert_eq!(sources.choose(&relays, at(301), full_jitter).pause, Duration::ZERO);
}

#[test]
fn node_without_peers_reads_the_store() {
    let alone = Relays { role: Role::Relay, peers: Vec::new(), ..relays(Role::Relay) };
    let mut sources = Sources::default();
    assert_eq!(name_of(&sources.choose(&alone, at(0), full_jitter)), "store");
    sources.store_failed(Role::Relay, at(0), full_jitter);
    let chosen = sources.choose(&alone, at(0), full_jitter);
    assert_eq!(name_of(&chosen), "store");
    assert!(chosen.pause > Duration::ZERO);
}

#[test]
fn callers_wait_only_during_startup() {
    for (uptime_ms, wait_ms) in [(0, 800), (300, 500), (799, 1), (800, 0), (60_000, 0)] {
        let wait = startup_wait(Duration::from_millis(uptime_ms));
        assert_eq!(wait, Duration::from_millis(wait_ms), "after {uptime_ms} ms");
    }
}

#[test]
fn history_reaches_back_to_its_start_only() {
    let mut history = History::default();
    history.restart(10);
    history.append(12, vec!["a"]);
    history.append(15, vec!["b", "c"]);
    history.append(14, vec!["late"]);
    history.append(16, Vec::new());
    assert_eq!(history.revision(), 16);
    assert_eq!(history.since(9), None);
    assert_eq!(history.since(10), Some(vec!["a", "b", "c"]));
    assert_eq!(history.since(12), Some(vec!["b", "c"]));
    assert_eq!(history.since(15), Some(vec![]));
    assert_eq!(history.since(99), Some(vec![]), "a follower that is ahead lacks nothing");
    history.restart(20);
    assert_eq!(history.since(16), None);
}

proptest! {
    /// Followers that poll at any time, with a bounded history, end with the current state.
    #[test]
    fn followers_converge_to_the_state(
        steps in proptest::collection::vec((0u8..6, any::<bool>(), any::<bool>()), 1..3000),
    ) {
        let mut history = History::default();
        history.restart(1);
        let (mut state, mut copy) = ([false; 6], [false; 6]);
        let (mut now, mut copy_at) = (1, 1);
        for (key, value, follows) in steps.iter().chain([&(0, true, true)]) {
            now += 1;
            state[usize::from(*key)] = *value;
            history.append(now, vec![(*key, *value)]);
            if !follows {
                continue;
            }
            match history.since(copy_at) {
                Some(changes) => {
                    changes.into_iter().for_each(|(k, v): (u8, bool)| copy[usize::from(k)] = v);
                }
                None => copy = state,
            }
            copy_at = history.revision();
            prop_assert_eq!(copy, state);
        }
    }
}

#[test]
fn timeouts_add_up_to_less_than_the_staleness_bound() {
    let rows = [
        ("a relay's watch of any kind", waits::max_relay_delay()),
        ("its followers' polls", waits::max_follower_delay()),
    ];
    for (what, worst) in rows {
        assert!(worst <= waits::MAX_STALENESS, "{what}: {worst:?}");
    }
    assert!(
        waits::PEER_WAIT + waits::PEER_SLACK < waits::max_relay_delay(),
        "followers notice first"
    );
    let in_calm = waits::RULES_WATCH_WAIT + waits::PEER_WAIT + waits::COALESCE_TIME;
    assert!(in_calm < waits::STALE_AFTER, "nothing is stale without faults");
}

#[test]
fn standby_replaces_a_stale_relay() {
    let mut sources = Sources::default();
    let relays = relays(Role::Standby);
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays, at(ms), full_jitter)).to_string();
    assert_eq!(choose(&mut sources, 0), "a");
    sources.relay_stale(&node("a").id, at(0));
    assert_eq!(choose(&mut sources, 10), "store", "at once");
    sources.store_failed(Role::Standby, at(20), full_jitter);
    assert_eq!(choose(&mut sources, 30), "b", "the relay of another domain");
    assert_eq!(choose(&mut sources, 2_080), "store", "retried");
    sources.relay_fresh(&node("a").id);
    assert_eq!(choose(&mut sources, 2_090), "a");
}
