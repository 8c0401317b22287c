//! Puts the frames of one attempt together: any order, any number of times.

use std::collections::BTreeMap;

use model::attempt::{Attempt, Frame};
use model::hash::Digest;
use model::outcome::Reason;

/// Most chunks held back behind a gap.
const HELD_MAX: usize = 4096;

/// What a frame led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// Text that is now contiguous, oldest first; may be empty.
    Text(Vec<String>),
    /// The same, and the answer is whole and checked.
    Whole(Vec<String>),
    /// A frame of another attempt, or one seen before: dropped.
    Stray,
    /// The frames contradict each other.
    Corrupt(Reason),
}

/// The answer of one attempt as far as it has arrived.
#[derive(Debug)]
pub struct Assembly {
    attempt: Attempt,
    next: u64,
    held: BTreeMap<u64, String>,
    digest: Digest,
    end: Option<End>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    count: u64,
    digest: u64,
    busy: u64,
}

impl Assembly {
    /// An empty answer of `attempt` that starts at frame `from`.
    pub fn new(attempt: Attempt, from: u64) -> Self {
        Assembly {
            attempt,
            next: from,
            held: BTreeMap::new(),
            digest: Digest::default(),
            end: None,
        }
    }

    /// The attempt.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Number of the first frame still missing.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Microseconds of the target's time, once the end has arrived.
    pub fn busy(&self) -> Option<u64> {
        self.end.map(|e| e.busy)
    }

    /// Takes one frame.
    pub fn take(&mut self, frame: Frame) -> Taken {
        if *frame.attempt() != self.attempt {
            return Taken::Stray;
        }
        match frame {
            Frame::Chunk { seq, text, .. } => self.chunk(seq, text),
            Frame::End { count, digest, busy, .. } => self.finish(End { count, digest, busy }),
        }
    }

    fn chunk(&mut self, seq: u64, text: String) -> Taken {
        if self.end.is_some_and(|e| seq >= e.count) {
            return corrupt(format!("chunk {seq} behind the end"));
        }
        if seq < self.next {
            return Taken::Stray;
        }
        if let Some(held) = self.held.get(&seq) {
            if *held != text {
                return corrupt(format!("two texts for chunk {seq}"));
            }
            return Taken::Stray;
        }
        if self.held.len() >= HELD_MAX {
            return corrupt(format!("more than {HELD_MAX} chunks behind a gap"));
        }
        self.held.insert(seq, text);
        self.advance()
    }

    fn finish(&mut self, end: End) -> Taken {
        match self.end {
            Some(e) if e == end => return Taken::Stray,
            Some(_) => return corrupt("two ends".into()),
            None => {}
        }
        let last = self.held.keys().next_back().map_or(self.next, |s| s + 1);
        if end.count < last {
            return corrupt(format!("end at {} after chunk {}", end.count, last - 1));
        }
        self.end = Some(end);
        self.advance()
    }

    fn advance(&mut self) -> Taken {
        let mut out = Vec::new();
        while let Some(text) = self.held.remove(&self.next) {
            self.digest.push(&text);
            self.next += 1;
            out.push(text);
        }
        match self.end {
            Some(e) if e.count == self.next && e.digest == self.digest.value() => Taken::Whole(out),
            Some(e) if e.count == self.next => corrupt("digest differs".into()),
            _ => Taken::Text(out),
        }
    }
}

fn corrupt(why: String) -> Taken {
    Taken::Corrupt(Reason::Corrupt(why))
}
