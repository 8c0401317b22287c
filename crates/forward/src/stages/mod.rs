//! Batched stages: the coordinators that run at this node, the orders of this
//! node's requests, and the freeing of results.

mod call;
mod free;
mod job;
mod made;
mod order;
mod plan;
mod runner;
mod spill;

pub use job::Job;
pub use made::Made;
pub use order::take;
pub use plan::{StageError, make};
pub use runner::{NotMade, Pools};
