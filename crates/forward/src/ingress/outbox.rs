//! The answers that one connection of this node's servers owes the other side.
//!
//! The HTTP library drops the body of a response once it has buffered it, and flushes the socket
//! when its buffer is empty. So an answer has left when the socket is flushed after the body was
//! dropped.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::linger;
use super::socket::ServerSocket;
use crate::events::Event;
use crate::node::Node;
use crate::work::{OpenWork, WorkStage};

/// How far a response has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It has not begun.
    Awaited,
    /// The library takes its body.
    Begun,
    /// The library has buffered it to its end.
    Buffered,
}

/// A request or message that was read.
pub struct Pending {
    work: Rc<OpenWork>,
    progress: Cell<Progress>,
}

impl Pending {
    /// Takes note of the end of the response.
    pub fn respond<B>(self: Rc<Self>, response: Response<B>) -> Response<TrackedBody<B>> {
        match self.work.stage() {
            WorkStage::Waiting => self.work.enter(WorkStage::Message),
            WorkStage::Receiving => self.work.enter(WorkStage::Sending),
            _ => {}
        }
        self.progress.set(Progress::Begun);
        response.map(|body| TrackedBody { body, pending: self })
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
        let pending = Rc::new(Pending { work, progress: Cell::new(Progress::Awaited) });
        self.pending.borrow_mut().push(pending.clone());
        pending
    }

    fn flushed(&self) {
        self.pending.borrow_mut().retain(|p| p.progress.get() != Progress::Buffered);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether an answer is complete but has not left.
    fn is_flushing(&self) -> bool {
        self.pending.borrow().iter().any(|p| p.progress.get() == Progress::Buffered)
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

/// Body whose drop ends the response.
pub struct TrackedBody<B> {
    body: B,
    pending: Rc<Pending>,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.pending.progress.set(Progress::Buffered);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
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
