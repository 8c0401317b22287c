//! The control node's server: for its entry node, for peers, and for people.

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

/// Largest message.
const MESSAGE_MAX: usize = 1 << 20;

/// Answers entry node, peers and people.
pub struct Side {
    /// Shared.
    pub shared: Arc<Shared>,
    /// Configuration.
    pub config: ActorRef<Config>,
    /// Membership.
    pub membership: ActorRef<Membership>,
}

fn not_understood() -> Response<Body> {
    text(StatusCode::BAD_REQUEST, "not understood")
}

fn busy() -> Response<Body> {
    text(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

impl Handler for Side {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            path::VIEW => match read_rmp::<ViewRequest>(request, MESSAGE_MAX).await {
                Some(ask) => rmp(&self.view(ask)),
                None => not_understood(),
            },
            path::DELTA => match read_rmp::<DeltaRequest>(request, MESSAGE_MAX).await {
                Some(ask) => match self.config.ask(GetDelta(ask)).await {
                    Ok(reply) => rmp(&reply.0),
                    Err(_) => busy(),
                },
                None => not_understood(),
            },
            path::CHUNKS => match read_rmp::<ChunksRequest>(request, MESSAGE_MAX).await {
                Some(ask) => match self.config.ask(GetChunks(ask)).await {
                    Ok(reply) => rmp(&reply.0),
                    Err(_) => busy(),
                },
                None => not_understood(),
            },
            path::REFUSED => match read_rmp::<Refusal>(request, MESSAGE_MAX).await {
                Some(r) => {
                    relay::leave(&self.shared, &self.membership, &r.target).await;
                    rmp(&())
                }
                None => not_understood(),
            },
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/status" => self.status(),
            "/metrics" => text(StatusCode::OK, self.metrics()),
            _ => text(StatusCode::NOT_FOUND, "paths are /healthz, /status and /metrics"),
        }
    }
}

impl Side {
    fn view(&self, ask: ViewRequest) -> View {
        let members = self.shared.members.load();
        let board = self.shared.board();
        View {
            number: self.shared.accepted.load().number,
            members: members.nodes.clone(),
            changes: board.changes(),
            news: board.since(ask.changes).cloned().collect(),
            leaving: self.shared.leaving.load().iter().cloned().collect(),
        }
    }

    fn status(&self) -> Response<Body> {
        let members = self.shared.members.load();
        let names: Vec<_> = members.nodes.iter().map(|n| n.id.name.clone()).collect();
        let (nodes, applied, lowest) = members.in_force;
        let status = json!({
            "number": self.shared.accepted.load().number,
            "nodes": nodes,
            "applied": applied,
            "lowest": lowest,
            "members": names,
            "relays": members.relays,
        });
        json_body(StatusCode::OK, &status)
    }

    /// Plain gauges and counters; the node has few enough to write them out.
    fn metrics(&self) -> String {
        let members = self.shared.members.load();
        let number = self.shared.accepted.load().number;
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
