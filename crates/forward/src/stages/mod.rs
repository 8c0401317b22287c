//! Batched stages: the batch coordinators on this node, the orders of this node's requests, and
//! the freeing of results.

mod call;
mod free;
mod job;
mod made;
mod order;
mod plan;
mod runner;
mod spill;

pub use job::Job;
pub use made::RequestResults;
pub use order::handle_order;
pub use plan::{StageError, run_all};
pub use runner::{LocalCoordinators, OrderError};
