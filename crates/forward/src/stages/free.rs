//! Frees results at their makers, a few at a time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header};
use model::forward::{Handle, TargetId};

use crate::node::Node;
use crate::upstream;

/// Time during which results of one maker are gathered into one call.
const GATHER: Duration = Duration::from_millis(40);
/// Time for the call; a result that is not freed runs out by itself.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Results to be freed, by maker.
#[derive(Default)]
pub struct Freer(RefCell<BTreeMap<TargetId, Vec<Handle>>>);

impl Freer {
    /// Frees results soon.
    pub fn push(&self, node: &Rc<Node>, handles: Vec<Handle>) {
        for handle in handles {
            let maker = handle.maker.clone();
            let mut waiting = self.0.borrow_mut();
            let first = !waiting.contains_key(&maker);
            waiting.entry(maker.clone()).or_default().push(handle);
            if first {
                tokio::task::spawn_local(flush(node.clone(), maker));
            }
        }
    }

    fn take(&self, maker: &TargetId) -> Vec<Handle> {
        self.0.borrow_mut().remove(maker).unwrap_or_default()
    }
}

async fn flush(node: Rc<Node>, maker: TargetId) {
    tokio::time::sleep(GATHER).await;
    let handles = node.pools.freer.take(&maker);
    let Some(address) = node.fleet(|f| f.get(&maker).map(|b| b.target.address)) else {
        return;
    };
    let post = node.dialect.stage_free(&handles);
    let mut request = Request::post(post.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, post.media)
        .body(Full::new(Bytes::from(post.body)))
        .expect("path and media type are valid");
    request.headers_mut().extend(node.dialect.meant_for(&maker));
    // What is not freed runs out at its maker by itself.
    let _ = tokio::time::timeout(TIMEOUT, upstream::send(address, request)).await;
}
