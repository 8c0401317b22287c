//! Follows the store through other nodes.
//!
//! Calls to the store are expensive and its call rate limits grow more slowly than the fleet, so
//! one node per failure domain, its relay, watches the store. The others follow the relay, and a
//! standby among them can replace it at any moment. All of them use the store's own revisions, so a
//! node switches to another source without starting over. With each answer a relay reports how long
//! ago the store last confirmed its state; a follower switches when that age is too great: to the
//! standby, to the relays of other domains, and finally to the store.
//!
//! If all relays have lost contact with the store, most likely no node can reach it. Followers then
//! wait at a relay until that has contact again, and call the store themselves only occasionally,
//! the less often the more followers there are.

mod history;
mod latest;
mod list;
mod outage;
mod source;
mod start;
mod unreadable;
pub mod waits;

pub use history::History;
pub use latest::{LatestList, RESTORE_SETTLE_TIME};
pub use list::{Entry, List};
pub use outage::OutageGrace;
pub use source::{Choice, Relays, Role, Source, Sources};
pub use start::startup_wait;
pub use unreadable::{EntryKey, UnreadableEntries};
