//! Errors of the Object API, with the step and the peer.

/// What went wrong; callers tell these apart.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ErrorKind {
    /// the version did not match
    Conflict,
    /// not sent: {0}
    NotSent(String),
    /// the answer was lost: {0}
    Lost(String),
    /// refused: {0}
    Refused(String),
    /// over the budget of calls
    Budget,
}

/// A failed call of the Object API.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("{operation} at {peer}: {kind}")]
pub struct StoreError {
    /// Call and object, such as `put manifest/current`.
    pub operation: String,
    /// Address called.
    pub peer: String,
    /// What went wrong.
    pub kind: ErrorKind,
}

impl StoreError {
    /// Whether a write met another version.
    pub fn is_conflict(&self) -> bool {
        self.kind == ErrorKind::Conflict
    }

    /// Whether a write may have landed.
    pub fn may_be_applied(&self) -> bool {
        matches!(self.kind, ErrorKind::Lost(_))
    }
}
