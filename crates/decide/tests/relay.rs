//! What is followed, through whom, and how far back.

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

fn whole(bound: Duration) -> Duration {
    bound
}

fn name_of(chosen: &Choice) -> &str {
    match &chosen.source {
        Source::Store => "store",
        Source::Peer { node, .. } => &node.id.name,
        Source::Unavailable => "nobody",
    }
}

fn is_patient(chosen: &Choice) -> bool {
    matches!(chosen.source, Source::Peer { await_fresh: true, .. })
}

#[test]
fn a_relay_reads_the_store_and_asks_peers_while_that_is_lost() {
    let mut sources = Sources::default();
    let relays = relays(Role::Relay);
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays, at(ms), whole)).to_string();
    assert_eq!(choose(&mut sources, 0), "store");
    sources.store_failed(Role::Relay, at(0), whole);
    assert_eq!(choose(&mut sources, 10), "a");
    assert_eq!(choose(&mut sources, 200), "store", "soon tried again");
    for _ in 0..9 {
        sources.store_failed(Role::Relay, at(200), whole);
    }
    assert_eq!(choose(&mut sources, 1000), "a", "but not too often");
    assert_eq!(choose(&mut sources, 1100), "store");
}

#[test]
fn a_follower_asks_one_relay_after_the_other_and_at_last_the_store() {
    let mut sources = Sources::default();
    let relays = relays(Role::Follower);
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays, at(ms), whole)).to_string();
    assert_eq!(choose(&mut sources, 0), "a");
    sources.relay_failed(&node("a").id, at(0));
    assert_eq!(choose(&mut sources, 10), "b");
    sources.relay_failed(&node("b").id, at(500));
    assert_eq!(choose(&mut sources, 510), "store", "at once where no relay answers");
    assert_eq!(choose(&mut sources, 3010), "a", "a relay may be well again");
}

#[test]
fn a_follower_of_relays_that_are_out_of_touch_waits_with_one_until_it_is_back() {
    let mut sources = Sources::default();
    let relays = relays(Role::Follower);
    sources.relay_stale(&node("a").id, at(0));
    let second = sources.choose(&relays, at(10), whole);
    assert_eq!((name_of(&second), is_patient(&second)), ("b", false), "another may be in touch");
    sources.relay_stale(&node("b").id, at(20));
    let waits = sources.choose(&relays, at(30), whole);
    assert_eq!((name_of(&waits), is_patient(&waits)), ("a", true));
    sources.relay_fresh(&node("a").id);
    let found = sources.choose(&relays, at(700), whole);
    assert_eq!((name_of(&found), is_patient(&found)), ("a", false));
}

