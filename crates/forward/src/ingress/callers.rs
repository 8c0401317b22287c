//! Accepts callers' connections.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::node::Node;
use crate::phase::LifePhase;
use crate::serve;
use crate::upstream::configure_socket;

/// Maximum fraction of the file descriptors for callers' connections.
const CONNECTIONS_SHARE: f64 = 0.5;
/// Minimum head size that the buffer allows for, even if the settings permit less.
const MIN_HEAD_BYTES: usize = 16 << 10;

/// Accepts connections until this node's closing phase; from then on new ones are refused.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let max_connections = (node.settings().descriptors as f64 * CONNECTIONS_SHARE) as usize;
    let slots = std::sync::Arc::new(Semaphore::new(max_connections.max(1)));
    loop {
        // At the maximum, callers wait to be accepted.
        let permit = slots.clone().acquire_owned().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.wait_for_phase(LifePhase::Closing) => return,
        };
        let Ok((socket, _)) = accepted else {
            // Most likely out of descriptors; wait until some are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        configure_socket(&socket);
        let node = node.clone();
        tokio::task::spawn_local(async move {
            serve_connection(node, socket).await;
            drop(permit);
        });
    }
}

async fn serve_connection(node: Rc<Node>, socket: TcpStream) {
    let limits = node.table().rules.limits.clone();
    // The timer for a head also runs while a keep-alive connection is idle.
    let idle_timeout = Duration::from_millis(limits.idle_ms.max(limits.head_ms));
    let handler = node.clone();
    let service = service_fn(move |request| {
        let node = handler.clone();
        async move { Ok::<_, Infallible>(serve::handle_request(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MIN_HEAD_BYTES.max(limits.head_bytes) * 2)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let is_closing = tokio::select! {
        _ = connection.as_mut() => false,
        () = node.wait_for_phase(LifePhase::Closing) => true,
    };
    if is_closing {
        connection.as_mut().graceful_shutdown();
        // An error means that the caller closed the connection, which ends its request.
        let _ = connection.await;
    }
}
