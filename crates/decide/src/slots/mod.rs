//! Slots of brittle targets.
//!
//! A brittle target says in its answers how many requests it may reject in a second before it
//! crashes, and may soon let fewer requests wait. No node alone can know whether it has room, so
//! one node, the target's keeper, leases its slots to all nodes. Requests wait at the keeper, not
//! at the target; the queue is as long as the target has slots, and what finds no place there is
//! refused at once.

mod brittle;
mod issuer;
mod room;

pub use brittle::{BrittleChange, BrittleTargets};
pub use issuer::{LeaseId, SlotIssuer};
pub use room::{SlotGrant, SlotTerms};
