//! Accepts callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::RETRY_DELAY;
use super::intake::AwaitingGuard;
use super::outbox::{Outbox, TrackedSocket};
use super::socket::ServerSocket;
use crate::capacity::Held;
use crate::node::Node;
use crate::phase::LifePhase;
use crate::serve;
use crate::work::{OpenWork, WorkStage};

/// Minimum head size that the buffer allows for, even if the settings permit less.
const MIN_HEAD_BYTES: usize = 16 << 10;

/// Time for which the first request of a connection counts as on its way.
const AWAITING_TIME: Duration = Duration::from_secs(1);

/// Accepts connections until this node's closing phase; from then on new ones are refused. So they
/// are while the node is full: their callers can go to another node at once.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    tokio::select! {
        () = accept_all(&node, listener) => {}
        () = node.wait_for_phase(LifePhase::Closing) => {}
    }
}

async fn accept_all(node: &Rc<Node>, first: TcpListener) {
    let mut listener = Some(first);
    let mut has_room = true;
    loop {
        let Some(open) = listener.take().or_else(|| listen_again(node)) else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        if has_room && node.intake.is_full(node) {
            for socket in accept_waiting(open) {
                if let Some(held) = node.capacity.try_connection() {
                    serve_socket(node, socket, held);
                }
            }
            has_room = node.intake.wait_for_room(node).await;
            continue;
        }
        let accepted = open.accept().await;
        listener = Some(open);
        has_room = true;
        match accepted {
            // Further callers wait to be accepted.
            Ok((socket, _)) => serve_socket(node, socket, node.capacity.connection().await),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Closes a listener; returns the connections that wait to be accepted, whose requests may be on the
/// way already.
fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let to_stream = |(socket, _): (std::net::TcpStream, SocketAddr)| {
        socket.set_nonblocking(true).ok()?;
        TcpStream::from_std(socket).ok()
    };
    accepted.filter_map(to_stream).collect()
}

fn serve_socket(node: &Rc<Node>, socket: TcpStream, held: Held) {
    let socket = ServerSocket::new(node, socket);
    tokio::task::spawn_local(serve_connection(node.clone(), socket, held));
}

fn listen_again(node: &Node) -> Option<TcpListener> {
    let listener = super::listen_for_callers(node.settings().callers);
    listener.inspect_err(|e| log::warn!("callers: {e:#}")).ok()
}

async fn serve_connection(node: Rc<Node>, socket: ServerSocket, held: Held) {
    let awaiting = Rc::new(Cell::new(Some(AwaitingGuard::new(&node))));
    let limits = node.table().rules.limits.clone();
    let outbox = Rc::new(Outbox::for_caller(held));
    let head_timeout = Duration::from_millis(limits.head_ms);
    // The library's timer for a head also runs while a connection is idle.
    let idle_timeout = Duration::from_millis(limits.idle_ms).max(head_timeout);
    let (handler, owing, first) = (node.clone(), outbox.clone(), awaiting.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let node = handler.clone();
        let work = OpenWork::new(&node, WorkStage::Receiving);
        if request.body().is_end_stream() {
            work.set_read();
        }
        let pending = owing.begin(work.clone());
        first.take();
        async move {
            // The library reserves the memory of this future for idle connections as well.
            let handling = Box::pin(serve::handle_request(node.clone(), request, work));
            let response = handling.await;
            Ok::<_, Infallible>(pending.respond(node.now(), response))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MIN_HEAD_BYTES.max(limits.head_bytes) * 2)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(TrackedSocket::new(socket, outbox.clone())), service);
    let mut connection = Box::pin(connection);
    let expire = async {
        tokio::time::sleep(AWAITING_TIME).await;
        drop(awaiting.take());
        std::future::pending().await
    };
    let serving = async {
        let ended = tokio::select! {
            end = connection.as_mut() => Some(end),
            end = expire => end,
            () = node.wait_for_phase(LifePhase::Closing) => None,
        };
        if let Some(end) = ended {
            return end;
        }
        connection.as_mut().graceful_shutdown();
        connection.as_mut().await
    };
    let end = outbox.run(&node, head_timeout, serving).await;
    drop(connection);
    // An error mostly means that the caller closed the connection, which ends its request.
    outbox.close(&node, end).await;
}
