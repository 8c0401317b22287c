//! Faults on demand.

use model::attempt::{Attempt, Frame};
use serde::{Deserialize, Serialize};

/// Faults of a target; all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// Work takes this many times as long; 0 means 1.
    pub slow: f64,
    /// Answers no run at all, and keeps the connection open.
    pub stall: bool,
    /// Answers 500 before running.
    pub fail: bool,
    /// Refuses as if leaving.
    pub refuse: bool,
    /// Runs, then drops the connection before the first frame.
    pub drop: bool,
    /// Cuts the stream after this many frames.
    pub cut: Option<usize>,
    /// Swaps each pair of neighbouring frames.
    pub reorder: bool,
    /// Sends each frame twice.
    pub double: bool,
    /// Sends a frame of another request before each of its own.
    pub stray: bool,
    /// Ends with a wrong digest.
    pub digest: bool,
    /// Ends one chunk early.
    pub short: bool,
    /// Marks each word with the target's name, to show a spliced answer.
    pub tag: bool,
    /// Load reports are this many milliseconds old.
    pub lag: u64,
}

impl TargetFaults {
    /// Factor on every time.
    pub fn slowdown_factor(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }

    /// Whether frames must be held back to be mangled as a whole.
    pub fn needs_whole_answer(&self) -> bool {
        self.reorder || self.double || self.stray || self.digest || self.short
    }

    /// Applies the faults to a whole answer.
    pub fn corrupt(&self, mut frames: Vec<Frame>) -> Vec<Frame> {
        if self.short && frames.len() > 1 {
            frames.remove(frames.len() - 2);
            if let Some(Frame::End { count, .. }) = frames.last_mut() {
                *count -= 1;
            }
        }
        if self.digest
            && let Some(Frame::End { digest, .. }) = frames.last_mut()
        {
            *digest ^= 1;
        }
        if self.reorder {
            for pair in frames.chunks_mut(2) {
                pair.reverse();
            }
        }
        if self.double {
            frames = frames.into_iter().flat_map(|f| [f.clone(), f]).collect();
        }
        if self.stray {
            frames = frames.into_iter().flat_map(|f| [stray_frame(&f), f]).collect();
        }
        frames
    }
}

/// A frame with the same place in another request's answer.
fn stray_frame(frame: &Frame) -> Frame {
    let attempt = Attempt { request: "somebody-else".into(), ..frame.attempt().clone() };
    let seq = match frame {
        Frame::Chunk { seq, .. } => *seq,
        Frame::End { count, .. } => *count,
    };
    Frame::Chunk { attempt, seq, text: "not yours".into() }
}

/// Faults of the Object API; all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApiFaults {
    /// Every call is refused with 503 and not carried out.
    pub down: bool,
    /// Milliseconds that each call takes.
    pub slow: u64,
    /// This many writes are carried out and their answers lost.
    pub lose: u32,
    /// Reads and lists show the state of the moment when this was switched on.
    pub stale: bool,
    /// Watches end at once and empty.
    pub drop: bool,
}
