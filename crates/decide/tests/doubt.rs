//! Until when targets are kept whose entries vanished around an outage of the store.

use std::time::Duration;

use decide::relay::OutageGrace;
use model::Time;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// What a node tells whoever follows it.
fn told(doubt: &OutageGrace, now: Time) -> Duration {
    doubt.until(now).map_or(Duration::ZERO, |until| until.since(now))
}

#[test]
fn what_vanished_around_an_outage_is_kept_for_two_seconds_after_it() {
    let mut doubt = OutageGrace::default();
    assert_eq!(doubt.read_from_store(at(0)), None);
    doubt.store_failed();
    assert_eq!(doubt.until(at(500)), Some(at(2_500)));
    doubt.store_answered(at(1_000));
    assert_eq!(doubt.read_from_store(at(1_000)), Some(at(3_000)));
    assert_eq!(doubt.until(at(3_000)), None);
}

/// After all nodes had lost power, some were turned away by the store. One of them took the state
/// from a peer that had read it, and passed it on; the third node kept targets that had left, and
/// that both others knew to have left, for two seconds more, and sent them requests.
#[test]
fn a_node_that_the_store_turns_away_does_not_doubt_what_a_peer_has_read() {
    let mut reads = OutageGrace::default();
    assert_eq!(reads.read_from_store(at(0)), None);
    let mut turned_away = OutageGrace::default();
    turned_away.store_failed();
    assert_eq!(turned_away.read_from_peer(told(&reads, at(700)), at(700)), None);
    let mut follows = OutageGrace::default();
    assert_eq!(follows.read_from_peer(told(&turned_away, at(1_500)), at(1_500)), None);
}

#[test]
fn a_doubt_does_not_grow_on_its_way_and_ends_when_the_store_is_read() {
    let mut reads = OutageGrace::default();
    reads.store_failed();
    reads.store_answered(at(0));
    let mut first = OutageGrace::default();
    first.store_failed();
    first.read_from_peer(told(&reads, at(500)), at(500));
    let mut second = OutageGrace::default();
    assert_eq!(second.read_from_peer(told(&first, at(1_500)), at(1_500)), Some(at(2_000)));
    assert_eq!(second.until(at(2_000)), None);
    assert_eq!(second.read_from_store(at(2_100)), None, "its own contact was never lost");
}
