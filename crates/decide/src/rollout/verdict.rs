//! Why a version was judged bad.

use model::Name;

/// Reason for a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It fails more requests than the serving version.
    Failures,
    /// Its answers take several times as long.
    Slow,
    /// Another node had already rolled it back.
    Reported,
    /// The evidence left it in doubt at the deadline of the order.
    Doubtful,
    /// Too few of its targets were usable at the deadline of the order.
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

/// Requests counted for one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Requests sent to the version.
    pub sent: u64,
    /// Failed and slow answers.
    pub bad: u64,
}

/// A judgement and the counts behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Reason.
    pub cause: Cause,
    /// Route that provided the evidence; `None` if all routes did.
    pub route: Option<Name>,
    /// Counts of the trial version.
    pub trial: VersionCounts,
    /// Counts of the serving version.
    pub serving: VersionCounts,
}
