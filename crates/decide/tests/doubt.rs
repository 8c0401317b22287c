//! Grace period for targets whose entries vanished around an outage of the store.

use std::time::Duration;

use decide::relay::OutageGrace;
use model::Time;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Remaining grace period that a node reports to its followers.
fn remaining(grace: &OutageGrace, now: Time) -> Duration {
    grace.until(now).map_or(Duration::ZERO, |until| until.since(now))
}

#[test]
fn grace_period_ends_two_seconds_after_an_outage() {
    let mut grace = OutageGrace::default();
    assert_eq!(grace.read_from_store(at(0)), None);
    grace.store_failed();
    assert_eq!(grace.until(at(500)), Some(at(2_500)));
    grace.store_answered(at(1_000));
    assert_eq!(grace.read_from_store(at(1_000)), Some(at(3_000)));
    assert_eq!(grace.until(at(3_000)), None);
}

/// Guards against sending requests to targets that are known to have been removed. After a power
/// loss of all nodes the store rejects some of them. If one of these gets the state from a peer
/// that has read it, and forwards it with a grace period of its own, a third node keeps such
/// targets for two more seconds.
#[test]
fn rejected_node_adopts_the_grace_period_of_its_peer() {
    let mut reader = OutageGrace::default();
    assert_eq!(reader.read_from_store(at(0)), None);
    let mut rejected = OutageGrace::default();
    rejected.store_failed();
    assert_eq!(rejected.read_from_peer(remaining(&reader, at(700)), at(700)), None);
    let mut follower = OutageGrace::default();
    assert_eq!(follower.read_from_peer(remaining(&rejected, at(1_500)), at(1_500)), None);
}

#[test]
fn forwarded_grace_period_does_not_grow_and_ends_on_a_store_read() {
    let mut reader = OutageGrace::default();
    reader.store_failed();
    reader.store_answered(at(0));
    let mut first = OutageGrace::default();
    first.store_failed();
    first.read_from_peer(remaining(&reader, at(500)), at(500));
    let mut second = OutageGrace::default();
    assert_eq!(second.read_from_peer(remaining(&first, at(1_500)), at(1_500)), Some(at(2_000)));
    assert_eq!(second.until(at(2_000)), None);
    assert_eq!(second.read_from_store(at(2_100)), None, "its own store calls never failed");
}
