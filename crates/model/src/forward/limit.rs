//! Limits that targets name in their answers.

/// What an answer says of the requests that its target takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    None,
    /// So many requests a second.
    PerSecond(f64),
    /// It names one that cannot be read.
    Unreadable,
}
