//! Large answers: waited for as long as they come, and no longer.

use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use util::http::{CallKind, Client, Timeouts};

const MS: Duration = Duration::from_millis(1);
const PART: usize = 1000;

/// A peer that sends parts of an answer of ten with pauses, after one before its head; the rest
/// never comes.
async fn peer(before: Duration, pause: Duration, parts: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a caller");
        let mut head = [0; 1024];
        let _ = socket.read(&mut head).await;
        sleep(before).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 10 * PART);
        socket.write_all(head.as_bytes()).await.expect("it listens");
        for _ in 0..parts {
            sleep(pause).await;
            socket.write_all(&[7; PART]).await.expect("it listens");
        }
        std::future::pending::<()>().await;
    });
    address.to_string()
}

/// What comes of an answer, and after how long.
async fn asked(before: Duration, pause: Duration, parts: usize) -> (Option<CallKind>, Duration) {
    let peer = peer(before, pause, parts).await;
    let timeouts = Timeouts { head: 300 * MS, idle: 300 * MS, total: 2000 * MS };
    let begun = Instant::now();
    let client = Client::new(1000 * MS);
    let request = Request::get(format!("http://{peer}/list")).body(Full::default());
    let answer = client.send_streamed(&peer, request.expect("a request"), timeouts).await;
    if let Ok(answer) = &answer {
        assert_eq!(answer.body().len(), 10 * PART);
    }
    (answer.err().map(|e| e.kind), begun.elapsed())
}

#[tokio::test]
async fn an_answer_is_waited_for_as_long_as_parts_of_it_come() {
    let (failed, took) = asked(Duration::ZERO, 60 * MS, 10).await;
    assert_eq!(failed, None, "600 ms are more than any one wait");
    assert!(took >= 600 * MS, "{took:?}");
}

#[tokio::test]
async fn an_answer_that_falls_silent_or_takes_too_long_is_given_up() {
    for (before, pause, parts, least) in [
        (1500 * MS, Duration::ZERO, 10, 300 * MS),
        (Duration::ZERO, 10 * MS, 5, 350 * MS),
        (Duration::ZERO, 250 * MS, 10, 2000 * MS),
    ] {
        let (failed, took) = asked(before, pause, parts).await;
        assert_eq!(failed, Some(CallKind::Timeout));
        assert!(took >= least && took < least + 1000 * MS, "{took:?} where {least:?} are allowed");
    }
}
