//! Timeouts of large responses: the client waits as long as parts keep arriving, and no longer.

use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use util::http::{CallKind, Client, Timeouts};

const MS: Duration = Duration::from_millis(1);
const PART_BYTES: usize = 1000;

/// Starts a peer that sends the head after `before`, then `parts` of the ten announced parts, each
/// after `pause`. The rest is never sent.
async fn peer(before: Duration, pause: Duration, parts: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a caller");
        let mut head = [0; 1024];
        let _ = socket.read(&mut head).await;
        sleep(before).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 10 * PART_BYTES);
        socket.write_all(head.as_bytes()).await.expect("the client reads");
        for _ in 0..parts {
            sleep(pause).await;
            socket.write_all(&[7; PART_BYTES]).await.expect("the client reads");
        }
        std::future::pending::<()>().await;
    });
    address.to_string()
}

/// Requests a response; returns the failure, if any, and the elapsed time.
async fn fetch(
    before: Duration,
    pause: Duration,
    parts: usize,
    idle: Duration,
) -> (Option<CallKind>, Duration) {
    let peer = peer(before, pause, parts).await;
    let timeouts = Timeouts { head: 300 * MS, idle, total: 2000 * MS };
    let started = Instant::now();
    let client = Client::new(1000 * MS);
    let request = Request::get(format!("http://{peer}/list")).body(Full::default());
    let answer = client.send_streamed(&peer, request.expect("a request"), timeouts).await;
    if let Ok(answer) = &answer {
        assert_eq!(answer.body().len(), 10 * PART_BYTES);
    }
    (answer.err().map(|e| e.kind), started.elapsed())
}

#[tokio::test]
async fn client_waits_while_parts_of_the_response_arrive() {
    let (failed, took) = fetch(Duration::ZERO, 60 * MS, 10, 300 * MS).await;
    assert_eq!(failed, None, "600 ms in total exceed the head and idle timeouts");
    assert!(took >= 600 * MS, "{took:?}");
}

#[tokio::test]
async fn stalled_or_overlong_response_times_out() {
    for (before, pause, parts, idle, minimum) in [
        (1500 * MS, Duration::ZERO, 10, 300 * MS, 300 * MS),
        (Duration::ZERO, 10 * MS, 5, 300 * MS, 350 * MS),
        (Duration::ZERO, 250 * MS, 10, 1000 * MS, 2000 * MS),
    ] {
        let (failed, took) = fetch(before, pause, parts, idle).await;
        assert_eq!(failed, Some(CallKind::Timeout));
        assert!(
            took >= minimum && took < minimum + 1000 * MS,
            "{took:?} with a limit of {minimum:?}"
        );
    }
}
