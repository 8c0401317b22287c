//! Serves connections of peers and of the balancer: few, short, and never held back.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use util::http::Body;

use crate::upstream::configure_socket;

/// Wait after a failed accept; most likely descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);
/// Rest after which a connection is closed.
const IDLE: Duration = Duration::from_secs(60);

/// Answers requests by `handler` until the process ends.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        configure_socket(&socket);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(socket), service);
            // Whoever goes away asks again, or is noticed by membership.
            let _ = connection.await;
        });
    }
}
