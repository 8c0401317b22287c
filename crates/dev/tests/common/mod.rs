//! Test client and declarations, and the record of a run for the auditor.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use audit::{CallRecord, PipelineRules, Record, StepRun};
use bytes::Bytes;
use cli::declare::{self, Declaration};
use dev::{Options, Stack};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use model::answer::{Answer, ChunkEvent};
use model::claim::Claims;
use model::key::Key;
use model::outcome::{Outcome, RequestReport};
use serde_json::{Value, json};
use util::http::{Client, Lines};

/// Two targets per pool; every step of `minutes` is repeatable, `pay` of `order` is not.
pub const DECLARATIONS: &str = r#"
kind: Pool
name: encoders
spec:
  role: encoder
  cost: 1
  targets:
    - { name: enc-1, address: "127.0.0.1:1", domain: a, host: h1 }
    - { name: enc-2, address: "127.0.0.1:1", domain: b, host: h2 }
---
kind: Pool
name: retrievers
spec:
  role: retriever
  cost: 1
  targets:
    - { name: ret-1, address: "127.0.0.1:1", domain: a, host: h1 }
    - { name: ret-2, address: "127.0.0.1:1", domain: b, host: h2 }
---
kind: Pool
name: engines
spec:
  role: engine
  cost: 1
  fenced: true
  targets:
    - { name: eng-1, address: "127.0.0.1:1", domain: a, host: h3 }
    - { name: eng-2, address: "127.0.0.1:1", domain: b, host: h4 }
---
kind: Pool
name: payments
spec:
  role: plain
  cost: 1
  targets:
    - { name: pay-1, address: "127.0.0.1:1", domain: a, host: h5 }
    - { name: pay-2, address: "127.0.0.1:1", domain: b, host: h6 }
---
kind: Model
name: m
spec: { pool: engines, version: v1, replicas: 2 }
---
kind: Pipeline
name: minutes
spec:
  stages:
    - { name: encode, pool: encoders }
    - { name: retrieve, pool: retrievers }
    - { name: generate, pool: engines, model: m }
---
kind: Pipeline
name: order
spec:
  stages:
    - { name: look, pool: encoders }
    - { name: pay, pool: payments, repeatable: false }
---
kind: Workspace
name: w
spec: { deadline: 20000, grace: 20000 }
---
kind: Workspace
name: limited
spec:
  deadline: 20000
  limits: [{ pipeline: minutes, rate: 0.001 }]
"#;

/// Parsed and checked declarations.
pub fn declarations() -> Vec<Declaration> {
    let all = declare::parse(Path::new("test.yaml"), DECLARATIONS).expect("valid");
    declare::check(&all).expect("valid");
    all
}

/// A stack of two nodes in two failure domains, with the configuration in force.
pub async fn stack() -> Stack {
    stack_with(2.0).await
}

/// The same stack with engines that take `step` milliseconds per step.
pub async fn stack_with(step: f64) -> Stack {
    let options = Options::new(declarations(), &["a", "b"]).with_models(&["m@v1"]).with_step(step);
    let stack = Stack::start(options).await.expect("started");
    stack.apply().await.expect("applied");
    stack
}

