//! Reassembles the frames of one attempt, which may arrive reordered and duplicated.

use std::collections::BTreeMap;

use model::attempt::{Attempt, Frame};
use model::hash::Digest;
use model::outcome::Reason;

/// Limit on out-of-order chunks buffered behind a gap.
const MAX_BUFFERED_CHUNKS: usize = 4096;

/// Result of receiving one frame.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameResult {
    /// Text that became contiguous, in order; may be empty.
    Text(Vec<String>),
    /// Text that became contiguous; the answer is complete and its digest matches.
    Complete(Vec<String>),
    /// A frame of another attempt or a duplicate; dropped.
    Stray,
    /// The frames are inconsistent with each other.
    Corrupt(Reason),
}

/// Partially received answer of one attempt.
#[derive(Debug)]
pub struct Reassembler {
    attempt: Attempt,
    next_seq: u64,
    buffered: BTreeMap<u64, String>,
    digest: Digest,
    end: Option<End>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    count: u64,
    digest: u64,
    busy: u64,
}

impl Reassembler {
    /// Creates an empty answer whose first expected chunk is `first_seq`.
    pub fn new(attempt: Attempt, first_seq: u64) -> Self {
        Reassembler {
            attempt,
            next_seq: first_seq,
            buffered: BTreeMap::new(),
            digest: Digest::default(),
            end: None,
        }
    }

    /// Attempt whose frames are accepted.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Sequence number of the first missing chunk.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Processing time reported by the target, in microseconds; `None` before the end frame.
    pub fn busy_us(&self) -> Option<u64> {
        self.end.map(|e| e.busy)
    }

    /// Processes one frame.
    pub fn receive(&mut self, frame: Frame) -> FrameResult {
        if *frame.attempt() != self.attempt {
            return FrameResult::Stray;
        }
        match frame {
            Frame::Chunk { seq, text, .. } => self.receive_chunk(seq, text),
            Frame::End { count, digest, busy, .. } => self.receive_end(End { count, digest, busy }),
        }
    }

    fn receive_chunk(&mut self, seq: u64, text: String) -> FrameResult {
        if self.end.is_some_and(|e| seq >= e.count) {
            return corrupt(format!("chunk {seq} behind the end"));
        }
        if seq < self.next_seq {
            return FrameResult::Stray;
        }
        if let Some(buffered) = self.buffered.get(&seq) {
            if *buffered != text {
                return corrupt(format!("two texts for chunk {seq}"));
            }
            return FrameResult::Stray;
        }
        if self.buffered.len() >= MAX_BUFFERED_CHUNKS {
            return corrupt(format!("more than {MAX_BUFFERED_CHUNKS} chunks behind a gap"));
        }
        self.buffered.insert(seq, text);
        self.advance()
    }

    fn receive_end(&mut self, end: End) -> FrameResult {
        match self.end {
            Some(e) if e == end => return FrameResult::Stray,
            Some(_) => return corrupt("two ends".into()),
            None => {}
        }
        let last = self.buffered.keys().next_back().map_or(self.next_seq, |s| s + 1);
        if end.count < last {
            return corrupt(format!("end at {} after chunk {}", end.count, last - 1));
        }
        self.end = Some(end);
        self.advance()
    }

    fn advance(&mut self) -> FrameResult {
        let mut out = Vec::new();
        while let Some(text) = self.buffered.remove(&self.next_seq) {
            self.digest.push(&text);
            self.next_seq += 1;
            out.push(text);
        }
        match self.end {
            Some(e) if e.count == self.next_seq && e.digest == self.digest.value() => {
                FrameResult::Complete(out)
            }
            Some(e) if e.count == self.next_seq => corrupt("digest differs".into()),
            _ => FrameResult::Text(out),
        }
    }
}

fn corrupt(why: String) -> FrameResult {
    FrameResult::Corrupt(Reason::Corrupt(why))
}
