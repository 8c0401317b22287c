//! Timeouts of the watches and long polls through which nodes learn of changes.
//!
//! A connection may go silent without being closed while new ones work, and then only a timeout
//! reveals it. All timeouts on the way to a node add up to [`MAX_STALENESS`] at most, whichever
//! connections go silent together; [`max_relay_delay`] and [`max_follower_delay`] compute the sums.
//! The timeouts follow from that bound rather than from the cost of a call: few nodes read from the
//! store, so their calls may be frequent.

use std::time::Duration;

/// Time within which a node learns of a change, however its connections are disturbed. The bound
/// applies from 3 s after a disturbance on.
pub const MAX_STALENESS: Duration = Duration::from_millis(2500);
/// Age at which a node's state counts as stale and is logged as such: the timeouts that should have
/// refreshed it have passed by then. The node continues to serve, as one in a partitioned failure
/// domain does.
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// Duration of a watch of the targets at the store. Followers judge a relay by the age of its
/// targets.
pub const TARGETS_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Duration of a watch of the rules or the evacuations at the store.
pub const RULES_WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Time beyond its duration after which a watch is abandoned. A store slowed down 60 times takes
/// 240 ms for an answer.
pub const WATCH_SLACK: Duration = Duration::from_millis(400);
/// Time for which a peer holds a long poll open until there are changes.
pub const PEER_WAIT: Duration = Duration::from_millis(700);
/// Same for the standby of a relay, which forwards the state: its age must stay acceptable to the
/// nodes that follow the standby.
pub const STANDBY_WAIT: Duration = Duration::from_millis(250);
/// Time beyond that after which a peer's answer is abandoned.
pub const PEER_SLACK: Duration = Duration::from_millis(350);
/// Timeout for a node without any state to read the complete list from a relay, as long as parts of
/// it arrive. The list of a large fleet takes half a second on a small host's link, and longer on a
/// relay's when many nodes start together. A retry would transfer the same list from its beginning.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of an immediate answer, requested over a new connection after one that did not answer in
/// time.
pub const RETRY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to collect changes between two requests, each of which costs a call.
pub const COALESCE_TIME: Duration = Duration::from_millis(100);

/// Maximum time until a node that reads from the store detects a silent connection and has asked
/// again.
pub fn max_relay_delay() -> Duration {
    TARGETS_WATCH_WAIT.max(RULES_WATCH_WAIT) + WATCH_SLACK + RETRY_TIMEOUT
}

/// Same for a node that follows it when all connections go silent together: its own timeout ends
/// sooner, but the relay's changes take one more request to arrive.
pub fn max_follower_delay() -> Duration {
    let own = PEER_WAIT + PEER_SLACK + RETRY_TIMEOUT;
    own.max(max_relay_delay()) + COALESCE_TIME
}
