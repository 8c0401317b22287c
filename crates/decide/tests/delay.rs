//! Whether slow connections are this node's own delay.

use std::time::Duration;

use decide::delay::{Connect, LocalDelay, Pace, Witness};
use model::Time;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn connect(delay: &mut LocalDelay, connect: Connect, now: Time) {
    let took = match connect {
        Connect::Completed(took) => took,
        Connect::TimedOut => ms(150),
    };
    let attempt = delay.begin(now - took);
    delay.end(attempt, Some(connect), now);
}

/// A node whose connections took 2 ms until 200 ms ago.
fn prompt_node() -> (LocalDelay, Time) {
    let mut delay = LocalDelay::default();
    let mut now = Time::ZERO + ms(1000);
    for _ in 0..20 {
        now = now + ms(10);
        connect(&mut delay, Connect::Completed(ms(2)), now);
    }
    (delay, now + ms(200))
}

#[test]
fn a_node_is_late_if_even_its_fastest_connection_is_slow() {
    let cases: [(&[u64], Pace); 4] = [
        (&[60, 80, 70, 90, 55], Pace::Late),
        (&[60, 80, 70, 90, 3], Pace::Prompt),
        (&[20, 25, 22, 30, 21], Pace::Slowed),
        (&[90, 95], Pace::Prompt),
    ];
    for (took, pace) in cases {
        let (mut delay, now) = prompt_node();
        for t in took {
            connect(&mut delay, Connect::Completed(ms(*t)), now);
        }
        assert_eq!(delay.pace(false, now), pace, "{took:?}");
        assert_eq!(delay.is_host_late(now), pace == Pace::Late, "{took:?}");
        assert!(!delay.is_late(now + ms(150)), "{took:?} are old");
    }
}

#[test]
fn a_node_is_late_while_none_of_several_connections_is_completed_promptly() {
    let (mut delay, now) = prompt_node();
    let attempts: Vec<u64> = (0..3).map(|_| delay.begin(now)).collect();
    assert!(!delay.is_late(now + ms(20)));
    assert!(delay.is_late(now + ms(40)));
    delay.end(attempts[0], Some(Connect::Completed(ms(41))), now + ms(41));
    assert!(delay.is_late(now + ms(41)), "it was completed late");
    connect(&mut delay, Connect::Completed(ms(3)), now + ms(42));
    assert!(!delay.is_late(now + ms(42)), "another was completed promptly");
}

#[test]
fn timeouts_are_due_to_the_host_only_if_peers_are_slow_too() {
    let cases: [(Option<Connect>, bool); 4] = [
        (None, false),
        (Some(Connect::Completed(ms(3))), false),
        (Some(Connect::Completed(ms(80))), true),
        (Some(Connect::TimedOut), true),
    ];
    for (to_peer, is_host_late) in cases {
        let (mut delay, now) = prompt_node();
        for _ in 0..5 {
            connect(&mut delay, Connect::TimedOut, now);
        }
        if let Some(to_peer) = to_peer {
            delay.record_peer(to_peer, now);
        }
        assert!(delay.is_late(now));
        assert_eq!(delay.pace(false, now), Pace::Late);
        assert_eq!(delay.pace(true, now) == Pace::Late, is_host_late, "{to_peer:?}");
        assert_eq!(delay.is_host_late(now), is_host_late, "{to_peer:?}");
    }
}

#[test]
fn only_a_prompt_connection_since_the_probes_began_speaks_against_the_host() {
    let cases = [
        (&[][..], None, Witness::Missing),
        (&[], Some(Connect::Completed(ms(3))), Witness::Prompt),
        (&[], Some(Connect::TimedOut), Witness::Late),
        // A target refuses promptly.
        (&[Connect::Completed(ms(3))], Some(Connect::TimedOut), Witness::Prompt),
        (&[Connect::Completed(ms(80))], None, Witness::Missing),
    ];
    for (to_targets, to_peer, expected) in cases {
        let (mut delay, now) = prompt_node();
        for end in [Connect::TimedOut; 3].iter().chain(to_targets) {
            connect(&mut delay, *end, now);
        }
        if let Some(to_peer) = to_peer {
            delay.record_peer(to_peer, now);
        }
        assert_eq!(delay.witness(now, now), expected, "{to_targets:?}, {to_peer:?}");
    }
}

#[test]
fn connections_that_always_take_long_are_no_delay() {
    let mut delay = LocalDelay::default();
    let mut now = Time::ZERO + ms(1000);
    for _ in 0..100 {
        now = now + ms(10);
        connect(&mut delay, Connect::Completed(ms(80)), now);
        assert!(!delay.is_late(now));
    }
}

#[test]
fn a_change_is_told_once() {
    let (mut delay, now) = prompt_node();
    assert_eq!(delay.take_change(now), None);
    for _ in 0..3 {
        connect(&mut delay, Connect::Completed(ms(80)), now);
    }
    assert_eq!(delay.take_change(now), Some(true));
    assert_eq!(delay.take_change(now), None);
    assert_eq!(delay.take_change(now + ms(150)), Some(false));
}
