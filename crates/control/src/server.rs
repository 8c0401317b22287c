//! HTTP handler of a control node, for its entry node, peers and operators.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use kameo::actor::ActorRef;
use model::view::{ChunksRequest, DeltaRequest, Refusal, View, ViewRequest, path};
use serde_json::json;
use store::Reason;
use util::http::{Body, Handler, json as json_body, read_rmp, rmp, text};

use crate::config::{Config, GetChunks, GetDelta};
use crate::membership::Membership;
use crate::relay;
use crate::shared::Shared;

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Serves the entry node, peers and operators.
pub struct ControlHandler {
    pub shared: Arc<Shared>,
    pub config: ActorRef<Config>,
    pub membership: ActorRef<Membership>,
}

fn bad_request() -> Response<Body> {
    text(StatusCode::BAD_REQUEST, "not understood")
}

fn unavailable() -> Response<Body> {
    text(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

impl Handler for ControlHandler {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            path::VIEW => match read_rmp::<ViewRequest>(request, MAX_MESSAGE_BYTES).await {
                Some(query) => rmp(&self.view(query)),
                None => bad_request(),
            },
            path::DELTA => match read_rmp::<DeltaRequest>(request, MAX_MESSAGE_BYTES).await {
                Some(query) => match self.config.ask(GetDelta(query)).await {
                    Ok(reply) => rmp(&reply.0),
                    Err(_) => unavailable(),
                },
                None => bad_request(),
            },
            path::CHUNKS => match read_rmp::<ChunksRequest>(request, MAX_MESSAGE_BYTES).await {
                Some(query) => match self.config.ask(GetChunks(query)).await {
                    Ok(reply) => rmp(&reply.0),
                    Err(_) => unavailable(),
                },
                None => bad_request(),
            },
            path::REFUSED => match read_rmp::<Refusal>(request, MAX_MESSAGE_BYTES).await {
                Some(r) => {
                    relay::announce_leaving(&self.shared, &self.membership, &r.target).await;
                    rmp(&())
                }
                None => bad_request(),
            },
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/status" => self.status(),
            "/metrics" => text(StatusCode::OK, self.metrics()),
            _ => text(StatusCode::NOT_FOUND, "paths are /healthz, /status and /metrics"),
        }
    }
}

impl ControlHandler {
    fn view(&self, query: ViewRequest) -> View {
        let members = self.shared.members.load();
        let table = self.shared.load_table();
        View {
            number: self.shared.applied.load().number,
            members: members.nodes.clone(),
            changes: table.changes(),
            changed_targets: table.since(query.changes).cloned().collect(),
            leaving: self.shared.leaving.load().iter().cloned().collect(),
        }
    }

    fn status(&self) -> Response<Body> {
        let members = self.shared.members.load();
        let names: Vec<_> = members.nodes.iter().map(|n| n.id.name.clone()).collect();
        let (nodes, applied, lowest) = members.manifest_progress;
        let status = json!({
            "number": self.shared.applied.load().number,
            "nodes": nodes,
            "applied": applied,
            "lowest": lowest,
            "members": names,
            "relays": members.relays,
        });
        json_body(StatusCode::OK, &status)
    }

    /// Gauges and counters, few enough to format by hand.
    fn metrics(&self) -> String {
        let members = self.shared.members.load();
        let number = self.shared.applied.load().number;
        let mut out = String::new();
        let mut line = |name: &str, label: &str, value: u64| {
            out.push_str(&format!("pumicevale_control_{name}{label} {value}\n"));
        };
        line("manifest_number", "", number);
        line("members", "", members.nodes.len() as u64);
        line("relay", "", u64::from(self.shared.is_relay()));
        let counts = self.shared.store.counts();
        for r in Reason::ALL {
            let label = format!("{{reason=\"{}\"}}", r.as_str());
            line("store_calls_total", &label, counts.calls(r));
            line("store_calls_withheld_total", &label, counts.refused(r));
        }
        out.push_str("# EOF\n");
        out
    }
}
