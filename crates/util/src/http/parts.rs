//! Bodies that are collected as they arrive.

use std::collections::VecDeque;

use bytes::Bytes;

/// Size of a part, in bytes.
const PART_BYTES: usize = 64 << 10;

/// A body of which a part has arrived. Its bytes are copied, since a frame may keep a far larger
/// buffer, and not moved, since that takes the memory twice.
#[derive(Debug, Default)]
pub struct BodyParts {
    parts: VecDeque<Vec<u8>>,
    len: usize,
}

impl BodyParts {
    /// Begins a body of this size, if it is known.
    pub fn new(size: Option<usize>) -> Self {
        let parts = size.map(Vec::with_capacity).into_iter().collect();
        BodyParts { parts, len: 0 }
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
        self.len += data.len();
        while !data.is_empty() {
            let room = self.parts.back().map_or(0, |p| p.capacity() - p.len());
            if room == 0 {
                self.parts.push_back(Vec::with_capacity(PART_BYTES));
                continue;
            }
            let (first, rest) = data.split_at(room.min(data.len()));
            self.parts.back_mut().expect("it has room").extend_from_slice(first);
            data = rest;
        }
    }

    /// Takes the first part out.
    pub fn pop(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front().filter(|p| !p.is_empty())?;
        self.len -= part.len();
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
