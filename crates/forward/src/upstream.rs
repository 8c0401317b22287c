//! Sends one request to one target over a new connection.
//!
//! With a new connection, a failure to connect proves that nothing was sent, and no byte of an
//! earlier answer can be mistaken for this one.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use decide::delay::Connect;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use model::Time;
use model::forward::Target;
use model::member::Node as PeerNode;
use nix::sys::socket::{setsockopt, sockopt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use util::http::{BoundedIo, Excess, Inflow};

use crate::crossed::{Metered, RegionTraffic};
use crate::delivery::{Delivery, TrackedIo};
use crate::liveness::WatchedStream;
use crate::node::Node;
use crate::work::OpenWork;

/// Timeout of a connection attempt; a target that is up accepts within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of the head of a target's answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why no answer head was received.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SendError {
    /// could not connect to {0}: {1}
    Connect(SocketAddr, io::Error),
    /// {0} took no connection in time
    ConnectTimeout(SocketAddr),
    /// connection to {0} broke: {1}
    ConnectionLost(SocketAddr, hyper::Error),
    /// {0} sent {1}
    Flooded(SocketAddr, Excess),
}

impl SendError {
    /// Whether the target refused the connection, so that no process listens there. Other connect
    /// errors may also stem from this host, which has used up its descriptors, or from the network.
    pub fn is_refused(&self) -> bool {
        let SendError::Connect(_, e) = self else {
            return false;
        };
        e.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// Connection that carries one request; aborted when dropped.
pub struct Connection {
    task: AbortHandle,
    request: Rc<Delivery>,
}

impl Connection {
    /// Waits until the request has left or the connection has ended; returns whether it has left. A
    /// target may answer before it has read a long body.
    pub async fn wait_sent(&self) -> bool {
        self.request.wait().await
    }

    /// Sends the rest of the request, until `deadline`; `work` stays open meanwhile.
    pub fn finish(self, node: &Rc<Node>, work: &Rc<OpenWork>, deadline: Time) {
        if self.request.is_sent() {
            return;
        }
        let (node, work) = (node.clone(), work.clone());
        tokio::task::spawn_local(async move {
            node.clock.timeout_at(deadline, self.wait_sent()).await;
            drop(work);
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why the body of an answer was not received to its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AnswerError {
    /// {0}
    Broken(hyper::Error),
    /// {0}
    Flooded(Excess),
}

/// Body of an answer, as it arrives.
pub struct AnswerBody {
    body: Incoming,
    inflow: Inflow,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.inflow.data_received(frame.data_ref().map_or(0, Bytes::len));
        }
        let excess = self.inflow.excess();
        let error = |e| excess.map_or(AnswerError::Broken(e), AnswerError::Flooded);
        Poll::Ready(frame.map(|f| f.map_err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A target's answer; dropping it ends its connection.
pub struct Answer {
    /// Head, and body as it arrives.
    pub response: Response<AnswerBody>,
    /// Keeps the connection open.
    pub connection: Connection,
}

/// Connects to a target, from the address in `bind` if the host has several.
pub async fn connect_target(node: &Node, target: &Target) -> Result<WatchedStream, SendError> {
    let attempt = node.begin_connect(&target.domain);
    let (result, end) = connect(node, node.settings().bind, target.address).await;
    attempt.end(end);
    result
}

/// Connects to a peer, from any address of this host.
pub async fn connect_peer(node: &Node, peer: &PeerNode) -> Result<WatchedStream, SendError> {
    let (result, end) = connect(node, None, peer.entry).await;
    if let Some(end) = end {
        node.record_peer_connect(&peer.domain, end);
    }
    result
}

/// Connects, and tells what the end says of this node's own delay, if anything.
async fn connect(
    node: &Node,
    from: Option<IpAddr>,
    address: SocketAddr,
) -> (Result<WatchedStream, SendError>, Option<Connect>) {
    let begun = node.now();
    let timeout = node.stretched(CONNECT_TIMEOUT);
    let ended = tokio::time::timeout(timeout, connect_from(from, address)).await;
    let completed = Some(Connect::Completed(node.now().since(begun)));
    match ended {
        Ok(Ok(socket)) => (Ok(WatchedStream::new(socket, node.clock)), completed),
        Ok(Err(e)) => {
            let e = SendError::Connect(address, e);
            let end = completed.filter(|_| e.is_refused());
            (Err(e), end)
        }
        Err(_) => (Err(SendError::ConnectTimeout(address)), Some(Connect::TimedOut)),
    }
}

async fn connect_from(from: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(from) = from else {
        return TcpStream::connect(address).await;
    };
    let socket = if from.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Chooses the port at the connect, so that sockets to different targets can share it.
    setsockopt(&socket, sockopt::IpBindAddressNoPort, &true)?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(address).await
}

/// Sends a request over a new connection and returns when the answer's head has arrived. Dropping
/// the future closes the connection.
pub async fn send_over<B>(
    socket: WatchedStream,
    address: SocketAddr,
    request: Request<B>,
    traffic: Option<RegionTraffic>,
) -> Result<Answer, SendError>
where
    B: Body<Data = Bytes, Error = Infallible> + Unpin + 'static,
{
    let delivery = Delivery::new();
    let request = request.map(|body| delivery.track(body));
    let io = BoundedIo::new(Metered::new(socket, traffic));
    let inflow = io.inflow();
    let lost = |e| match inflow.excess() {
        Some(excess) => SendError::Flooded(address, excess),
        None => SendError::ConnectionLost(address, e),
    };
    let io = TrackedIo::new(io, delivery.clone());
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(io));
    let (mut sender, connection) = handshake.await.map_err(lost)?;
    let sending = delivery.clone();
    let task = tokio::task::spawn_local(async move {
        // Errors are reported by the sender or the body.
        let _ = connection.await;
        sending.closed();
    });
    let connection = Connection { task: task.abort_handle(), request: delivery };
    let response = sender.send_request(request).await.map_err(lost)?;
    inflow.head_received();
    let response = response.map(|body| AnswerBody { body, inflow });
    Ok(Answer { response, connection })
}
