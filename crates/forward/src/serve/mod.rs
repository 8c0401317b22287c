//! Serves one caller's request, from its head to its final response.

mod admit;
mod choice;
mod exchange;
mod proxy;
mod replace;
mod reply;
mod send;
mod stream;

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::node::Node;
use crate::work::OpenWork;

pub use proxy::handle_proxied;
pub use reply::Body;

/// Serves one request; during a stop its connection is closed after the response.
pub async fn handle_request(
    node: Rc<Node>,
    request: Request<Incoming>,
    work: Rc<OpenWork>,
) -> Response<Body> {
    let mut response = answer(&node, request, work, None).await;
    if node.is_stopping() {
        reply::set_connection_close(&mut response);
    }
    response
}

/// Final response to a request, which reached another node first if `proxied_after` names the time
/// since then.
async fn answer(
    node: &Rc<Node>,
    request: Request<Incoming>,
    work: Rc<OpenWork>,
    proxied_after: Option<Duration>,
) -> Response<Body> {
    let admitted = admit::admit(node, request, work, proxied_after).await;
    match admitted {
        // Apart, so that a request takes the memory of its run only from then on.
        Ok(exchange) => Box::pin(exchange.run()).await,
        Err(refusal) => refusal,
    }
}
