//! The answers that one connection of this node's servers owes the other side.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use decide::callers::Stage;
use hyper::Response;
use model::Time;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use super::linger;
use super::socket::ServerSocket;
use crate::capacity::Held;
use crate::delivery::{Delivery, TrackedBody};
use crate::events::Event;
use crate::liveness::WatchedStream;
use crate::node::Node;
use crate::work::{OpenWork, WorkStage};

/// Time after the caller's deadline in which it may still read, since its clock or this node may be
/// late.
const READ_GRACE: Duration = Duration::from_secs(1);
/// Time to read an answer to a request or message that names no deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory that the library takes for a byte of a head, since its buffer grows twofold.
const BUFFER_FACTOR: usize = 2;
/// Why an answer was not delivered to a reader that took too long.
const OVERDUE: &str = "not read in time";

/// A request or message that was read.
pub struct Pending {
    work: Rc<OpenWork>,
    delivery: Rc<Delivery>,
    outbox: Weak<Outbox>,
    /// Until when the answer must be read, once it has begun.
    read_by: Cell<Option<Time>>,
}

impl Pending {
    /// Takes note of the end of the response.
    pub fn respond<B>(&self, now: Time, response: Response<B>) -> Response<TrackedBody<B>> {
        let deadline = self.work.deadline().map(|at| at + READ_GRACE);
        self.read_by.set(Some(deadline.unwrap_or(now + READ_TIMEOUT)));
        if let Some(outbox) = self.outbox.upgrade() {
            outbox.begun.notify_one();
        }
        match self.work.stage() {
            WorkStage::Waiting => self.work.enter(WorkStage::Message),
            WorkStage::Receiving => self.work.enter(WorkStage::Sending),
            _ => {}
        }
        if self.work.is_answer_whole() {
            self.delivery.set_whole();
        }
        response.map(|body| self.delivery.track(body))
    }
}

/// How the library ended a connection.
type Served = Result<(), hyper::Error>;

/// End of a connection.
pub enum End {
    /// The library ended it, with an error if it failed.
    Closed(Option<hyper::Error>),
    /// An answer was not read in time.
    Overdue,
    /// It had no request, and others needed its room.
    Yielded,
    /// The head of a request did not end in time.
    LateHead,
}

/// What a connection owes the other side.
#[derive(Default)]
pub struct Outbox {
    pending: RefCell<Vec<Rc<Pending>>>,
    /// Task that waits to read until the answers have left.
    reader: Cell<Option<Waker>>,
    /// Notified when an answer begins.
    begun: Notify,
    /// Whether the other side has ended its sending side, or reset the connection.
    has_ended: Cell<bool>,
    /// The socket, once the library has dropped it.
    socket: Cell<Option<ServerSocket>>,
    /// What a caller's connection holds.
    held: Option<Held>,
    /// Bytes that have arrived since the last request.
    head_bytes: Cell<usize>,
    /// When the first of them arrived, if they are of a head.
    head_began: Cell<Option<Time>>,
    /// Whether the body of the last request was not read, so that the library skips it.
    skips_body: Cell<bool>,
    /// Notified when one has begun.
    head_notify: Notify,
}

impl Outbox {
    /// Outbox of a caller's connection, which yields to others while it has no request.
    pub fn for_caller(held: Held) -> Self {
        held.enter(Stage::Resting);
        Outbox { held: Some(held), ..Outbox::default() }
    }

    /// Begins to owe an answer.
    pub fn begin(self: &Rc<Self>, work: Rc<OpenWork>) -> Rc<Pending> {
        self.head_bytes.set(0);
        self.head_began.set(None);
        if let Some(held) = &self.held {
            held.set_head(0);
            held.enter(Stage::Busy);
        }
        let (delivery, outbox) = (Delivery::new(), Rc::downgrade(self));
        let pending = Rc::new(Pending { work, delivery, outbox, read_by: Cell::default() });
        self.pending.borrow_mut().push(pending.clone());
        pending
    }

