//! Whether a target crashed while running requests.
//!
//! A broken connection alone is no evidence: whether its target crashed is decided by whether
//! the target accepts connections and by its state in discovery.

use crate::fleet::Presence;

/// Result of a new connection to a target's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection was refused: nothing listens there.
    Refused,
    /// Something listens there.
    Accepted,
    /// The attempt timed out, perhaps because the network is partitioned.
    NoResponse,
}

/// What became of a target whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It crashed; the value names the evidence.
    Crashed(&'static str),
    /// It is shutting down as planned.
    Planned,
    /// No evidence of a crash yet.
    Undecided,
}

/// Decides by the target's presence in discovery and the last connection attempt.
pub fn judge(presence: Presence, contact: ConnectOutcome) -> Verdict {
    match (presence, contact) {
        (Presence::Draining, _) => Verdict::Planned,
        (Presence::Restarted, _) => Verdict::Crashed("started_again"),
        (_, ConnectOutcome::Refused) => Verdict::Crashed("refused"),
        // Another process listens at its address.
        (Presence::Removed, ConnectOutcome::Accepted) => Verdict::Crashed("replaced"),
        (Presence::Removed | Presence::Present, ConnectOutcome::NoResponse) => Verdict::Undecided,
        (Presence::Present, ConnectOutcome::Accepted) => Verdict::Undecided,
    }
}
