//! Whether a target ended under the requests that it ran.
//!
//! A connection that breaks tells of the connection alone. Whether its target ended shows in
//! whether that takes connections, and in what discovery says of it.

use crate::fleet::Presence;

/// What a new connection to a target's address showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// Nobody listens there.
    Refused,
    /// Somebody listens there.
    Accepted,
    /// Nothing came back: the way may be cut.
    NoResponse,
}

/// What is to be believed of a target under which a connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ended; how that shows.
    Crashed(&'static str),
    /// It leaves as it was told to.
    Planned,
    /// Nothing shows yet that it ended.
    Undecided,
}

/// Judges by what discovery says and by the last connection.
pub fn judge(presence: Presence, contact: ConnectOutcome) -> Verdict {
    match (presence, contact) {
        (Presence::Draining, _) => Verdict::Planned,
        (Presence::Restarted, _) => Verdict::Crashed("started_again"),
        (_, ConnectOutcome::Refused) => Verdict::Crashed("refused"),
        // Somebody else has its address.
        (Presence::Removed, ConnectOutcome::Accepted) => Verdict::Crashed("replaced"),
        (Presence::Removed | Presence::Present, ConnectOutcome::NoResponse) => Verdict::Undecided,
        (Presence::Present, ConnectOutcome::Accepted) => Verdict::Undecided,
    }
}
