//! Accepted configuration from the Object API to every node.
//!
//! The [`Publisher`] runs on the lease holder: it checks what operators
//! declared as a whole and writes numbered manifests. A [`Follower`] runs on
//! every node: it applies only higher numbers, and each one whole, whether it
//! came from the store, from a neighbour, or both, in any order.

mod accept;
mod chunks;
mod follower;
mod publisher;

pub use follower::{Change, Follower, FollowerAction, FollowerEvent, Source};
pub use publisher::{Declared, Publisher, PublisherAction, PublisherEvent, PutOutcome};
