//! How a node follows the store without calling it.
//!
//! Calls of the store are dear and its rates grow more slowly than the fleet, so one node of
//! each failure domain, its relay, watches the store. The others follow it, and a standby
//! among them takes its place at any moment. All use the store's own revisions, so a node
//! moves from one source to another without beginning anew. A relay tells with each answer
//! how long ago the store last confirmed what it knows; whoever hears of too great an age
//! moves on: to the standby, to the relays of other domains, at last to the store.
//!
//! Where all relays are out of touch the store is most likely lost to everybody: followers
//! then wait with a relay until it is in touch again, and ask the store themselves only now
//! and then, the more seldom the more of them there are.

mod history;
mod list;
mod newest;
mod outage;
mod source;
mod start;
mod unreadable;
pub mod waits;

pub use history::History;
pub use list::{Entry, List};
pub use newest::LatestList;
pub use outage::OutageGrace;
pub use source::{Choice, Relays, Role, Source, Sources};
pub use start::startup_wait;
pub use unreadable::{EntryKey, UnreadableEntries};
