//! Server for peers and for the balancer, whose connections are few, short, and accepted without a
//! limit.

use std::convert::Infallible;
use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::RETRY_DELAY;
use crate::upstream::configure_socket;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves requests with `handler` until the process ends.
pub async fn serve<H, F, B>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
{
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
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
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(socket), service);
            // A peer that disconnects sends its request again, or the failure detector notices it.
            let _ = connection.await;
        });
    }
}
