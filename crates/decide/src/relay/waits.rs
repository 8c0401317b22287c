//! How long each wait for news may last.
//!
//! A connection may fall silent without an end while new ones work, and then only the end of a
//! wait shows it. All that a node waits for adds up to [`MAX_STALENESS`] at most, whichever
//! connections fall silent together; the sums are worked out in [`max_relay_delay`] and
//! [`max_follower_delay`]. The waits follow from that and not from the cost of a call: few nodes
//! read the store, so that their calls may be frequent.

use std::time::Duration;

/// Time after which a node knows what changed, however its connections were disturbed. It is
/// held to that from 3 s after the disturbance on.
pub const MAX_STALENESS: Duration = Duration::from_millis(2500);
/// Age from which on what a node knows counts as old, and its log says so: what it waits for has
/// failed by then. It serves on, as a failure domain that is cut off does.
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// Time that a watch of the targets waits at the store. Followers judge a relay by their age.
pub const TARGETS_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time that a watch of the rules or the evacuations waits there.
pub const RULES_WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Time beyond its wait before a watch is given up. A store that is slow by 60 times takes
/// 240 ms for an answer.
pub const WATCH_SLACK: Duration = Duration::from_millis(400);
/// Time that a peer holds an answer back until there is news.
pub const PEER_WAIT: Duration = Duration::from_millis(700);
/// The same for a relay's standby: it passes on what it has, whose age is to stay fit for
/// use at those that follow it.
pub const STANDBY_WAIT: Duration = Duration::from_millis(250);
/// Time beyond that before a peer's answer is given up.
pub const PEER_SLACK: Duration = Duration::from_millis(350);
/// Time in which a node that knows nothing yet takes the whole list from a relay, as long as parts
/// of it come: the list of a large fleet takes a small host's link half a second, and a relay's
/// longer where many start together. Whoever asked anew would get the same from its beginning.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for an answer that is not to wait for news, asked for over a new connection after one
/// that had no answer in time.
pub const RETRY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for news to gather between two questions, which each cost a call.
pub const COALESCE_TIME: Duration = Duration::from_millis(100);

/// Longest time in which a node that reads the store notices silence and has asked again.
pub fn max_relay_delay() -> Duration {
    TARGETS_WATCH_WAIT.max(RULES_WATCH_WAIT) + WATCH_SLACK + RETRY_TIMEOUT
}

/// The same for a node that follows it, where all connections fell silent together: its own
/// wait ends sooner, and the relay's news take a question more.
pub fn max_follower_delay() -> Duration {
    let own = PEER_WAIT + PEER_SLACK + RETRY_TIMEOUT;
    own.max(max_relay_delay()) + COALESCE_TIME
}
