//! Bodies that are collected as they arrive.

use std::collections::VecDeque;

use bytes::Bytes;
use hyper::body::Body;

/// Minimum size of a part, in bytes, unless the body is smaller.
const MIN_PART_BYTES: usize = 8 << 10;
/// Maximum size of a part, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// Size of a body in bytes, if its head names one.
pub fn announced_size(body: &impl Body) -> Option<usize> {
    body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// A body of which a part has arrived. Its bytes are copied, since a frame may keep a far larger
/// buffer, and not moved, since that takes the memory twice. Parts grow with what has arrived: an
/// announced size may never come.
#[derive(Debug, Default)]
pub struct BodyParts {
    parts: VecDeque<Vec<u8>>,
    len: usize,
    held: usize,
    size: Option<usize>,
}

impl BodyParts {
    /// Begins a body of this size, if it is known.
    pub fn new(size: Option<usize>) -> Self {
        BodyParts { size, ..BodyParts::default() }
    }

    /// Bytes that have arrived.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.room();
            if room == 0 {
                let part = Vec::with_capacity(self.next_part(data.len()));
                self.held += part.capacity();
                self.parts.push_back(part);
                continue;
            }
            let (first, rest) = data.split_at(room.min(data.len()));
            self.parts.back_mut().expect("it has room").extend_from_slice(first);
            self.len += first.len();
            data = rest;
        }
    }

    /// Size of the part that follows, of which `more` bytes have arrived.
    fn next_part(&self, more: usize) -> usize {
        let grown = self.len.max(more).clamp(MIN_PART_BYTES, MAX_PART_BYTES);
        match self.size {
            Some(size) if size > self.len => grown.min(size - self.len),
            _ => grown,
        }
    }

    /// Memory that it holds, which is more than its bytes while a part has room.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Memory that it will hold once `more` bytes are added.
    pub fn held_with(&self, more: usize) -> usize {
        match more.saturating_sub(self.room()) {
            0 => self.held,
            rest => self.held + rest.max(self.next_part(rest)),
        }
    }

    fn room(&self) -> usize {
        self.parts.back().map_or(0, |p| p.capacity() - p.len())
    }

    /// The parts, in order.
    pub fn into_parts(self) -> Vec<Bytes> {
        self.parts.into_iter().map(Bytes::from).collect()
    }

    /// Takes the first part out.
    pub fn pop(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        self.len -= part.len();
        self.held -= part.capacity();
        Some(part.into())
    }

    /// The whole body, copied if it has several parts.
    pub fn into_bytes(mut self) -> Bytes {
        match self.parts.len() {
            0 | 1 => self.pop().unwrap_or_default(),
            _ => self.parts.make_contiguous().concat().into(),
        }
    }
}
