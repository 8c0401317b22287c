//! Frees results, through the coordinator that ordered them so that it knows how much room its
//! workers have, or directly at the workers if that coordinator does not answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use model::forward::{Handle, PoolId, TargetId};

use super::call;
use crate::crossed::{MessageKind, RegionTraffic};
use crate::heard;
use crate::node::Node;
use crate::peers::{self, FREE, FreeRequest};

/// Delay in which results for one worker or coordinator are batched into one request.
const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Timeout of a request. A result that is not freed expires at its worker.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Recipient of a request to free results.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Destination {
    Worker(TargetId, PoolId),
    Coordinator(SocketAddr, PoolId),
}

/// Results to free, batched by recipient.
#[derive(Default)]
pub struct FreeQueue(RefCell<HashMap<Destination, Vec<Handle>>>);

impl FreeQueue {
    /// Queues results of a pool to be freed at their workers.
    pub fn free_at_workers(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        for handle in handles {
            let destination = Destination::Worker(handle.maker.clone(), pool.clone());
            self.push(node, destination, vec![handle]);
        }
    }

    /// Queues results to be freed through the pool's coordinator on a peer.
    pub fn free_via_peer(&self, node: &Rc<Node>, peer: SocketAddr, pool: &PoolId, h: Vec<Handle>) {
        self.push(node, Destination::Coordinator(peer, pool.clone()), h);
    }

    fn push(&self, node: &Rc<Node>, destination: Destination, handles: Vec<Handle>) {
        let mut pending = self.0.borrow_mut();
        if !pending.contains_key(&destination) {
            tokio::task::spawn_local(flush(node.clone(), destination.clone()));
        }
        pending.entry(destination).or_default().extend(handles);
    }

    fn drain(&self, destination: &Destination) -> Vec<Handle> {
        self.0.borrow_mut().remove(destination).unwrap_or_default()
    }
}

async fn flush(node: Rc<Node>, destination: Destination) {
    tokio::time::sleep(FLUSH_DELAY).await;
    let handles = node.pools.free_queue.drain(&destination);
    match destination {
        Destination::Worker(worker, pool) => {
            free_at_worker(&node, &worker, &handles).await;
            node.pools.record_freed(&node, &pool, handles);
        }
        Destination::Coordinator(peer, pool) => {
            let message = FreeRequest { pool, handles };
            if peers::call::<_, ()>(&node, peer, FREE, &message, TIMEOUT).await.is_err() {
                node.pools.free_queue.free_at_workers(&node, &message.pool, message.handles);
            }
        }
    }
}

async fn free_at_worker(node: &Rc<Node>, worker: &TargetId, handles: &[Handle]) {
    // A worker that asked for backoff gets no requests; results expire there in the meantime.
    while let Some(until) = node.fleet(|f| f.notices().backoff_until(worker, node.now())) {
        node.clock.sleep_until(until).await;
    }
    let Some(target) = node.fleet(|f| f.get(worker).map(|b| b.target.clone())) else {
        return;
    };
    let address = target.address;
    let post = node.dialect.stage_free(handles);
    let sent = post.body.len();
    let mut request = call::request(node, worker, address, post);
    let peer = address.to_string();
    let Ok(uri) = format!("http://{peer}{}", request.uri()).parse() else {
        return;
    };
    *request.uri_mut() = uri;
    // Unlike all other requests to targets, this one uses a pooled connection: the answer's body is
    // ignored, so a late one is harmless, and a new connection would cost the worker time.
    let crossing = RegionTraffic::to_target(node, MessageKind::Free, worker);
    if let Some(crossing) = &crossing {
        crossing.sent(sent);
    }
    let freed = async {
        let Ok(answer) = node.client.send(&peer, request).await else {
            return;
        };
        let (head, body) = answer.into_parts();
        let answer_head = node.dialect.read_answer(&head);
        if !answer_head.misdirected {
            heard::record_notice(node, &target, answer_head.notice);
        }
        // Reads the body to its end so that the connection can be reused.
        let read = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        if let (Some(crossing), Ok(body)) = (&crossing, read) {
            crossing.received(body.to_bytes().len());
        }
    };
    // Results that are not freed expire at the worker.
    let _ = tokio::time::timeout(TIMEOUT, freed).await;
}
