//! Whether a target ended under the requests that it ran.
//!
//! A connection that breaks tells of the connection alone. Whether its target ended shows in
//! whether that takes connections, and in what discovery says of it.

use crate::fleet::Presence;

/// What a new connection to a target's address showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// Nobody listens there.
    Refused,
    /// Somebody listens there.
    Taken,
    /// Nothing came back: the way may be cut.
    Silent,
}

/// What is to be believed of a target under which a connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ended; how that shows.
    Ended(&'static str),
    /// It leaves as it was told to.
    Planned,
    /// Nothing shows yet that it ended.
    Open,
}

/// Judges by what discovery says and by the last connection.
pub fn judge(presence: Presence, contact: Contact) -> Verdict {
    match (presence, contact) {
        (Presence::Draining, _) => Verdict::Planned,
        (Presence::Restarted, _) => Verdict::Ended("started_again"),
        (_, Contact::Refused) => Verdict::Ended("refused"),
        // Somebody else has its address.
        (Presence::Removed, Contact::Taken) => Verdict::Ended("replaced"),
        (Presence::Removed | Presence::Present, Contact::Silent) => Verdict::Open,
        (Presence::Present, Contact::Taken) => Verdict::Open,
    }
}
