//! Detection of a node's lost links.

use std::time::Duration;

use decide::links::{Contact, LinkState, Links};
use model::Time;

const MS: Duration = Duration::from_millis(1);

fn at(ms: u64) -> Time {
    Time::ZERO + MS * ms as u32
}

/// Links at which these targets have failed at 1 s, after an answer at 0.9 s.
fn failing(targets: &[&str]) -> Links {
    let mut links = Links::default();
    links.record_answer(at(880), at(900));
    for target in targets {
        links.record_failure(&(*target).into(), at(1000));
    }
    links
}

/// Ends a round of probes that begins at once.
fn probe(links: &mut Links, contacts: &[Contact], now: Time) -> bool {
    assert!(links.begin_round(|_| 0, now), "a round is due");
    links.end_round(contacts, now, now + MS)
}

#[test]
fn one_failing_target_is_no_cause_to_probe() {
    for (targets, expected) in [(&["t-1"][..], false), (&["t-1", "t-1"], false)] {
        assert_eq!(failing(targets).begin_round(|_| 0, at(1001)), expected, "{targets:?}");
    }
    assert!(failing(&["t-1", "t-2"]).begin_round(|_| 0, at(1001)));
}

#[test]
fn probes_tell_failing_targets_from_lost_links() {
    use Contact::{Answered, Silent, Unreachable};
    let cases = [
        (&[Unreachable, Unreachable, Unreachable][..], LinkState::Lost),
        (&[Unreachable, Answered, Unreachable], LinkState::Up),
        // Answers came 0.1 s ago: the targets may only pause.
        (&[Silent, Unreachable, Silent], LinkState::Up),
        (&[], LinkState::Up),
    ];
    for (contacts, expected) in cases {
        let mut links = failing(&["t-1", "t-2"]);
        probe(&mut links, contacts, at(1001));
        assert_eq!(links.state(), expected, "{contacts:?}");
    }
}

#[test]
fn silence_counts_only_once_no_target_has_answered_for_long() {
    let mut links = failing(&[]);
    assert!(!links.begin_round(|_| 3, at(2300)), "1.4 s after the last answer");
    assert!(!links.begin_round(|_| 1, at(2500)), "a single silent target");
    assert!(links.begin_round(|_| 3, at(2500)));
    assert!(links.end_round(&[Contact::Silent; 3], at(2500), at(2750)));
    assert!(links.is_lost());
}

#[test]
fn answers_over_connections_older_than_the_loss_prove_nothing() {
    let mut links = failing(&["t-1", "t-2"]);
    links.record_answer(at(990), at(1050));
    assert!(links.is_suspect(), "the connection was opened before the first failure");
    links.record_answer(at(1010), at(1060));
    assert!(!links.is_suspect());
}

#[test]
fn requests_return_to_the_links_by_a_growing_share() {
    let mut links = failing(&["t-1", "t-2"]);
    probe(&mut links, &[Contact::Unreachable; 3], at(1001));
    assert_eq!(links.share(at(1100)), 0.0);
    assert!(!links.begin_round(|_| 0, at(1100)), "rounds are limited in rate");
    probe(&mut links, &[Contact::Unreachable, Contact::Answered], at(2000));
    let shares = [2002, 2300, 2700, 3400].map(|ms| links.share(at(ms)));
    assert!(shares[0] < 0.1 && shares.is_sorted() && shares[2] < 0.6, "{shares:?}");
    assert!(!links.end_return(at(3000)));
    assert!(links.end_return(at(3600)));
    assert_eq!(links.state(), LinkState::Up);
    assert!(links.was_lost_since(at(900)) && !links.was_lost_since(at(1900)));
}
