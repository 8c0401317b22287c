//! Server for peers and for the balancer, whose connections are few, short, and accepted without a
//! limit.

use std::convert::Infallible;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::RETRY_DELAY;
use super::outbox::{Outbox, TrackedSocket};
use super::socket::ServerSocket;
use crate::node::Node;
use crate::work::{OpenWork, WorkStage};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves requests with `handler` until the process ends.
pub async fn serve<H, F, B>(node: Rc<Node>, listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>, Rc<OpenWork>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static,
{
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let socket = ServerSocket::new(&node, socket);
        tokio::task::spawn_local(serve_connection(node.clone(), socket, handler.clone()));
    }
}

async fn serve_connection<H, F, B>(node: Rc<Node>, socket: ServerSocket, handler: H)
where
    H: Fn(Request<Incoming>, Rc<OpenWork>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static,
{
    let outbox = Rc::new(Outbox::default());
    let (counting, owing) = (node.clone(), outbox.clone());
    let service = service_fn(move |request| {
        let work = OpenWork::new(&counting, WorkStage::Waiting);
        let pending = owing.begin(work.clone());
        // The library reserves the memory of this future for idle connections as well.
        let answer = Box::pin(handler(request, work));
        let node = counting.clone();
        async move {
            let response = answer.await;
            Ok::<_, Infallible>(pending.respond(node.now(), response))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(TrackedSocket::new(socket, outbox.clone())), service);
    // A peer that disconnects sends its request again, or the failure detector notices it.
    let end = outbox.run(&node, IDLE_TIMEOUT, connection).await;
    outbox.close(&node, end).await;
}
