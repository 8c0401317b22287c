//! What a node that has just started does with callers before it knows rules and targets.

use std::time::Duration;

/// Time from a node's start within which rules and targets come where anybody has them.
const STARTUP_TIME: Duration = Duration::from_millis(800);

/// How long a caller waits for the state of a node that has run for `uptime` and does not
/// know it yet. All nodes start together after a loss of power, and callers that were
/// refused then would come back to a crowd a moment later, with a try less. Later on nobody
/// knows when the state comes, and the caller is refused at once.
pub fn startup_wait(uptime: Duration) -> Duration {
    STARTUP_TIME.saturating_sub(uptime)
}
