//! Questions about links, and the spread of proxied requests over the peers, while no node of one
//! failure domain reaches a target.

use std::net::SocketAddr;
use std::time::Duration;

use decide::fleet::Regions;
use decide::links::LinkPeers;
use decide::region::Map;
use decide::rng::Rng;
use model::forward::{Allowed, LinkQuery, LinkStatus};
use model::member::{Node, NodeId};
use model::{Name, Time};

use super::{Figure, HEAD_BYTES, counted};

/// Number of failure domains; the nodes of the first reach no target.
const DOMAINS: usize = 5;
/// Interval between two rounds of questions of a node.
const ROUND: Duration = Duration::from_millis(250);
/// Requests per second that callers send to one node.
const REQUESTS_PER_S: f64 = 25.0;
/// Mean time that a request takes.
const REQUEST_TIME: Duration = Duration::from_millis(200);
/// Simulated rounds.
const ROUNDS: usize = 20;

/// All figures of a fleet with this many nodes.
pub fn measure(nodes: usize) -> Vec<Figure> {
    let peers: Vec<Node> = (0..nodes).map(node).collect();
    let cut: Vec<usize> = (0..nodes).step_by(DOMAINS).collect();
    let mut known: Vec<LinkPeers> = cut.iter().map(|_| LinkPeers::default()).collect();
    let (mut asked, mut sent) = (vec![0; nodes], vec![0; nodes]);
    let (domain, map) = (domain(0), Map::new(domain(0), Regions::default()));
    let mut rng = Rng::new(11);
    let mut open = vec![0.0; nodes];
    for round in 0..ROUNDS {
        let now = Time::ZERO + ROUND * round as u32;
        let mut sent_now = vec![0; nodes];
        for known in &mut known {
            for peer in known.to_ask(&peers, &domain, now, &mut rng) {
                let number = number(&peer);
                asked[number] += 1;
                let reaches = !number.is_multiple_of(DOMAINS);
                known.record(&peer, LinkStatus { reaches, open: open[number] as u32 }, now);
            }
            let requests = (REQUESTS_PER_S * ROUND.as_secs_f64()).round() as usize;
            for _ in 0..requests {
                let chosen = known.choose(&map, &domain, &Allowed::ANY, &[], now, &mut rng);
                sent_now[number(&chosen.expect("most peers reach the targets").node)] += 1;
            }
        }
        for n in 0..nodes {
            let per_s = f64::from(sent_now[n]) / ROUND.as_secs_f64() + REQUESTS_PER_S;
            open[n] = per_s * REQUEST_TIME.as_secs_f64();
            sent[n] += sent_now[n];
        }
    }
    let seconds = ROUND.as_secs_f64() * ROUNDS as f64;
    let busiest = asked.iter().copied().max().unwrap_or(0);
    let mean_sent = f64::from(sent.iter().sum::<u32>()) / (nodes - cut.len()) as f64;
    let most_sent = f64::from(sent.iter().copied().max().unwrap_or(0));
    vec![
        counted(
            "link questions of a node without links per second, by nodes",
            nodes,
            asked.iter().sum::<usize>() as f64 / cut.len() as f64 / seconds,
        ),
        counted(
            "bytes of link questions at the busiest peer per second, by nodes",
            nodes,
            (busiest * question_bytes()) as f64 / seconds,
        ),
        counted(
            "proxied requests at the busiest peer, relative to the mean, by nodes",
            nodes,
            most_sent / mean_sent,
        ),
    ]
}

fn question_bytes() -> usize {
    let query = LinkQuery { from: "node-1999".into() };
    let status = LinkStatus { reaches: true, open: 1000 };
    let query = rmp_serde::to_vec_named(&query).map_or(0, |bytes| bytes.len());
    HEAD_BYTES + query + rmp_serde::to_vec_named(&status).map_or(0, |bytes| bytes.len())
}

fn domain(number: usize) -> Name {
    format!("d{number}").into()
}

fn number(node: &Node) -> usize {
    node.id.name[5..].parse().expect("names end with a number")
}

fn node(number: usize) -> Node {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let id = NodeId { name: format!("node-{number}").into(), start: 1 };
    Node { id, address, entry: address, domain: domain(number % DOMAINS), capacity: 0 }
}
