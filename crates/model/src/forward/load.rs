//! Load that targets report in their answers.

/// Load of a target when it answered, over all its callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// Current duration of work on its machine relative to the baseline.
    pub slowdown: f64,
}

/// Load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum ReportedLoad {
    /// The answer contains no load.
    #[default]
    None,
    /// Reported load.
    Load(TargetLoad),
    /// The answer contains a load that cannot be parsed.
    Unreadable,
}
