//! What one answer said of its target's limit, and which of two such words is the later one.

use std::time::Duration;

use model::Time;
use model::forward::LimitWord;

/// Longest time in which a peer's word comes, as long as nodes wait for the answer to a message: by
/// so much it may be older than it tells.
pub const MAX_TRANSIT: Duration = Duration::from_millis(800);

/// What an answer said of the requests that its target takes.
///
/// The target said it at some moment between the two times. Answers overtake one another, on many
/// connections and at many nodes, so that of two words it is not always known which is later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// Requests a second; `None` if it names no limit.
    pub per_s: Option<f64>,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the answer came.
    pub received_at: Time,
}

impl LimitObservation {
    /// A peer's word.
    pub fn from_peer(limit: &LimitWord, now: Time) -> LimitObservation {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        LimitObservation {
            per_s: limit.per_s,
            sent_at: ago(limit.sent_ms) - MAX_TRANSIT,
            received_at: ago(limit.came_ms),
        }
    }

    /// The word as a peer is told it.
    pub fn to_peer(&self, now: Time) -> LimitWord {
        let age = |at: Time| now.since(at).as_millis() as u64;
        LimitWord { per_s: self.per_s, sent_ms: age(self.sent_at), came_ms: age(self.received_at) }
    }

    /// What holds after both: the later word, and the tighter one where it is not known which
    /// that is.
    pub fn merge(self, other: LimitObservation) -> LimitObservation {
        if self.per_s == other.per_s {
            let (sent_at, received_at) =
                (self.sent_at.max(other.sent_at), self.received_at.max(other.received_at));
            return LimitObservation { per_s: self.per_s, sent_at, received_at };
        }
        let (lower, higher) =
            if self.rate() < other.rate() { (self, other) } else { (other, self) };
        if lower.received_at <= higher.sent_at { higher } else { lower }
    }

    /// Requests a second that the target takes.
    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }
}
