//! Names of objects, nodes, targets and steps.

use std::sync::Arc;

/// Immutable, reference-counted name.
pub type Name = Arc<str>;

/// Maximum length of a name in bytes, that of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Error of checking a name.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// a name has at most 63 bytes, this one has {0}
    TooLong(usize),
    /// a name uses a-z, 0-9, '-' and '.', and starts and ends with a letter or digit; found {0:?}
    InvalidChar(char),
}

/// Checks the length and the characters of a name.
pub fn check(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(name.len()));
    }
    let inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    if let Some(c) = name.chars().find(|c| !inner(*c)) {
        return Err(NameError::InvalidChar(c));
    }
    let edge = |c: Option<char>| c.filter(|c| !c.is_ascii_alphanumeric());
    match edge(name.chars().next()).or(edge(name.chars().next_back())) {
        Some(c) => Err(NameError::InvalidChar(c)),
        None => Ok(()),
    }
}
