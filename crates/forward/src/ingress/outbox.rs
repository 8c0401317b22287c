//! The answers that one connection of this node's servers owes the other side.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use hyper::Response;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::linger;
use super::socket::ServerSocket;
use crate::delivery::{Delivery, TrackedBody};
use crate::events::Event;
use crate::node::Node;
use crate::work::{OpenWork, WorkStage};

/// A request or message that was read.
pub struct Pending {
    work: Rc<OpenWork>,
    delivery: Rc<Delivery>,
}

impl Pending {
    /// Takes note of the end of the response.
    pub fn respond<B>(&self, response: Response<B>) -> Response<TrackedBody<B>> {
        match self.work.stage() {
            WorkStage::Waiting => self.work.enter(WorkStage::Message),
            WorkStage::Receiving => self.work.enter(WorkStage::Sending),
            _ => {}
        }
        response.map(|body| self.delivery.track(body))
    }
}

/// What a connection owes the other side.
#[derive(Default)]
pub struct Outbox {
    pending: RefCell<Vec<Rc<Pending>>>,
    /// Task that waits to read until the answers have left.
    reader: Cell<Option<Waker>>,
    /// Whether the other side has ended its sending side, or reset the connection.
    has_ended: Cell<bool>,
    /// The socket, once the library has dropped it.
    socket: Cell<Option<ServerSocket>>,
}

impl Outbox {
    /// Begins to owe an answer.
    pub fn begin(&self, work: Rc<OpenWork>) -> Rc<Pending> {
        let pending = Rc::new(Pending { work, delivery: Delivery::new() });
        self.pending.borrow_mut().push(pending.clone());
        pending
    }

    fn flushed(&self) {
        let mut pending = self.pending.borrow_mut();
        pending.iter().for_each(|p| p.delivery.flushed());
        pending.retain(|p| !p.delivery.is_sent());
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether an answer is complete but has not left.
    fn is_flushing(&self) -> bool {
        self.pending.borrow().iter().any(|p| p.delivery.is_flushing())
    }

    /// Ends the connection, which the library has dropped.
    pub async fn close(&self, node: &Node, error: Option<hyper::Error>) {
        self.log_end(node, error);
        if let Some(socket) = self.socket.take() {
            linger::close(node, socket, self.has_ended.get()).await;
        }
    }

    /// Logs the answers that are still owed at the end of the connection.
    fn log_end(&self, node: &Node, error: Option<hyper::Error>) {
        if error.as_ref().is_some_and(hyper::Error::is_user) {
            // The answer was broken off, which has a line of its own.
            return;
        }
        let why = error.map_or(String::new(), |e| e.to_string());
        for pending in self.pending.take() {
            let stage = pending.work.stage();
            if matches!(stage, WorkStage::Waiting | WorkStage::Running) {
                // The caller left, which has a line of its own.
                continue;
            }
            node.metrics.count_undelivered(stage.as_str());
            let id = pending.work.take_id();
            Event::Undelivered { id: &id, stage: stage.as_str(), why: &why }.emit();
        }
    }
}

/// Socket that notes when an answer has left. Until then it reads nothing, since the library would
/// take the end of the input for that of the connection.
pub struct TrackedSocket {
    /// Present until the drop.
    socket: Option<ServerSocket>,
    outbox: Rc<Outbox>,
}

impl TrackedSocket {
    /// Socket of the connection with this outbox.
    pub fn new(socket: ServerSocket, outbox: Rc<Outbox>) -> Self {
        TrackedSocket { socket: Some(socket), outbox }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.socket.as_mut().expect("present until the drop").stream)
    }
}

impl Drop for TrackedSocket {
    fn drop(&mut self) {
        self.outbox.socket.set(self.socket.take());
    }
}

impl AsyncRead for TrackedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.outbox.is_flushing() {
            self.outbox.reader.set(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = ready!(self.stream().poll_read(cx, buf));
        if read.is_err() || buf.filled().len() == before {
            self.outbox.has_ended.set(true);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for TrackedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.as_ref().is_some_and(|s| s.stream.is_write_vectored())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.stream().poll_flush(cx);
        if let Poll::Ready(Ok(())) = flushed {
            self.outbox.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
