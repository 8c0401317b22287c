//! Frees results: through the coordinator that made them, which so knows what
//! room its makers have, or straight at their makers if it is gone.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use model::forward::{Handle, PoolId, TargetId};

use super::call;
use crate::crossed::{Crossing, Kind};
use crate::heard;
use crate::node::Node;
use crate::peers::{self, FREE, RemoteFree};

/// Time during which results of one maker or coordinator are gathered into one call.
const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Time for the call; a result that is not freed runs out by itself.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Where results are freed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Destination {
    Worker(TargetId, PoolId),
    Coordinator(SocketAddr, PoolId),
}

/// Results to be freed.
#[derive(Default)]
pub struct FreeQueue(RefCell<HashMap<Destination, Vec<Handle>>>);

impl FreeQueue {
    /// Frees results of a pool at their makers soon.
    pub fn free_at_workers(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        for handle in handles {
            let destination = Destination::Worker(handle.maker.clone(), pool.clone());
            self.push(node, destination, vec![handle]);
        }
    }

    /// Frees results through the coordinator of a pool at a peer soon.
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
            node.pools.note_freed(&node, &pool, handles);
        }
        Destination::Coordinator(peer, pool) => {
            let message = RemoteFree { pool, handles };
            if peers::ask::<_, ()>(&node, peer, FREE, &message, TIMEOUT).await.is_err() {
                node.pools.free_queue.free_at_workers(&node, &message.pool, message.handles);
            }
        }
    }
}

async fn free_at_worker(node: &Rc<Node>, worker: &TargetId, handles: &[Handle]) {
    // It wants nothing meanwhile, and what is not freed runs out there.
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
    // On a kept connection, unlike all else that goes to a target: nobody looks at the
    // answer, so a late one can do no harm, and a new connection would take a maker's time.
    let crossing = Crossing::to_target(node, Kind::Free, worker);
    if let Some(crossing) = &crossing {
        crossing.sent(sent);
    }
    let freed = async {
        let Ok(answer) = node.client.send(&peer, request).await else {
            return;
        };
        let (head, body) = answer.into_parts();
        let answer_head = node.dialect.answer(&head);
        if !answer_head.misdirected {
            heard::take_notice(node, &target, answer_head.notice);
        }
        // Read to its end, so that the connection can be used again.
        let read = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        if let (Some(crossing), Ok(body)) = (&crossing, read) {
            crossing.got(body.to_bytes().len());
        }
    };
    // What is not freed runs out at its maker by itself.
    let _ = tokio::time::timeout(TIMEOUT, freed).await;
}
