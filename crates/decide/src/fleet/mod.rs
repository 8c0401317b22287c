//! What a forwarding node believes of targets, and which one gets a request.
//!
//! Discovery says which targets exist and which are draining; the node's own
//! requests say which of them answer. A target whose entry vanished while the
//! store was out of reach is kept for a short while, since it most likely lives.

mod belief;
mod pick;

pub use belief::{Belief, Fleet, Observation};
pub use pick::{Home, Wanted, shares};
