//! The batch coordinator of one stage service.
//!
//! A call costs the same whatever it carries, so pieces of many requests share
//! calls. The coordinator knows every call that it has in flight and what room
//! each worker has left; when a worker is free it fills a call with what waits, most
//! urgent first. Nothing depends on there being only one coordinator: pieces may
//! be made twice, and a worker turns away what it cannot take.

mod coordinator;
mod feed;
mod fill;
mod latency;
mod orders;
mod quota;
mod repeats;
mod types;
mod worker;
mod workers;

pub use coordinator::Coordinator;
pub use feed::WorkerFeed;
pub use types::{Action, Call, CallEnd, Event, OrderId, WorkerInfo};
