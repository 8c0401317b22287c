//! HTTP interface for other entry nodes.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use model::claim::ClaimRequest;
use model::view::{LendRequest, path};
use util::http::{Body, Handler, read_rmp, rmp, text};

use crate::node::Core;
use crate::rates;

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Time limit for a forwarded claim; the sender then commits it itself.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);

/// Serves other entry nodes.
pub struct PeerHandler(pub Arc<Core>);

impl Handler for PeerHandler {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let core = &self.0;
        let now = core.clock.now();
        match request.uri().path() {
            path::CLAIM => {
                let Some(request) = read_rmp::<ClaimRequest>(request, MAX_MESSAGE_BYTES).await
                else {
                    return text(StatusCode::BAD_REQUEST, "not a claim");
                };
                rmp(&core.claims.commit(request, now + CLAIM_TIMEOUT).await)
            }
            path::LEND => {
                let Some(request) = read_rmp::<LendRequest>(request, MAX_MESSAGE_BYTES).await
                else {
                    return text(StatusCode::BAD_REQUEST, "not a lend request");
                };
                let nodes = core.members.load().len();
                match rates::rate_limit(core, &request.workspace, &request.pipeline) {
                    Some(rate) => rmp(&core.rates.lend(now, &request, rate, nodes)),
                    None => text(StatusCode::NOT_FOUND, "no such limit"),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
