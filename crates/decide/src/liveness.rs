//! Whether the other side of a connection is gone or only slow.
//!
//! A side that reads slowly acknowledges what was sent, and the probes of its empty window. One that
//! is gone acknowledges nothing and sends nothing.

use std::time::Duration;

use model::Time;

/// Time without a sign of life after which the other side is gone, while it owes one.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1900);
/// Interval of the samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two samples from which the first tells nothing of what was owed until the second.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Probes in a row without an answer that count like a time without one: the first of them had the
/// whole interval between probes.
const UNANSWERED_PROBES: u32 = 2;

/// What the kernel tells of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Segments sent that the other side has not acknowledged.
    pub in_flight: u32,
    /// Bytes sent or to be sent that the other side has not acknowledged.
    pub queued: usize,
    /// Probes since the last acknowledgement.
    pub probes: u32,
    /// Time since anything was received.
    pub silent: Duration,
}

impl Sample {
    /// Whether the other side owes an acknowledgement.
    fn is_owed(&self) -> bool {
        self.in_flight > 0 || self.probes > 0
    }
}

/// What a sample shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is owed or waits to be sent.
    Idle,
    /// The other side lives, or there was no time to tell.
    Alive,
    /// The other side is gone.
    Gone,
}

/// Judges the other side of one connection by regular samples.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Since when an acknowledgement has been owed.
    owed_since: Option<Time>,
    sampled_at: Option<Time>,
}

impl Liveness {
    /// Records that something was sent after a time in which nothing was owed.
    pub fn sent(&mut self, now: Time) {
        self.owed_since = Some(now);
        self.sampled_at = Some(now);
    }

    /// Judges by a further sample.
    pub fn judge(&mut self, now: Time, sample: Sample) -> Verdict {
        let is_late = self.sampled_at.replace(now).is_some_and(|at| now.since(at) > MAX_GAP);
        if !sample.is_owed() {
            self.owed_since = None;
            return if sample.queued == 0 { Verdict::Idle } else { Verdict::Alive };
        }
        if is_late {
            self.owed_since = None;
        }
        let heard_at = now - sample.silent;
        let owed_since = self.owed_since.unwrap_or(now).max(heard_at);
        self.owed_since = Some(owed_since);
        let is_owed_long = now.since(owed_since) >= SILENCE_TIMEOUT;
        let is_probed = sample.probes >= UNANSWERED_PROBES && !is_late;
        if sample.silent >= SILENCE_TIMEOUT && (is_owed_long || is_probed) {
            return Verdict::Gone;
        }
        Verdict::Alive
    }
}
