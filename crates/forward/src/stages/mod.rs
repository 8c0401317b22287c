//! Batched stages: the coordinators that run at this node, the orders of this
//! node's requests, and the freeing of results.

mod call;
mod free;
mod order;
mod plan;
mod runner;

pub use order::take;
pub use plan::{Job, Made, StageError, make};
pub use runner::{NotMade, Pools};
