//! Bounds on what is read from a connection for an answer.
//!
//! The HTTP library bounds a head, a chunk's extension and trailers, but not interim answers nor the
//! digits of a chunk's size, and reads on for as long as bytes arrive.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// Bytes that a connection reads before other tasks have their turn.
const TURN_BYTES: u64 = 16 << 10;
/// Maximum number of bytes beside data: interim answers and a head, or the framing of a body. Data
/// that the library has read ahead counts too.
const MAX_OVERHEAD_BYTES: u64 = 256 << 10;
/// Further bytes of framing that are allowed for a byte of data: chunks of one byte need five.
const FRAMING_RATIO: u64 = 16;

/// Bytes that are no data and came without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Excess {
    /// too many bytes before the head of an answer
    Head,
    /// too many bytes of framing for the data of an answer
    Framing,
}

/// What was read of an answer. Its clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct Inflow(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    is_body: Cell<bool>,
    read: Cell<u64>,
    data: Cell<u64>,
}

impl Inflow {
    /// Records that a part of a request was written, to which an answer can now come.
    fn written(&self, done: &Poll<io::Result<usize>>) {
        if matches!(done, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.restart(false);
        }
    }

    /// Records that the head of the answer has arrived.
    pub fn head_received(&self) {
        self.restart(true);
    }

    fn restart(&self, is_body: bool) {
        self.0.is_body.set(is_body);
        self.0.read.set(0);
        self.0.data.set(0);
    }

    /// Records data of the body.
    pub fn data_received(&self, bytes: usize) {
        self.0.data.update(|data| data + bytes as u64);
    }

    /// Kind of the bytes of which too many came.
    pub fn excess(&self) -> Option<Excess> {
        let allowed =
            MAX_OVERHEAD_BYTES.saturating_add(self.0.data.get().saturating_mul(1 + FRAMING_RATIO));
        if self.0.read.get() <= allowed {
            return None;
        }
        Some(if self.0.is_body.get() { Excess::Framing } else { Excess::Head })
    }
}

/// A connection on which answers are read within bounds, a part at a time.
#[derive(Debug)]
pub struct BoundedIo<T> {
    io: Take<T>,
    inflow: Inflow,
}

impl<T: AsyncRead> BoundedIo<T> {
    /// Wraps a connection.
    pub fn new(io: T) -> Self {
        BoundedIo { io: io.take(TURN_BYTES), inflow: Inflow::default() }
    }

    /// Counts of the answer that is being read.
    pub fn inflow(&self) -> Inflow {
        self.inflow.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(excess) = self.inflow.excess() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, excess)));
        }
        if self.io.limit() == 0 {
            self.io.set_limit(TURN_BYTES);
            // Wakes the task only after the runtime has looked for other events.
            ready!(std::pin::pin!(tokio::task::yield_now()).poll(cx));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        let read = (buffer.filled().len() - before) as u64;
        self.inflow.0.read.update(|before| before + read);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for BoundedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(self.io.get_mut()).poll_write(cx, bytes);
        self.inflow.written(&done);
        done
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(self.io.get_mut()).poll_write_vectored(cx, parts);
        self.inflow.written(&done);
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.io.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_shutdown(cx)
    }
}
