//! Whether a message has left this node.
//!
//! The HTTP library drops the body of a message once it has buffered it, and flushes the socket when
//! its buffer is empty. So a message has left when the socket is flushed after its body was dropped.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// How far a message has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It has not begun, or the library takes its body.
    Open,
    /// All of it is in this node's memory, and the library takes its body part by part.
    Whole,
    /// The library has buffered it to its end.
    Buffered,
    /// It has left.
    Sent,
    /// The connection ended before.
    Lost,
}

/// Delivery of one message to the socket.
pub struct Delivery {
    progress: Cell<Progress>,
    ended: Notify,
}

impl Delivery {
    /// Delivery of a message that has not begun.
    pub fn new() -> Rc<Self> {
        Rc::new(Delivery { progress: Cell::new(Progress::Open), ended: Notify::new() })
    }

    /// Takes note of the end of a body.
    pub fn track<B>(self: &Rc<Self>, body: B) -> TrackedBody<B> {
        TrackedBody { body, delivery: self.clone() }
    }

    /// Records that all of the message is in this node's memory.
    pub fn set_whole(&self) {
        self.progress.set(Progress::Whole);
    }

    /// Whether the message is complete but has not left.
    pub fn is_flushing(&self) -> bool {
        matches!(self.progress.get(), Progress::Whole | Progress::Buffered)
    }

    /// Whether the message has left.
    pub fn is_sent(&self) -> bool {
        self.progress.get() == Progress::Sent
    }

    /// Records that the library's buffer is empty.
    pub fn flushed(&self) {
        if self.progress.get() == Progress::Buffered {
            self.end(Progress::Sent);
        }
    }

    /// Records that the connection has ended.
    pub fn closed(&self) {
        if !self.is_sent() {
            self.end(Progress::Lost);
        }
    }

    fn end(&self, progress: Progress) {
        self.progress.set(progress);
        self.ended.notify_waiters();
    }

    /// Waits until the message has left or the connection has ended; returns whether it has left.
    pub async fn wait(&self) -> bool {
        while !matches!(self.progress.get(), Progress::Sent | Progress::Lost) {
            self.ended.notified().await;
        }
        self.is_sent()
    }
}

/// Body whose drop ends the message.
pub struct TrackedBody<B> {
    body: B,
    delivery: Rc<Delivery>,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        if matches!(self.delivery.progress.get(), Progress::Open | Progress::Whole) {
            self.delivery.progress.set(Progress::Buffered);
        }
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

/// Connection that carries one message and tells its delivery when the buffer is empty.
pub struct TrackedIo<T> {
    io: T,
    delivery: Rc<Delivery>,
}

impl<T> TrackedIo<T> {
    /// Wraps a connection.
    pub fn new(io: T, delivery: Rc<Delivery>) -> Self {
        TrackedIo { io, delivery }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TrackedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TrackedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        if let Poll::Ready(Ok(())) = flushed {
            self.delivery.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
