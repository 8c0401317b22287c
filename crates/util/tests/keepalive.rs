//! Connections of the client that fall silent are found out by the operating system.
//!
//! Loopback never loses a byte, so the test reads in the kernel's own table that a connection
//! which waits for an answer has its keep-alive timer running.

#![cfg(target_os = "linux")]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use util::http::{Client, KEEPALIVE_INTERVAL};

/// Column of the peer's address in the kernel's table, and that of its timer.
const PEER: usize = 2;
const TIMER: usize = 5;
/// Kind of the timer that probes a connection at rest; its time follows, in hundredths of a
/// second.
const KEEPALIVE: &str = "02:";

/// Whether the timer of a connection to `peer` probes it in time.
fn is_probed(peer: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/self/net/tcp").expect("Linux tells its sockets");
    let port = format!(":{:04X}", peer.port());
    table.lines().any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_to_peer = columns.get(PEER).is_some_and(|c| c.ends_with(&port));
        let timer = columns.get(TIMER).and_then(|c| c.strip_prefix(KEEPALIVE));
        let due = timer.and_then(|t| u128::from_str_radix(t, 16).ok());
        is_to_peer && due.is_some_and(|due| due * 10 <= KEEPALIVE_INTERVAL.as_millis())
    })
}

#[tokio::test]
async fn a_connection_that_waits_for_an_answer_is_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has ports");
    let peer = listener.local_addr().expect("bound");
    let client = Client::new(Duration::from_secs(5));
    let call = tokio::spawn(async move {
        let never = Duration::from_secs(60);
        client.text(&peer.to_string(), "/", never).await
    });
    let _silent = listener.accept().await.expect("the client connects");
    let mut looks = 0;
    while !is_probed(peer) {
        looks += 1;
        assert!(looks < 1000, "no keep-alive on the connection to {peer}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    call.abort();
}
