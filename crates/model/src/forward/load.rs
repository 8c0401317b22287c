//! What targets tell of their own load.

/// Load of a target as it was when it answered, the work of all its callers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLoad {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Places.
    pub slots: u32,
    /// Times as long as usual that work takes on its machine.
    pub slowdown: f64,
}

/// What an answer says of its target's load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum ReportedLoad {
    /// Nothing.
    #[default]
    None,
    /// This.
    Load(TargetLoad),
    /// Something that cannot be read.
    Unreadable,
}
