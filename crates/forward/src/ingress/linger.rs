//! Close of a connection whose other side may still read and send.
//!
//! The kernel resets a connection that is closed with unread input, and drops what it still has to
//! send. So input is read and thrown away until the other side has everything that it is owed.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use super::outbox::Outbox;
use super::socket::ServerSocket;
use crate::node::Node;

/// Time without input after which nothing more is expected.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// Maximum time until the connection is closed.
const MAX_TIME: Duration = Duration::from_secs(30);
/// Size of the buffer for input.
const BUFFER_BYTES: usize = 4 << 10;

/// Ends the sending side, and closes the connection once the other side has acknowledged all that was
/// sent, and sends nothing more or must yield to others.
pub async fn close(node: &Node, mut socket: ServerSocket, outbox: &Outbox) {
    // A request that crosses the end of an idle connection is left unread, so that its caller knows.
    if socket.unacknowledged() == 0 || socket.stream.shutdown().await.is_err() {
        return;
    }
    let until = node.now() + MAX_TIME;
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut has_ended = outbox.has_ended();
    while node.now() < until {
        let mut has_input = false;
        if has_ended {
            tokio::time::sleep(QUIET_TIME).await;
        } else {
            match timeout(QUIET_TIME, socket.stream.read(&mut buffer)).await {
                Ok(Err(_)) => return,
                Ok(Ok(0)) => has_ended = true,
                Ok(Ok(_)) => has_input = true,
                Err(_) => {}
            }
        }
        if socket.unacknowledged() == 0 && (!has_input || outbox.is_told()) {
            return;
        }
    }
}
