//! Distribution of validated configuration from the Object API to every node.
//!
//! The [`Publisher`] runs on the lease holder: it validates the declared objects as one set and
//! writes numbered manifests. A [`Follower`] runs on every node: it applies manifests in increasing
//! order of their numbers and each one atomically, whether its parts come from the store, from a
//! peer, or both, in any order.

mod accept;
mod chunks;
mod follower;
mod publisher;

pub use follower::{Change, Follower, FollowerAction, FollowerEvent, Source};
pub use publisher::{Declared, Publisher, PublisherAction, PublisherEvent, PutOutcome};
