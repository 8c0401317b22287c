//! What is followed, through whom, and how far back.

use std::time::Duration;

use decide::relay::{Chosen, History, Relays, Source, Sources};
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

fn relays(own: bool) -> Relays {
    Relays { own, followed: true, peers: vec![node("a"), node("b")] }
}

fn whole(bound: Duration) -> Duration {
    bound
}

fn name_of(chosen: &Chosen) -> &str {
    match &chosen.source {
        Source::Store => "store",
        Source::Peer(p) => &p.id.name,
    }
}

#[test]
fn a_relay_reads_the_store_and_asks_peers_while_that_is_lost() {
    let mut sources = Sources::default();
    assert_eq!(name_of(&sources.choose(&relays(true), at(0))), "store");
    sources.store_failed(true, at(0), whole);
    assert_eq!(name_of(&sources.choose(&relays(true), at(10))), "a");
    assert_eq!(name_of(&sources.choose(&relays(true), at(200))), "store", "soon tried again");
    for _ in 0..9 {
        sources.store_failed(true, at(200), whole);
    }
    assert_eq!(name_of(&sources.choose(&relays(true), at(1000))), "a", "but not too often");
    assert_eq!(name_of(&sources.choose(&relays(true), at(1100))), "store");
}

#[test]
fn a_follower_asks_one_relay_after_the_other_and_at_last_the_store() {
    let mut sources = Sources::default();
    let choose = |s: &mut Sources, ms| name_of(&s.choose(&relays(false), at(ms))).to_string();
    assert_eq!(choose(&mut sources, 0), "a");
    sources.relay_failed(&node("a").id, at(0));
    assert_eq!(choose(&mut sources, 10), "b");
    sources.relay_failed(&node("b").id, at(500));
    assert_eq!(choose(&mut sources, 510), "store");
    assert_eq!(choose(&mut sources, 3010), "a", "a relay may be well again");
}

#[test]
fn where_all_sources_fail_the_one_that_failed_first_is_asked_after_a_pause() {
    let mut sources = Sources::default();
    sources.relay_failed(&node("a").id, at(0));
    sources.relay_failed(&node("b").id, at(100));
    sources.store_failed(false, at(200), whole);
    let chosen = sources.choose(&relays(false), at(300));
    assert_eq!(name_of(&chosen), "store", "it rests for the shortest time");
    assert_eq!(chosen.pause, Duration::from_millis(500), "and nobody asks without end");
    sources.store_answered();
    assert_eq!(sources.choose(&relays(false), at(301)).pause, Duration::ZERO);
}

#[test]
fn a_node_that_knows_nobody_reads_the_store() {
    let alone = Relays { own: true, followed: false, peers: Vec::new() };
    let mut sources = Sources::default();
    assert_eq!(name_of(&sources.choose(&alone, at(0))), "store");
    sources.store_failed(true, at(0), whole);
    let chosen = sources.choose(&alone, at(0));
    assert_eq!(name_of(&chosen), "store");
    assert!(chosen.pause > Duration::ZERO);
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
