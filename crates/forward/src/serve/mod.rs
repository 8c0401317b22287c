//! Serves one caller's request, from its head to its final response.

mod admit;
mod choice;
mod exchange;
mod proxy;
mod reply;
mod send;
mod stream;

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::node::Node;

pub use proxy::handle_proxied;
pub use reply::Body;

/// Serves one request; during a stop its connection is closed after the response.
pub async fn handle_request(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let stopping = node.clone();
    let mut response = match admit::admit(&node, request, None).await {
        Ok(exchange) => exchange.run().await,
        Err(refusal) => refusal,
    };
    if stopping.is_stopping() {
        reply::set_connection_close(&mut response);
    }
    response
}
