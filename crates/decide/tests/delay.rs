//! Whether slow connections are this node's own delay.

use std::time::Duration;

use decide::delay::{Connect, LocalDelay, Party};
use model::Time;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A node whose connections took 2 ms until now.
fn prompt_node() -> (LocalDelay, Time) {
    let mut delay = LocalDelay::default();
    let mut now = Time::ZERO + ms(1000);
    for _ in 0..20 {
        now = now + ms(10);
        delay.record(Party::Target, Connect::Completed(ms(2)), now);
    }
    (delay, now)
}

#[test]
fn a_node_is_late_if_even_its_fastest_connection_is_slow() {
    // Connect times of all connections, those of a few, and whether the node is late.
    let cases: [(&[u64], bool); 4] = [
        (&[60, 80, 70, 90, 55], true),
        (&[60, 80, 70, 90, 3], false),
        (&[20, 25, 22, 30, 21], false),
        (&[90, 95], false),
    ];
    for (took, is_late) in cases {
        let (mut delay, now) = prompt_node();
        let now = now + ms(150);
        for t in took {
            delay.record(Party::Target, Connect::Completed(ms(*t)), now);
        }
        assert_eq!(delay.is_late(now), is_late, "{took:?}");
        assert!(!delay.is_late(now + ms(150)), "{took:?} are old");
    }
}

#[test]
fn timeouts_are_a_delay_only_if_peers_time_out_too() {
    let timed_out = Connect::TimedOut(ms(150));
    let cases: [(&[Connect], bool); 4] = [
        (&[], false),
        (&[Connect::Completed(ms(2))], false),
        (&[timed_out], true),
        (&[timed_out, Connect::Completed(ms(2))], false),
    ];
    for (to_peers, is_late) in cases {
        let (mut delay, now) = prompt_node();
        let now = now + ms(150);
        for _ in 0..5 {
            delay.record(Party::Target, timed_out, now);
        }
        for connect in to_peers {
            delay.record(Party::Peer, *connect, now);
        }
        assert_eq!(delay.is_late(now), is_late, "{to_peers:?}");
    }
}

#[test]
fn connections_that_always_take_long_are_no_delay() {
    let mut delay = LocalDelay::default();
    let mut now = Time::ZERO + ms(1000);
    for _ in 0..100 {
        now = now + ms(10);
        delay.record(Party::Target, Connect::Completed(ms(80)), now);
        assert!(!delay.is_late(now));
    }
}
