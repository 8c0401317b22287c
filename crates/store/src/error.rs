//! Errors of calls of the Object API.

/// Kind of a failed call, which determines how callers handle it.
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

/// Failed call of the Object API.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("{operation} at {peer}: {kind}")]
pub struct StoreError {
    /// Operation and object, such as `put manifest/current`.
    pub operation: String,
    /// Address of the API.
    pub peer: String,
    /// Kind of the failure.
    pub kind: ErrorKind,
}

impl StoreError {
    /// Whether a write failed because the object had another version.
    pub fn is_conflict(&self) -> bool {
        self.kind == ErrorKind::Conflict
    }

    /// Whether a failed write may have been applied.
    pub fn may_be_applied(&self) -> bool {
        matches!(self.kind, ErrorKind::Lost(_))
    }
}
