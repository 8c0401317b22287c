//! Probes of targets over new connections.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use decide::links::Contact;
use futures_util::future::{join_all, select_ok};
use http_body_util::Full;
use hyper::{Request, header};
use model::Name;
use model::forward::Target;

use crate::node::Node;
use crate::upstream;

/// Targets probed per round.
const MAX_PROBES: usize = 3;
/// Time for a target to answer a probe; connecting has a timeout of its own.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes some targets, of different services if there are any, preferably not the failing ones.
pub(super) async fn contact_targets(node: &Node, failing: &BTreeSet<Name>) -> Vec<Contact> {
    let targets = choose(node, failing);
    join_all(targets.iter().map(|target| contact(node, target))).await
}

/// Whether any of some other targets accepts a connection; true if there is no other.
pub async fn reaches_others(node: &Node, target: &Target) -> bool {
    let mut targets = choose(node, &BTreeSet::from([target.id.name.clone()]));
    targets.retain(|t| t.id.name != target.id.name);
    if targets.is_empty() {
        return true;
    }
    let connects = targets.iter().map(|t| Box::pin(upstream::connect_target(node, t)));
    select_ok(connects).await.is_ok()
}

/// Connects to some peers until one accepts, to tell a delay of this node from lost links.
pub(super) async fn connect_any_peer(node: &Node) {
    let mut peers = node.peers.roster(|r| r.peers());
    node.rng(|rng| rng.shuffle(&mut peers));
    peers.truncate(MAX_PROBES);
    let connects = peers.iter().map(|p| Box::pin(upstream::connect_peer(node, p)));
    let connects: Vec<_> = connects.collect();
    if !connects.is_empty() {
        // Each outcome is recorded.
        let _ = select_ok(connects).await;
    }
}

fn choose(node: &Node, failing: &BTreeSet<Name>) -> Vec<Target> {
    let (domain, now) = (node.settings().domain.clone(), node.now());
    let map = node.peers.roster(|r| r.map());
    let probes =
        |rng: &mut _| node.fleet(|f| f.link_probes(failing, &domain, &map, MAX_PROBES, now, rng));
    node.rng(probes)
}

/// Probes one target: an answer of any kind shows that it can be reached.
async fn contact(node: &Node, target: &Target) -> Contact {
    let Ok(socket) = upstream::connect_target(node, target).await else {
        return Contact::Unreachable;
    };
    let request = health_request(node, target);
    let answer = upstream::send_over(socket, target.address, request, None);
    match tokio::time::timeout(node.stretched(ANSWER_TIMEOUT), answer).await {
        Ok(Ok(_)) => Contact::Answered,
        Ok(Err(_)) => Contact::Unreachable,
        Err(_) => Contact::Silent,
    }
}

fn health_request(node: &Node, target: &Target) -> Request<Full<Bytes>> {
    let mut request = Request::get(node.dialect.health_path())
        .header(header::HOST, target.address.to_string())
        .body(Full::default())
        .expect("the path is valid");
    request.headers_mut().extend(node.dialect.instance_headers(&target.id));
    request
}
