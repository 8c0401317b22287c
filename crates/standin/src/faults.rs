//! Faults that a stand-in can inject.

use model::attempt::{Attempt, Frame};
use serde::{Deserialize, Serialize};

/// Faults of a target, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// Factor on the duration of work; 0 means 1.
    pub slow: f64,
    /// Never answers a call, and keeps its connection open.
    pub stall: bool,
    /// Answers 500 without running the call.
    pub fail: bool,
    /// Refuses calls as if the target were draining.
    pub refuse: bool,
    /// Runs the call, then drops the connection before the first frame.
    pub drop: bool,
    /// Cuts the stream after this number of frames.
    pub cut: Option<usize>,
    /// Swaps each pair of adjacent frames.
    pub reorder: bool,
    /// Sends each frame twice.
    pub double: bool,
    /// Sends a frame of another request before each frame.
    pub stray: bool,
    /// Sends a wrong digest in the end frame.
    pub digest: bool,
    /// Leaves out the last chunk, and counts one chunk less in the end frame.
    pub short: bool,
    /// Appends the target's name to each word, to reveal an answer spliced from several targets.
    pub tag: bool,
    /// Age of load reports in milliseconds.
    pub lag: u64,
}

impl TargetFaults {
    /// Factor on every duration.
    pub fn slowdown_factor(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }

    /// Whether a fault can only be applied to a whole answer, so that frames are buffered.
    pub fn needs_whole_answer(&self) -> bool {
        self.reorder || self.double || self.stray || self.digest || self.short
    }

    /// Applies the faults to the frames of a whole answer.
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

/// Frame of another request with the sequence number of `frame`.
fn stray_frame(frame: &Frame) -> Frame {
    let attempt = Attempt { request: "somebody-else".into(), ..frame.attempt().clone() };
    let seq = match frame {
        Frame::Chunk { seq, .. } => *seq,
        Frame::End { count, .. } => *count,
    };
    Frame::Chunk { attempt, seq, text: "not yours".into() }
}

/// Faults of the Object API, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApiFaults {
    /// Rejects every call with 503 without executing it.
    pub down: bool,
    /// Delay of each call in milliseconds.
    pub slow: u64,
    /// Number of next writes that are executed but never answered.
    pub lose: u32,
    /// Reads and lists return a snapshot taken when the fault was switched on.
    pub stale: bool,
    /// Watches return empty at once.
    pub drop: bool,
}
