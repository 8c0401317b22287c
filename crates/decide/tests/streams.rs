//! Origins of resumable streams: what is remembered, and which peers have copies.

use std::time::Duration;

use decide::fleet::Regions;
use decide::roster::{PeerView, Roster};
use decide::streams::StreamOrigins;
use model::Time;
use model::forward::{StreamKey, StreamOrigin, StreamRecords};
use model::member::{Node, NodeId};

const TTL: Duration = Duration::from_secs(10);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "pool".into(), version: version.into() }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn a_record_is_kept_until_its_caller_may_no_longer_come_back() {
    let mut origins = StreamOrigins::default();
    origins.record(StreamKey(1), origin("v1"), TTL, at(0));
    assert_eq!(origins.get(StreamKey(1), at(9_999)), Some(&origin("v1")));
    assert_eq!(origins.get(StreamKey(1), at(10_000)), None);
    origins.expire(at(10_000));
    assert!(origins.is_empty());
}

#[test]
fn a_repeated_record_is_kept_for_the_longer_time() {
    let mut origins = StreamOrigins::default();
    origins.record(StreamKey(1), origin("v1"), TTL, at(0));
    let streams = vec![StreamKey(1), StreamKey(2)];
    origins.merge(&StreamRecords { origin: origin("v1"), ttl_ms: 1_000, streams }, at(500));
    assert_eq!(origins.get(StreamKey(1), at(9_000)), Some(&origin("v1")));
    assert_eq!(origins.get(StreamKey(2), at(1_500)), None);
}

#[test]
fn contradicting_records_leave_the_origin_unknown_whatever_follows() {
    let mut origins = StreamOrigins::default();
    for version in ["v1", "v2", "v1"] {
        origins.record(StreamKey(1), origin(version), TTL, at(0));
    }
    assert_eq!(origins.get(StreamKey(1), at(1)), None);
}

#[test]
fn the_number_of_records_is_bounded_and_those_that_expire_first_go() {
    let mut origins = StreamOrigins::default();
    for n in 0..70_000 {
        origins.record(StreamKey(n), origin("v1"), TTL, at(n / 100));
    }
    assert_eq!(origins.len(), 65_536);
    assert_eq!(origins.get(StreamKey(0), at(700)), None);
    assert!(origins.get(StreamKey(69_999), at(700)).is_some());
}

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn node(n: usize) -> Node {
    let id = NodeId { name: format!("node-{n}").into(), start: 1 };
    let address = "127.0.0.1:1".parse().expect("an address");
    Node { id, address, entry: address, domain: DOMAINS[n % 3].into(), capacity: 0 }
}

/// The roster of one of these nodes, all in one region, while some have failed.
fn roster(me: usize, nodes: usize, failed: &[usize]) -> Roster {
    let mut roster = Roster::new(node(me).id.name, node(me).domain, 0);
    roster.set_regions(Regions::new(DOMAINS.map(|d| (d.into(), "north".into())).into()));
    let up = (0..nodes).filter(|n| *n != me && !failed.contains(n));
    let view = |n| PeerView { node: node(n), suspect: false, up: TTL, at: at(0) };
    roster.update(up.map(view).collect(), at(0));
    roster
}

#[test]
fn a_node_that_asks_reaches_a_backup_of_a_failed_node() {
    for nodes in [3, 8, 30, 300] {
        for failed in 0..nodes.min(30) {
            let backups = roster(failed, nodes, &[]).backups(|_| false);
            for me in (0..nodes.min(12)).filter(|me| *me != failed) {
                let asked = roster(me, nodes, &[failed]).possible_backups(|_| false);
                let is_backup = backups.contains(&node(me));
                let reached = asked.iter().filter(|n| backups.contains(n)).count();
                assert!(is_backup || reached > 0, "{me} of {nodes} after {failed} has failed");
            }
        }
    }
}

#[test]
fn backups_are_few_and_in_every_failure_domain_of_the_region() {
    for nodes in [8, 30, 2_000] {
        let backups = roster(0, nodes, &[]).backups(|_| false);
        let count = |domain: &str| backups.iter().filter(|n| *n.domain == *domain).count();
        let local = count("a");
        assert_eq!((local, count("b"), count("c")), (local.min(3), 1, 1), "{nodes}");
    }
}

#[test]
fn a_peer_whose_build_keeps_no_copies_is_neither_a_backup_nor_asked() {
    let roster = roster(0, 8, &[]);
    let is_unsupported = |id: &NodeId| *id == node(3).id;
    assert!(!roster.backups(is_unsupported).contains(&node(3)));
    assert!(!roster.possible_backups(is_unsupported).contains(&node(3)));
}
