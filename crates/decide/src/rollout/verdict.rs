//! Why a version was judged bad.

use model::Name;

/// What told that it is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It fails requests that the version which serves does not.
    Failures,
    /// Its answers take several times as long.
    Slow,
    /// Another node had judged before.
    Reported,
    /// It was not shown to be good within the order's time.
    Doubtful,
    /// Too few of its targets could be used within the order's time.
    Targets,
}

impl Cause {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Failures => "failures",
            Cause::Slow => "slow",
            Cause::Reported => "reported",
            Cause::Doubtful => "doubtful",
            Cause::Targets => "targets",
        }
    }
}

/// What was counted of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Requests sent there.
    pub sent: u64,
    /// Failures and slow answers.
    pub bad: u64,
}

/// A judgement and what it rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// What told.
    pub cause: Cause,
    /// Route whose answers told; `None` if those of all routes did.
    pub route: Option<Name>,
    /// Of the version on trial.
    pub trial: VersionCounts,
    /// Of the version that serves.
    pub serving: VersionCounts,
}
