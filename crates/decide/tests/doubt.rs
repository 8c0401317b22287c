//! Until when targets are kept whose entries vanished around an outage of the store.

use std::time::Duration;

use decide::relay::Doubt;
use model::Time;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// What a node tells whoever follows it.
fn told(doubt: &Doubt, now: Time) -> Duration {
    doubt.until(now).map_or(Duration::ZERO, |until| until.since(now))
}

#[test]
fn what_vanished_around_an_outage_is_kept_for_two_seconds_after_it() {
    let mut doubt = Doubt::default();
    assert_eq!(doubt.read(at(0)), None);
    doubt.lost();
    assert_eq!(doubt.until(at(500)), Some(at(2_500)));
    doubt.answered(at(1_000));
    assert_eq!(doubt.read(at(1_000)), Some(at(3_000)));
    assert_eq!(doubt.until(at(3_000)), None);
}

/// After all nodes had lost power, some were turned away by the store. One of them took the state
/// from a peer that had read it, and passed it on; the third node kept targets that had left, and
/// that both others knew to have left, for two seconds more, and sent them requests.
#[test]
fn a_node_that_the_store_turns_away_does_not_doubt_what_a_peer_has_read() {
    let mut reads = Doubt::default();
    assert_eq!(reads.read(at(0)), None);
    let mut turned_away = Doubt::default();
    turned_away.lost();
    assert_eq!(turned_away.heard(told(&reads, at(700)), at(700)), None);
    let mut follows = Doubt::default();
    assert_eq!(follows.heard(told(&turned_away, at(1_500)), at(1_500)), None);
}

#[test]
fn a_doubt_does_not_grow_on_its_way_and_ends_when_the_store_is_read() {
    let mut reads = Doubt::default();
    reads.lost();
    reads.answered(at(0));
    let mut first = Doubt::default();
    first.lost();
    first.heard(told(&reads, at(500)), at(500));
    let mut second = Doubt::default();
    assert_eq!(second.heard(told(&first, at(1_500)), at(1_500)), Some(at(2_000)));
    assert_eq!(second.until(at(2_000)), None);
    assert_eq!(second.read(at(2_100)), None, "its own contact was never lost");
}
