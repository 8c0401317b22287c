//! The operating system detects dead connections of the client.
//!
//! Loopback loses no packets, so the test reads from the kernel's socket table that the keep-alive
//! timer of a connection waiting for a response is running.

#![cfg(target_os = "linux")]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use util::http::{Client, KEEPALIVE_INTERVAL, KEEPALIVE_RETRIES, TCP_USER_TIMEOUT};

/// Columns of the peer's address and of the timer in the kernel's table.
const PEER: usize = 2;
const TIMER: usize = 5;
/// Prefix of a keep-alive timer; the time until it expires follows, in hundredths of a second.
const KEEPALIVE: &str = "02:";

/// Whether a connection to `peer` is due to be probed within [`KEEPALIVE_INTERVAL`].
fn is_probed(peer: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/self/net/tcp").expect("Linux lists its sockets");
    let port = format!(":{:04X}", peer.port());
    table.lines().any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_to_peer = columns.get(PEER).is_some_and(|c| c.ends_with(&port));
        let timer = columns.get(TIMER).and_then(|c| c.strip_prefix(KEEPALIVE));
        let due = timer.and_then(|t| u128::from_str_radix(t, 16).ok());
        is_to_peer && due.is_some_and(|due| due * 10 <= KEEPALIVE_INTERVAL.as_millis())
    })
}

#[test]
fn the_user_timeout_ends_a_connection_at_the_last_probe() {
    let last_probe = KEEPALIVE_INTERVAL * (KEEPALIVE_RETRIES + 1);
    assert!(TCP_USER_TIMEOUT > KEEPALIVE_INTERVAL, "it would end idle connections unprobed");
    assert!(TCP_USER_TIMEOUT < last_probe, "it would take one more probe");
}

#[tokio::test]
async fn connection_waiting_for_a_response_is_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has ports");
    let peer = listener.local_addr().expect("bound");
    let client = Client::new(Duration::from_secs(5));
    let call = tokio::spawn(async move {
        let never = Duration::from_secs(60);
        client.text(&peer.to_string(), "/", never).await
    });
    let _silent = listener.accept().await.expect("the client connects");
    let mut checks = 0;
    while !is_probed(peer) {
        checks += 1;
        assert!(checks < 1000, "no keep-alive on the connection to {peer}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    call.abort();
}