/// A new idempotency key.
pub fn new_key() -> Key {
    Key::new(util::clock::unix_ms(), rand::random())
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct TestRequest {
    pub pipeline: &'static str,
    pub workspace: &'static str,
    pub key: Option<Key>,
    pub streamed: bool,
    pub call: u64,
    pub words: usize,
}

impl TestRequest {
    /// A summary request, answered as a stream or as a whole.
    pub fn minutes(call: u64, streamed: bool) -> Self {
        TestRequest { pipeline: "minutes", workspace: "w", key: None, streamed, call, words: 12 }
    }

    /// An order, whose payment must run at most once.
    pub fn order(call: u64, key: Key) -> Self {
        TestRequest {
            pipeline: "order",
            workspace: "w",
            key: Some(key),
            streamed: false,
            call,
            words: 6,
        }
    }

    fn input(&self) -> Value {
        let words: Vec<String> = (0..self.words).map(|i| format!("c{}w{i}", self.call)).collect();
        json!({ "instruction": "sum up", "text": words.join(" ") })
    }

    /// Text of a complete answer.
    pub fn expected_text(&self) -> String {
        let input = json!({ "request": self.input(), "results": {} });
        match self.pipeline {
            "minutes" => standin::text::generate(&input).concat(),
            _ => {
                let look = standin::text::encode(&input);
                let input = json!({ "request": self.input(), "results": { "look": look } });
                standin::text::plain("pay", &input)
            }
        }
    }

    fn request(&self, to: SocketAddr) -> Request<Full<Bytes>> {
        let mut b = Request::post(format!("http://{to}/v1/pipelines/{}", self.pipeline))
            .header("pumicevale-workspace", self.workspace);
        if let Some(k) = &self.key {
            b = b.header("idempotency-key", k.to_string());
        }
        if self.streamed {
            b = b.header("accept", "text/event-stream");
        }
        b.body(Full::new(Bytes::from(self.input().to_string()))).expect("a request")
    }

    /// Sends the request and records the answer.
    pub async fn send(&self, client: &Client, to: SocketAddr) -> CallRecord {
        let mut seen = CallRecord {
            call: self.call,
            request: None,
            key: self.key,
            outcomes: Vec::new(),
            disconnected: false,
            text: String::new(),
            expected_text: self.expected_text(),
        };
        let peer = to.to_string();
        match client.send(&peer, self.request(to)).await {
            Err(_) => seen.disconnected = true,
            Ok(response) => {
                let events = response
                    .headers()
                    .get("content-type")
                    .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
                if events {
                    read_events(&mut seen, &peer, response).await;
                } else {
                    read_whole(&mut seen, response).await;
                }
            }
        }
        seen
    }
}

async fn read_whole(seen: &mut CallRecord, response: Response<Incoming>) {
    let Ok(body) = response.into_body().collect().await else {
        seen.disconnected = true;
        return;
    };
    let bytes = body.to_bytes();
    if let Ok(answer) = serde_json::from_slice::<Answer>(&bytes) {
        seen.text = answer.text;
        record_report(seen, answer.end);
    } else if let Ok(last) = serde_json::from_slice::<RequestReport>(&bytes) {
        record_report(seen, last);
    } else {
        let problem: Value = serde_json::from_slice(&bytes).expect("JSON");
        assert_eq!(problem["outcome"], "not-run", "{problem}");
        seen.outcomes.push(Outcome::NotRun);
    }
}

async fn read_events(seen: &mut CallRecord, peer: &str, response: Response<Incoming>) {
    let mut lines = Lines::new(peer, response);
    let mut event = String::new();
    let mut next = 0;
    loop {
        let line = match lines.next().await {
            Ok(Some(line)) => String::from_utf8(line).expect("UTF-8"),
            Ok(None) => {
                seen.disconnected = seen.outcomes.is_empty();
                return;
            }
            Err(_) => {
                seen.disconnected = true;
                return;
            }
        };
        if let Some(name) = line.strip_prefix("event: ") {
            event = name.into();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if event == "chunk" {
            let chunk: ChunkEvent = serde_json::from_str(data).expect("a chunk");
            assert_eq!(chunk.seq, next, "chunks have no gaps");
            next += 1;
            seen.text.push_str(&chunk.text);
        } else {
            record_report(seen, serde_json::from_str(data).expect("a final report"));
        }
    }
}

fn record_report(seen: &mut CallRecord, last: RequestReport) {
    seen.request = Some(last.request);
    seen.outcomes.push(last.outcome);
}

/// Audit rules of a pipeline.
pub fn rules(pipeline: &str) -> PipelineRules {
    let steps: &[&str] = match pipeline {
        "minutes" => &["encode", "retrieve", "generate"],
        _ => &["look", "pay"],
    };
    PipelineRules {
        steps: steps.iter().map(|s| (*s).into()).collect(),
        single_run: ["pay".into()].into(),
    }
}

/// Record for the auditor of one pipeline's requests on an in-process stack.
pub fn record(stack: &Stack, pipeline: &str, calls: Vec<CallRecord>) -> Record {
    let step_runs = stack.targets.values().flat_map(|t| t.runs());
    let runs = step_runs
        .map(|r| StepRun {
            request: r.attempt.request,
            step: r.step,
            resumed: r.resumed,
            completed: r.done,
        })
        .collect();
    let claims = stack
        .api
        .dump("claim")
        .into_iter()
        .filter_map(|v| serde_json::from_value::<Claims>(v).ok())
        .collect();
    Record { calls, runs, claims, rules: rules(pipeline) }
}

/// HTTP client of a caller.
pub fn client() -> Client {
    Client::new(Duration::from_secs(2))
}

/// Polls `done` every 25 ms; panics after 30 seconds.
pub async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..1200 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("timed out waiting: {what}");
}
