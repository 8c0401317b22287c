//! Copies of the origins of resumable streams, and questions for one of them.

use std::time::Duration;

use decide::fleet::Regions;
use decide::roster::{PeerView, Roster};
use decide::streams::MESSAGE_INTERVAL;
use model::forward::{StreamKey, StreamOrigin, StreamRecords};
use model::member::{Node, NodeId};
use model::{Name, Time};

use super::{Figure, HEAD_BYTES, counted};

/// Failure domains, half of them in each of two regions.
const DOMAINS: usize = 6;
/// Resumable streams that begin at a node per second, a fifth of its requests.
const STREAMS_PER_S: f64 = 5.0;
/// Versions at which the streams of one message began.
const VERSIONS: u64 = 2;

/// All figures of a fleet with this many nodes.
pub fn measure(nodes: usize) -> Vec<Figure> {
    let roster = roster(nodes);
    let backups = roster.backups(|_| false).len();
    let asked = roster.possible_backups(|_| false).len();
    let per_message = (HEAD_BYTES + message_bytes()) as f64;
    let bytes = backups as f64 * per_message / MESSAGE_INTERVAL.as_secs_f64();
    vec![
        counted("bytes of stream records sent per node and second, by nodes", nodes, bytes),
        counted("peers asked for the origin of a stream, by nodes", nodes, asked as f64),
    ]
}

fn domain(n: usize) -> Name {
    format!("d-{}", n % DOMAINS).into()
}

fn roster(nodes: usize) -> Roster {
    let node = |n: usize| {
        let id = NodeId { name: format!("node-{n}").into(), start: 1 };
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        Node { id, address, entry: address, domain: domain(n), capacity: 0 }
    };
    let view = |n| {
        let up = Duration::from_secs(60);
        PeerView { node: node(n), suspect: false, up, at: Time::ZERO }
    };
    let mut roster = Roster::new(node(0).id.name, domain(0), 0);
    let region = |n: usize| format!("region-{}", n % 2).into();
    roster.set_regions(Regions::new((0..DOMAINS).map(|n| (domain(n), region(n))).collect()));
    roster.update((1..nodes).map(view).collect(), Time::ZERO);
    roster
}

fn message_bytes() -> usize {
    let per_message = (STREAMS_PER_S * MESSAGE_INTERVAL.as_secs_f64()).ceil() as u64;
    let records = |version: u64| StreamRecords {
        origin: StreamOrigin {
            service: "pumice-pool".into(),
            version: format!("v{version}").into(),
        },
        ttl_ms: 12_000,
        streams: (0..per_message.div_ceil(VERSIONS)).map(|n| StreamKey(u64::MAX - n)).collect(),
    };
    let message: Vec<StreamRecords> = (0..VERSIONS).map(records).collect();
    rmp_serde::to_vec_named(&message).map_or(0, |bytes| bytes.len())
}
