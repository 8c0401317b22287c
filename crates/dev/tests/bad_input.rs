//! Invalid input gets a 4xx that names the problem, reaches no target and affects no other request.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{TestRequest, client, new_key, stack};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use model::outcome::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    status: u16,
    expected: &'static str,
}

fn case(name: &'static str, status: u16, expected: &'static str) -> Case {
    Case {
        name,
        method: Method::POST,
        path: "/v1/pipelines/minutes",
        headers: vec![("pumicevale-workspace", "w".into())],
        body: b"{\"text\":\"x\"}".to_vec(),
        status,
        expected,
    }
}

fn with_header(mut c: Case, name: &'static str, value: &str) -> Case {
    c.headers.push((name, value.into()));
    c
}

fn cases() -> Vec<Case> {
    let old = model::key::Key::new(1_000, 1).to_string();
    let future = model::key::Key::new(util::clock::unix_ms() + 3_600_000, 1).to_string();
    let order = |c: Case| Case { path: "/v1/pipelines/order", ..c };
    vec![
        Case { body: b"{\"text\":".to_vec(), ..case("broken JSON", 400, "not JSON") },
        Case { body: b"[1]".to_vec(), ..case("no object", 400, "must be a JSON object") },
        Case { body: b"\xff\xfe".to_vec(), ..case("no UTF-8", 400, "not JSON") },
        Case { body: b"{\"text\":7}".to_vec(), ..case("wrong type", 400, "body.text") },
        Case { body: b"{\"tokens\":-1}".to_vec(), ..case("negative", 400, "body.tokens") },
        Case { body: vec![b' '; (1 << 20) + 1], ..case("too large", 413, "1048576 bytes") },
        Case { path: "/v1/pipelines/nope", ..case("unknown pipeline", 404, "no pipeline") },
        Case { path: "/v1/pipelines/A%20B", ..case("bad name", 400, "pipeline: a name uses") },
        Case { path: "/v1/pipelines/", ..case("no name", 400, "must not be empty") },
        Case { path: "/v2", ..case("unknown path", 404, "paths are") },
        Case { method: Method::GET, ..case("wrong method", 405, "POST") },
        Case { headers: vec![], ..case("no workspace", 400, "pumicevale-workspace is missing") },
        Case {
            headers: vec![("pumicevale-workspace", "other".into())],
            ..case("unknown workspace", 404, "no workspace")
        },
        with_header(case("two workspaces", 400, "more than once"), "pumicevale-workspace", "w"),
        with_header(case("negative deadline", 400, "above 0"), "pumicevale-deadline-ms", "-5"),
        with_header(case("zero deadline", 400, "above 0"), "pumicevale-deadline-ms", "0"),
        with_header(case("no deadline", 400, "above 0"), "pumicevale-deadline-ms", "soon"),
        with_header(
            case("priority", 400, "urgent, normal or patient"),
            "pumicevale-priority",
            "now",
        ),
        with_header(case("session", 400, "1 to 256"), "pumicevale-session", &"s".repeat(300)),
        with_header(case("key form", 400, "version 7"), "idempotency-key", "17"),
        with_header(
            case("key version", 400, "version 7"),
            "idempotency-key",
            "f47ac10b-58cc-4372-a567-0e02b2c3d479",
        ),
        order(case("no key", 400, "needs an Idempotency-Key")),
        order(with_header(case("old key", 400, "old-key"), "idempotency-key", &old)),
        order(with_header(case("key ahead", 400, "future-key"), "idempotency-key", &future)),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_get_a_descriptive_4xx_and_reach_no_target() {
    let stack = stack().await;
    let to = stack.callers()[0].to_string();
    let good = {
        let to = stack.callers()[0];
        tokio::spawn(async move { TestRequest::minutes(1, true).send(&client(), to).await })
    };
    let good = good.await.expect("sent");
    let ran: usize = stack.targets.values().map(|t| t.runs().len()).sum();
    for c in cases() {
        let mut b = Request::builder().method(c.method).uri(format!("http://{to}{}", c.path));
        for (name, value) in &c.headers {
            b = b.header(*name, value);
        }
        let request = b.body(Full::new(Bytes::from(c.body))).expect("a request");
        let response = client().send(&to, request).await.expect("an answer");
        assert_eq!(response.status().as_u16(), c.status, "{}", c.name);
        assert_eq!(response.headers()["pumicevale-outcome"], "not-run", "{}", c.name);
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        let text = String::from_utf8_lossy(&body);
        assert!(text.contains(c.expected), "{}: {text}", c.name);
    }
    let after: usize = stack.targets.values().map(|t| t.runs().len()).sum();
    assert_eq!(ran, after, "invalid input reached a target");
    assert_eq!(good.outcomes, vec![Outcome::Complete]);
    let next = TestRequest::order(2, new_key()).send(&client(), stack.callers()[0]).await;
    assert_eq!(next.outcomes, vec![Outcome::Complete]);
    stack.stop().await;
}

async fn send_raw(to: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut socket = TcpStream::connect(to).await.expect("connected");
    let _ = socket.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_heads_and_slow_senders_are_disconnected_without_affecting_others() {
    let stack = stack().await;
    let to = stack.callers()[0];
    let many: String = (0..100).map(|i| format!("h{i}: 1\r\n")).collect();
    let long = format!("x: {}\r\n", "a".repeat(40_000));
    let head = |extra: &str| {
        format!(
            "POST /v1/pipelines/minutes HTTP/1.1\r\nhost: x\r\n{extra}connection: close\r\n\r\n"
        )
    };
    for (name, bytes) in [
        ("many headers", head(&many)),
        ("long header", head(&long)),
        ("no HTTP", "\u{0}\u{1}\r\n\r\n".to_string()),
        ("two lengths", head("content-length: 1\r\ncontent-length: 2\r\n")),
        ("slow head", "POST /v1/pipelines/minutes HTTP/1.1\r\nhost: x\r\n".to_string()),
    ] {
        let answer = send_raw(to, bytes.as_bytes()).await;
        assert!(!answer.contains(" 200 "), "{name}: {answer}");
        let next = TestRequest::minutes(3, false).send(&client(), to).await;
        assert_eq!(next.outcomes, vec![Outcome::Complete], "after {name}");
    }
    let slow_body = "POST /v1/pipelines/minutes HTTP/1.1\r\nhost: x\r\n\
                     pumicevale-workspace: w\r\ncontent-length: 50\r\n\r\n{";
    let answer = send_raw(to, slow_body.as_bytes()).await;
    assert!(answer.contains(" 408 "), "{answer}");
    stack.stop().await;
}
