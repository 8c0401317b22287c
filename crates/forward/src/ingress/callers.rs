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

/// Part of the descriptors that callers' connections may take.
const CALLERS_SHARE: f64 = 0.5;
/// Least room for a request's head.
const HEAD_LEAST: usize = 16 << 10;
/// Serves until a stop is well under way; from then on new connections are refused.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let most = (node.settings().descriptors as f64 * CALLERS_SHARE) as usize;
    let room = std::sync::Arc::new(Semaphore::new(most.max(1)));
    loop {
        // Beyond the most, callers wait to be accepted.
        let permit = room.clone().acquire_owned().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.wait_for_phase(LifePhase::Closing) => return,
        };
        let Ok((socket, _)) = accepted else {
            // Out of descriptors, most likely; let some close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        configure_socket(&socket);
        let node = node.clone();
        tokio::task::spawn_local(async move {
            connection(node, socket).await;
            drop(permit);
        });
    }
}

async fn connection(node: Rc<Node>, socket: TcpStream) {
    let limits = node.table().rules.limits.clone();
    // The timer for a head also runs while a kept connection rests.
    let rest = Duration::from_millis(limits.idle_ms.max(limits.head_ms));
    let handler = node.clone();
    let service = service_fn(move |request| {
        let node = handler.clone();
        async move { Ok::<_, Infallible>(serve::answer(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(rest)
        .max_buf_size(HEAD_LEAST.max(limits.head_bytes) * 2)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let stopped = tokio::select! {
        _ = connection.as_mut() => false,
        () = node.wait_for_phase(LifePhase::Closing) => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        // A caller that breaks off ends its request; there is nobody to tell.
        let _ = connection.await;
    }
}
