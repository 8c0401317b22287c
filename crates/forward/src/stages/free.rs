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
use crate::crossed::{MessageKind, RegionTraffic};
use crate::heard;
use crate::node::Node;
use crate::peers::{self, FREE, FreeRequest};

/// Time during which results of one maker or coordinator are gathered into one call.
const GATHER: Duration = Duration::from_millis(10);
/// Time for the call; a result that is not freed runs out by itself.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer that is read.
const ANSWER_MAX: usize = 64 << 10;

/// Where results are freed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Place {
    Maker(TargetId, PoolId),
    Coordinator(SocketAddr, PoolId),
}

/// Results to be freed.
#[derive(Default)]
pub struct Freer(RefCell<HashMap<Place, Vec<Handle>>>);

impl Freer {
    /// Frees results of a pool at their makers soon.
    pub fn at_makers(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        for handle in handles {
            let place = Place::Maker(handle.maker.clone(), pool.clone());
            self.push(node, place, vec![handle]);
        }
    }

    /// Frees results through the coordinator of a pool at a peer soon.
    pub fn at_peer(&self, node: &Rc<Node>, peer: SocketAddr, pool: &PoolId, h: Vec<Handle>) {
        self.push(node, Place::Coordinator(peer, pool.clone()), h);
    }

    fn push(&self, node: &Rc<Node>, place: Place, handles: Vec<Handle>) {
        let mut waiting = self.0.borrow_mut();
        if !waiting.contains_key(&place) {
            tokio::task::spawn_local(flush(node.clone(), place.clone()));
        }
        waiting.entry(place).or_default().extend(handles);
    }

    fn take(&self, place: &Place) -> Vec<Handle> {
        self.0.borrow_mut().remove(place).unwrap_or_default()
    }
}

async fn flush(node: Rc<Node>, place: Place) {
    tokio::time::sleep(GATHER).await;
    let handles = node.pools.freer.take(&place);
    match place {
        Place::Maker(maker, pool) => {
            free_at_maker(&node, &maker, &handles).await;
            node.pools.freed(&node, &pool, handles);
        }
        Place::Coordinator(peer, pool) => {
            let message = FreeRequest { pool, handles };
            if peers::call::<_, ()>(&node, peer, FREE, &message, TIMEOUT).await.is_err() {
                node.pools.freer.at_makers(&node, &message.pool, message.handles);
            }
        }
    }
}

async fn free_at_maker(node: &Rc<Node>, maker: &TargetId, handles: &[Handle]) {
    // It wants nothing meanwhile, and what is not freed runs out there.
    while let Some(until) = node.fleet(|f| f.notices().backoff_until(maker, node.now())) {
        node.clock.sleep_until(until).await;
    }
    let Some(target) = node.fleet(|f| f.get(maker).map(|b| b.target.clone())) else {
        return;
    };
    let address = target.address;
    let post = node.dialect.stage_free(handles);
    let sent = post.body.len();
    let mut request = call::request(node, maker, address, post);
    let peer = address.to_string();
    let Ok(uri) = format!("http://{peer}{}", request.uri()).parse() else {
        return;
    };
    *request.uri_mut() = uri;
    // On a kept connection, unlike all else that goes to a target: nobody looks at the
    // answer, so a late one can do no harm, and a new connection would take a maker's time.
    let crossing = RegionTraffic::to_target(node, MessageKind::Free, maker);
    if let Some(crossing) = &crossing {
        crossing.sent(sent);
    }
    let freed = async {
        let Ok(answer) = node.client.send(&peer, request).await else {
            return;
        };
        let (head, body) = answer.into_parts();
        let said = node.dialect.read_answer(&head);
        if !said.misdirected {
            heard::record_notice(node, &target, said.notice);
        }
        // Read to its end, so that the connection can be used again.
        let read = Limited::new(body, ANSWER_MAX).collect().await;
        if let (Some(crossing), Ok(body)) = (&crossing, read) {
            crossing.received(body.to_bytes().len());
        }
    };
    // What is not freed runs out at its maker by itself.
    let _ = tokio::time::timeout(TIMEOUT, freed).await;
}