/// Times at which a follower asks the store in ten seconds without a relay in touch.
fn last_resorts(followers: usize, mut draw: impl FnMut(Duration) -> Duration) -> Vec<u64> {
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
fn followers_of_relays_out_of_touch_ask_the_store_the_more_seldom_the_more_they_are() {
    for (followers, most) in [(5, 120), (57, 160), (500, 1_300)] {
        let mut rng = Rng::new(7);
        let asks = (0..followers).map(|_| last_resorts(followers, |most| rng.jitter(most)).len());
        let asks: usize = asks.sum();
        assert!((10..=most).contains(&asks), "{followers} followers asked {asks} times in 10 s");
    }
    let latest = last_resorts(500, whole);
    assert_eq!(latest.first(), Some(&8_000), "whoever could reach it does so in time");
}

#[test]
fn a_node_that_does_not_know_its_peers_yet_asks_nobody_or_whom_it_knows() {
    let mut sources = Sources::default();
    let nobody = Relays { role: Role::Unknown, peers: Vec::new(), ..relays(Role::Unknown) };
    let chosen = sources.choose(&nobody, at(0), whole);
    assert_eq!(name_of(&chosen), "nobody");
    assert!(chosen.pause > Duration::ZERO);
    let chosen = sources.choose(&relays(Role::Unknown), at(50), whole);
    assert_eq!((name_of(&chosen), is_patient(&chosen)), ("a", true), "which may start too");
    sources.relay_failed(&node("a").id, at(60));
    sources.relay_failed(&node("b").id, at(60));
    assert_eq!(name_of(&sources.choose(&relays(Role::Unknown), at(70), whole)), "store");
}

#[test]
fn where_all_sources_fail_the_one_that_failed_first_is_asked_after_a_pause() {
    let mut sources = Sources::default();
    sources.relay_failed(&node("a").id, at(0));
    sources.relay_failed(&node("b").id, at(100));
    sources.store_failed(Role::Follower, at(200), whole);
    let relays = relays(Role::Follower);
    let chosen = sources.choose(&relays, at(300), whole);
    assert_eq!(name_of(&chosen), "store", "it rests for the shortest time");
    assert_eq!(chosen.pause, Duration::from_millis(500), "and nobody asks without end");
    sources.store_answered();
    assert_eq!(sources.choose(&relays, at(301), whole).pause, Duration::ZERO);
}

#[test]
fn a_node_that_knows_nobody_reads_the_store() {
    let alone = Relays { role: Role::Relay, peers: Vec::new(), ..relays(Role::Relay) };
    let mut sources = Sources::default();
    assert_eq!(name_of(&sources.choose(&alone, at(0), whole)), "store");
    sources.store_failed(Role::Relay, at(0), whole);
    let chosen = sources.choose(&alone, at(0), whole);
    assert_eq!(name_of(&chosen), "store");
    assert!(chosen.pause > Duration::ZERO);
}

#[test]
fn callers_wait_for_a_node_that_has_just_started_and_for_no_other() {
    for (uptime_ms, wait_ms) in [(0, 800), (300, 500), (799, 1), (800, 0), (60_000, 0)] {
        let wait = startup_wait(Duration::from_millis(uptime_ms));
        assert_eq!(wait, Duration::from_millis(wait_ms), "after {uptime_ms} ms");
    }
}

#[test]
fn a_history_reaches_back_to_where_it_began_and_no_further() {
    let mut history = History::default();
    history.restart(10);
    history.append(12, vec!["a"]);
    history.append(15, vec!["b", "c"]);
    history.append(14, vec!["late"]);
    history.append(16, Vec::new());
    assert_eq!(history.at(), 16);
    assert_eq!(history.since(9), None);
    assert_eq!(history.since(10), Some(vec!["a", "b", "c"]));
    assert_eq!(history.since(12), Some(vec!["b", "c"]));
    assert_eq!(history.since(15), Some(vec![]));
    assert_eq!(history.since(99), Some(vec![]), "one that is ahead lacks nothing");
    history.restart(20);
    assert_eq!(history.since(16), None);
}

proptest! {
    /// Whoever follows at whatever moments, with a bounded history, ends where the state is.
    #[test]
    fn followers_end_with_the_whole_state(
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
            copy_at = history.at();
            prop_assert_eq!(copy, state);
        }
    }
}

#[test]
fn all_waits_for_news_add_up_to_what_is_promised_whatever_falls_silent() {
    let rows = [
        ("a relay's watch of any kind", waits::max_relay_delay()),
        ("what its followers learn through it", waits::max_follower_delay()),
    ];
    for (what, worst) in rows {
        assert!(worst <= waits::MAX_STALENESS, "{what}: {worst:?}");
    }
    assert!(
        waits::PEER_WAIT + waits::PEER_SLACK < waits::max_relay_delay(),
        "followers notice first"
    );
    let in_calm = waits::RULES_WATCH_WAIT + waits::PEER_WAIT + waits::COALESCE_TIME;
    assert!(in_calm < waits::STALE_AFTER, "nothing is called old in calm");
}

#[test]
fn a_standby_takes_the_place_of_a_relay_that_is_out_of_touch() {
    let mut sources = Sources::default();
    let relays = relays(Role::Standby);
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays, at(ms), whole)).to_string();
    assert_eq!(choose(&mut sources, 0), "a");
    sources.relay_stale(&node("a").id, at(0));
    assert_eq!(choose(&mut sources, 10), "store", "at once");
    sources.store_failed(Role::Standby, at(20), whole);
    assert_eq!(choose(&mut sources, 30), "b", "the relay of another domain");
    assert_eq!(choose(&mut sources, 2_080), "store", "tried again");
    sources.relay_fresh(&node("a").id);
    assert_eq!(choose(&mut sources, 2_090), "a");
}
