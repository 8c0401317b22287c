//! A call to a maker as an HTTP request.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header};
use model::forward::TargetId;

use crate::border::Post;
use crate::node::Node;

/// The request of a call that only this start of a maker may take.
pub fn request(
    node: &Node,
    maker: &TargetId,
    address: SocketAddr,
    post: Post,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(post.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, post.media)
        .body(Full::new(Bytes::from(post.body)))
        .expect("path and media type are valid");
    request.headers_mut().extend(node.dialect.meant_for(maker));
    request
}
