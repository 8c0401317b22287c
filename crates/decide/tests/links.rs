//! Detection of a node's lost links, and the choice of a peer in their place.

use std::time::Duration;

use decide::delay::Witness;
use decide::fleet::Regions;
use decide::links::{Contact, LinkPeers, LinkState, Links, MAX_ASKED, is_unproven};
use decide::region::Map;
use decide::rng::Rng;
use model::Time;
use model::forward::{Allowed, LinkStatus};
use model::member::{Node, NodeId};

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
    links.end_round(contacts, false, now + MS)
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
fn links_are_not_lost_while_the_host_itself_is_late() {
    let mut links = failing(&["t-1", "t-2"]);
    assert!(links.begin_round(|_| 0, at(1001)));
    assert!(!links.end_round(&[Contact::Unreachable; 3], true, at(1151)));
    assert_eq!(links.state(), LinkState::Up);
    assert!(links.is_suspect(), "the targets still fail");
}

#[test]
fn silence_counts_only_once_no_target_has_answered_for_long() {
    let mut links = failing(&[]);
    assert!(!links.begin_round(|_| 3, at(2300)), "1.4 s after the last answer");
    assert!(!links.begin_round(|_| 1, at(2500)), "a single silent target");
    assert!(links.begin_round(|_| 3, at(2500)));
    assert!(links.end_round(&[Contact::Silent; 3], false, at(2750)));
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

#[test]
fn a_loss_is_upheld_only_by_a_witness_or_for_a_peer_that_could_serve() {
    use Witness::{Late, Missing, Prompt};
    let cases = [
        // The witness, whether a peer could serve, and whether links that were up and those that
        // were lost count as lost after a round without answers.
        (Prompt, false, true, true),
        (Prompt, true, true, true),
        (Missing, false, false, false),
        (Missing, true, true, true),
        (Late, false, false, false),
        (Late, true, false, true),
    ];
    for (witness, has_peer, is_found, is_upheld) in cases {
        let mut links = failing(&["t-1", "t-2"]);
        for (expected, now) in [(is_found, 1001), (is_upheld, 2000)] {
            assert!(links.begin_round(|_| 0, at(now)));
            let unproven = is_unproven(witness, links.is_lost(), has_peer);
            links.end_round(&[Contact::Unreachable; 3], unproven, at(now + 150));
            assert_eq!(links.is_lost(), expected, "{witness:?}, {has_peer} at {now}");
            probe(&mut links, &[Contact::Unreachable; 3], at(now + 500));
        }
    }
}

#[test]
fn an_answer_to_a_request_ends_a_loss() {
    let mut links = failing(&["t-1", "t-2"]);
    probe(&mut links, &[Contact::Unreachable; 3], at(1001));
    assert!(!links.record_answer(at(990), at(1050)), "its connection outlives a partition");
    assert!(links.record_answer(at(1010), at(1060)));
    assert_eq!(links.state(), LinkState::Returning(at(1060)));
}

/// A peer of a failure domain.
fn peer(n: usize, domain: &str) -> Node {
    let address = format!("127.0.0.1:{}", 1000 + n).parse().expect("an address");
    let id = NodeId { name: format!("n-{n}").as_str().into(), start: 1 };
    Node { id, address, entry: address, domain: domain.into(), capacity: 0 }
}

fn map() -> Map {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    Map::new("a".into(), Regions::new(regions.map(|(d, r)| (d.into(), r.into())).into()))
}

/// The domain of the peer that most of many requests are sent through, given each peer's domain,
/// whether it reaches the targets, and its open requests.
fn most_used(peers: &[(&str, bool, u32)]) -> Option<String> {
    let mut rng = Rng::new(7);
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for _ in 0..200 {
        let mut known = LinkPeers::default();
        for (n, (domain, reaches, open)) in peers.iter().enumerate() {
            let status = LinkStatus { reaches: *reaches, open: *open };
            known.record(&peer(n, domain), status, at(0));
        }
        let chosen = known.choose(&map(), &"a".into(), &Allowed::ANY, &[], at(100), &mut rng);
        if let Some(chosen) = chosen {
            *counts.entry(chosen.node.domain.to_string()).or_default() += 1;
        }
    }
    counts.into_iter().max_by_key(|(_, n)| *n).map(|(domain, _)| domain)
}

#[test]
fn requests_go_through_the_nearest_peer_that_is_not_loaded() {
    let cases = [
        (&[("a", true, 2), ("b", true, 2), ("c", true, 2)][..], Some("a")),
        (&[("a", true, 9), ("b", true, 2), ("c", true, 2)], Some("b")),
        (&[("a", false, 0), ("b", false, 0), ("c", true, 2)], Some("c")),
        (&[("a", false, 0), ("b", false, 0), ("c", false, 0)], None),
    ];
    for (peers, expected) in cases {
        assert_eq!(most_used(peers).as_deref(), expected, "{peers:?}");
    }
}

#[test]
fn what_a_peer_said_is_used_for_a_moment_only() {
    let mut rng = Rng::new(1);
    let mut known = LinkPeers::default();
    known.record(&peer(1, "a"), LinkStatus { reaches: true, open: 0 }, at(0));
    assert!(known.has_candidate(at(1000)));
    assert!(!known.has_candidate(at(1300)));
    let mut choose = |tried: &[NodeId], now| {
        known.choose(&map(), &"a".into(), &Allowed::ANY, tried, now, &mut rng).is_some()
    };
    assert!(choose(&[], at(1000)));
    assert!(!choose(&[peer(1, "a").id], at(1000)), "it was tried");
    assert!(!choose(&[], at(1300)));
}

#[test]
fn the_load_spreads_over_peers_while_nothing_new_is_heard() {
    let mut rng = Rng::new(3);
    let mut known = LinkPeers::default();
    for n in 0..4 {
        known.record(&peer(n, "a"), LinkStatus { reaches: true, open: 5 }, at(0));
    }
    let mut counts = [0; 4];
    for _ in 0..400 {
        let chosen = known.choose(&map(), &"a".into(), &Allowed::ANY, &[], at(500), &mut rng);
        let name = chosen.expect("four candidates").node.id.name;
        counts[name[2..].parse::<usize>().expect("a number")] += 1;
    }
    assert!(counts.iter().all(|n| (80..=120).contains(n)), "{counts:?}");
}

#[test]
fn few_peers_are_asked_whatever_the_number_of_nodes() {
    let mut rng = Rng::new(5);
    for (local, remote, expected) in [(0, 0, 0), (3, 0, 3), (0, 3, 3), (1, 9, 4), (300, 1700, 4)] {
        let of_a = (0..local).map(|n| peer(n, "a"));
        let of_b = (0..remote).map(|n| peer(local + n, "b"));
        let peers: Vec<Node> = of_a.chain(of_b).collect();
        let asked = LinkPeers::default().to_ask(&peers, &"a".into(), at(0), &mut rng);
        assert_eq!(asked.len(), expected, "{local} and {remote}");
        assert!(asked.len() <= MAX_ASKED);
    }
}