    fn flushed(&self) {
        let mut pending = self.pending.borrow_mut();
        pending.iter().for_each(|p| p.delivery.flushed());
        let last_read = pending.last().map(|p| p.work.is_read());
        pending.retain(|p| !p.delivery.is_sent());
        if let Some(is_read) = last_read.filter(|_| pending.is_empty()) {
            self.skips_body.set(!is_read);
            self.rest();
        }
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether the other side has ended its sending side.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Whether an answer is complete but has not left.
    fn is_flushing(&self) -> bool {
        self.pending.borrow().iter().any(|p| p.delivery.is_flushing())
    }

    /// Records that nothing is owed any more.
    fn rest(&self) {
        if let Some(held) = &self.held {
            held.enter(Stage::Resting);
        }
    }

    /// Takes note of bytes that have arrived.
    fn received(&self, bytes: usize) {
        let Some(held) = self.held.as_ref().filter(|_| self.pending.borrow().is_empty()) else {
            return;
        };
        let head_bytes = self.head_bytes.get() + bytes;
        self.head_bytes.set(head_bytes);
        let is_head = head_bytes > 0 && !self.skips_body.get();
        if is_head && self.head_began.get().is_none() {
            self.head_began.set(Some(held.now()));
            self.head_notify.notify_one();
        }
        held.set_head(head_bytes * BUFFER_FACTOR);
        held.moved(bytes);
    }

    /// Whether the connection has been told to yield to others.
    pub fn is_told(&self) -> bool {
        self.held.as_ref().is_some_and(Held::is_told)
    }

    /// Waits until the connection must yield to others.
    async fn must_yield(&self) {
        match &self.held {
            Some(held) => held.must_yield().await,
            None => std::future::pending().await,
        }
    }

    /// Runs a connection, unless an answer on it is not read in time, a head takes longer than
    /// `head_timeout`, or it must yield.
    pub async fn run(
        &self,
        node: &Node,
        head_timeout: Duration,
        connection: impl Future<Output = Served>,
    ) -> End {
        tokio::select! {
            // Input that has already arrived is read before any timeout is checked.
            biased;
            served = connection => End::Closed(served.err()),
            () = self.wait_overdue(node) => End::Overdue,
            () = self.wait_late_head(node, head_timeout) => End::LateHead,
            () = self.must_yield() => End::Yielded,
        }
    }

    /// Waits until the head of a request has taken too long.
    async fn wait_late_head(&self, node: &Node, timeout: Duration) {
        loop {
            let Some(began) = self.head_began.get() else {
                self.head_notify.notified().await;
                continue;
            };
            node.clock.sleep_until(began + timeout).await;
            if self.head_began.get() == Some(began) {
                return;
            }
        }
    }

    /// Waits until an answer has not been read in time.
    async fn wait_overdue(&self, node: &Node) {
        loop {
            let begun = self.begun.notified();
            let read_by = self.pending.borrow().iter().filter_map(|p| p.read_by.get()).min();
            match read_by {
                Some(at) if at <= node.now() => return,
                Some(at) => {
                    node.clock.timeout_at(at, begun).await;
                }
                None => begun.await,
            }
        }
    }

    /// Ends the connection, which the library has dropped.
    pub async fn close(&self, node: &Node, end: End) {
        let is_overdue = matches!(end, End::Overdue);
        self.log_end(node, end);
        self.rest();
        match self.socket.take() {
            Some(socket) if is_overdue => socket.reset(),
            Some(socket) => linger::close(node, socket, self).await,
            None => {}
        }
    }

    /// Logs the answers that are still owed at the end of the connection.
    fn log_end(&self, node: &Node, end: End) {
        let why = match end {
            // The answer was broken off, which has a line of its own.
            End::Closed(Some(e)) if e.is_user() => return,
            End::Closed(error) => error.map_or(String::new(), |e| e.to_string()),
            End::Overdue => OVERDUE.into(),
            End::Yielded => String::new(),
            End::LateHead => {
                node.metrics.count_late_head();
                Event::LateHead { bytes: self.head_bytes.get() }.emit();
                return;
            }
        };
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

    fn stream(&mut self) -> Pin<&mut WatchedStream> {
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
        let bytes = buf.filled().len() - before;
        if read.is_err() || bytes == 0 {
            self.outbox.has_ended.set(true);
        }
        self.outbox.received(bytes);
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
