//! Links of a node that had asked no target anything, while all targets pause.

use decide::links::{Contact, LinkState, Links};
use model::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Links whose last answer came long ago, since nothing was asked.
fn idle() -> Links {
    let mut links = Links::default();
    links.record_answer(at(1000), at(1000));
    links
}

/// Runs the rounds that are due within `ms`, all with this contact; returns when the links are lost.
fn lost_at(links: &mut Links, contact: Contact, from: u64, to: u64) -> Option<u64> {
    (from..to).step_by(250).find(|ms| {
        if links.begin_round(|_| 0, at(*ms)) {
            links.end_round(&[contact; 3], false, at(ms + 240));
        }
        links.is_lost()
    })
}

#[test]
fn pause_of_all_targets_does_not_lose_the_links_of_an_idle_node() {
    let mut asked = idle();
    assert!(asked.begin_check(at(9000)));
    asked.end_round(&[Contact::Silent; 3], false, at(9250));
    let mut failing = idle();
    ["t-1", "t-2"].iter().for_each(|t| failing.record_failure(&(*t).into(), at(9000)));
    for links in [&mut asked, &mut failing] {
        assert_eq!(lost_at(links, Contact::Silent, 9500, 10_250), None);
        assert_eq!(lost_at(links, Contact::Answered, 10_250, 11_000), None);
        assert_eq!(links.state(), LinkState::Up);
        assert!(!links.begin_round(|_| 0, at(12_000)), "an answer ends the doubt");
    }
}

#[test]
fn silence_of_all_targets_loses_the_links_of_a_node_asked_by_a_peer() {
    let mut links = idle();
    assert!(links.begin_check(at(9000)));
    links.end_round(&[Contact::Silent; 3], false, at(9250));
    let lost = lost_at(&mut links, Contact::Silent, 9500, 12_000);
    assert_eq!(lost, Some(10_500));
}

#[test]
fn question_of_a_peer_begins_no_rounds_without_targets() {
    let mut links = idle();
    assert!(links.begin_check(at(9000)));
    links.end_round(&[], false, at(9000));
    assert!(!links.begin_round(|_| 0, at(9500)));
}
