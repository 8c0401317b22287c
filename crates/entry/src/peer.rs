//! The interface for other entry nodes.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use model::claim::ClaimRequest;
use model::view::{LendRequest, path};
use util::http::{Body, Handler, read_rmp, rmp, text};

use crate::node::Core;
use crate::rates;

/// Largest message.
const MESSAGE_MAX: usize = 64 << 10;
/// How long a forwarded claim is worked on; the sender then commits by itself.
const CLAIM_WAIT: Duration = Duration::from_millis(1000);

/// Answers other entry nodes.
pub struct PeerSide(pub Arc<Core>);

impl Handler for PeerSide {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let core = &self.0;
        let now = core.clock.now();
        match request.uri().path() {
            path::CLAIM => {
                let Some(ask) = read_rmp::<ClaimRequest>(request, MESSAGE_MAX).await else {
                    return text(StatusCode::BAD_REQUEST, "not a claim");
                };
                rmp(&core.claims.commit(ask, now + CLAIM_WAIT).await)
            }
            path::LEND => {
                let Some(ask) = read_rmp::<LendRequest>(request, MESSAGE_MAX).await else {
                    return text(StatusCode::BAD_REQUEST, "not a lend request");
                };
                let nodes = core.members.load().len();
                match rates::limit_of(core, &ask.workspace, &ask.pipeline) {
                    Some(rate) => rmp(&core.rates.lend(now, &ask, rate, nodes)),
                    None => text(StatusCode::NOT_FOUND, "no such limit"),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
