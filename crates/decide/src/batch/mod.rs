//! The batch coordinator of one stage service.
//!
//! A call has a fixed cost whatever it carries, so pieces of several requests share calls. A worker
//! is a target of the service's pool. The coordinator tracks its calls in flight and the room left
//! at each worker, and fills a call for each free worker with the most urgent pieces. Several
//! coordinators may run at once: pieces may be computed twice, and workers refuse calls beyond
//! their capacity.

mod coordinator;
mod feed;
mod fill;
mod latency;
mod orders;
mod quota;
mod repeats;
mod silent;
mod types;
mod worker;
mod workers;

pub use coordinator::Coordinator;
pub use feed::WorkerFeed;
pub use types::{Action, Call, CallEnd, Event, OrderId, WorkerInfo};
