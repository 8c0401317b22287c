//! Admission of callers at a node that has just started and has no rules or targets yet.

use std::time::Duration;

/// Time from a node's start within which rules and targets arrive if any node has them.
const STARTUP_TIME: Duration = Duration::from_millis(800);

/// How long a caller waits for the state at a node that has run for `uptime` and has none yet.
/// After a power loss all nodes start together; callers rejected at that time would return a moment
/// later, all at once and with one retry less. After that period nobody can predict when the state
/// arrives, and callers are rejected at once.
pub fn startup_wait(uptime: Duration) -> Duration {
    STARTUP_TIME.saturating_sub(uptime)
}
