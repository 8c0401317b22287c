//! Memory for answers that are read before they are passed on.
//!
//! All answers share one limit. Reading an answer pauses until there is room, so that its sender
//! waits; what is paused always gets room once others have been passed on.

use std::cell::{Cell, RefCell, RefMut};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use decide::hold::{HoldId, Holds};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use util::http::{BodyParts, announced_size};

use crate::events::Event;
use crate::upstream::{AnswerBody, AnswerError};

/// Maximum size of an answer of a target that is read completely, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Memory for the answers of all connections, in bytes: two of the largest, and a fifth of the memory
/// of a host with 160 MB.
const MAX_HELD_BYTES: usize = 2 * MAX_RESPONSE_BYTES;
/// Size up to which an answer is not counted, in bytes: small answers are never paused, and the
/// number of open requests bounds them.
const UNCOUNTED_BYTES: usize = 32 << 10;

/// Why an answer was not read completely.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// {0}
    Answer(#[from] AnswerError),
    /// its body is larger than {0} bytes
    TooLarge(usize),
}

/// Memory that the answers of this node hold.
#[derive(Debug, Clone)]
pub struct AnswerMemory(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    holds: RefCell<Holds>,
    released: Notify,
    paused: Cell<usize>,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        let holds = RefCell::new(Holds::new(MAX_HELD_BYTES));
        AnswerMemory(Rc::new(Shared { holds, released: Notify::new(), paused: Cell::new(0) }))
    }
}

impl AnswerMemory {
    /// Memory of an answer that will have at most `max_bytes`.
    pub fn open(&self, max_bytes: usize) -> HeldMemory {
        HeldMemory { memory: self.clone(), max_bytes, hold: None }
    }

    fn holds(&self) -> RefMut<'_, Holds> {
        self.0.holds.borrow_mut()
    }
}

/// Counts an answer as paused until dropped.
struct Paused<'a>(&'a AnswerMemory);

impl<'a> Paused<'a> {
    fn new(memory: &'a AnswerMemory) -> Self {
        let paused = &memory.0.paused;
        if paused.replace(paused.get() + 1) == 0 {
            log(memory, true);
        }
        Paused(memory)
    }
}

impl Drop for Paused<'_> {
    fn drop(&mut self) {
        let paused = &self.0.0.paused;
        if paused.replace(paused.get() - 1) == 1 {
            log(self.0, false);
        }
    }
}

fn log(memory: &AnswerMemory, is_paused: bool) {
    let held_bytes = memory.holds().bytes();
    Event::AnswersPaused { is_paused, held_bytes }.emit();
}

/// Memory that one answer holds until dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: AnswerMemory,
    max_bytes: usize,
    hold: Option<HoldId>,
}

impl HeldMemory {
    /// Waits until the answer may hold this many bytes. Can be cancelled and repeated.
    pub async fn grow(&mut self, bytes: usize) {
        if bytes <= UNCOUNTED_BYTES && self.hold.is_none() {
            return;
        }
        let (memory, max_bytes) = (&self.memory, self.max_bytes);
        let id = *self.hold.get_or_insert_with(|| memory.holds().open(max_bytes));
        if memory.holds().resize(id, bytes) {
            return;
        }
        let _paused = Paused::new(memory);
        loop {
            let released = memory.0.released.notified();
            if memory.holds().resize(id, bytes) {
                return;
            }
            released.await;
        }
    }

    /// Records that the answer holds no more than this.
    pub fn shrink(&mut self, bytes: usize) {
        if let Some(id) = self.hold {
            self.memory.holds().resize(id, bytes);
            self.memory.0.released.notify_waiters();
        }
    }

    /// Records that the answer is whole.
    fn complete(&mut self, bytes: usize) {
        if let Some(id) = self.hold {
            self.memory.holds().resize(id, bytes);
            self.memory.holds().complete(id);
            self.memory.0.released.notify_waiters();
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if let Some(id) = self.hold {
            self.memory.holds().close(id);
            self.memory.0.released.notify_waiters();
        }
    }
}

/// A complete body, with the memory that it holds until it is passed on.
#[derive(Debug)]
pub struct HeldBody {
    body: BodyParts,
    held: HeldMemory,
}

impl HeldBody {
    /// The body in one piece, which is copied.
    pub fn into_bytes(self) -> Bytes {
        self.body.into_bytes()
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let part = self.body.pop();
        let rest = self.body.len();
        self.held.shrink(rest);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.len() as u64)
    }
}

/// Reads the complete body of an answer.
pub async fn read_body(
    memory: &AnswerMemory,
    mut body: AnswerBody,
    max_bytes: usize,
) -> Result<HeldBody, ReadError> {
    let announced = announced_size(&body);
    if announced.is_some_and(|n| n > max_bytes) {
        return Err(ReadError::TooLarge(max_bytes));
    }
    let mut held = memory.open(announced.unwrap_or(max_bytes));
    let mut read = BodyParts::new(announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let bytes = read.len() + data.len();
        if bytes > max_bytes {
            return Err(ReadError::TooLarge(max_bytes));
        }
        held.grow(bytes).await;
        read.push(&data);
    }
    held.complete(read.len());
    Ok(HeldBody { body: read, held })
}
