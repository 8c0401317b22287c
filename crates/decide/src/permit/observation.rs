//! Observation of a target's limit in one answer, and how two observations are merged.

use std::time::Duration;

use model::Time;
use model::forward::LimitReport;

/// Maximum transit time of a peer's observation, which may be older than it says by this much.
/// Equal to the time that nodes wait for the response to a message.
pub const MAX_TRANSIT: Duration = Duration::from_millis(800);

/// Limit that one answer of a target named.
///
/// The target named it at some moment between the two times. Answers overtake one another on many
/// connections and at many nodes, so it is not always known which of two observations is later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// Requests per second; `None` if no limit was named.
    pub per_s: Option<f64>,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the answer arrived.
    pub received_at: Time,
}

impl LimitObservation {
    /// Converts an observation received from a peer.
    pub fn from_peer(limit: &LimitReport, now: Time) -> LimitObservation {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        LimitObservation {
            per_s: limit.per_s,
            sent_at: ago(limit.sent_ms) - MAX_TRANSIT,
            received_at: ago(limit.received_ms),
        }
    }

    /// Converts the observation into the form sent to peers.
    pub fn to_peer(&self, now: Time) -> LimitReport {
        let age = |at: Time| now.since(at).as_millis() as u64;
        LimitReport {
            per_s: self.per_s,
            sent_ms: age(self.sent_at),
            received_ms: age(self.received_at),
        }
    }

    /// Merges two observations: the later one wins, or the lower limit if their order is unknown.
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

    /// Requests per second that the target accepts.
    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }
}
