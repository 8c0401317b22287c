//! Structured log lines: one JSON object for each decision on a request and each change of the
//! node's state. docs/OPERATIONS.md lists them.
//!
//! Logging never blocks a request: lines go into a bounded queue that a separate thread writes out.
//! Lines beyond the queue's capacity or a rate limit are dropped, and their count is logged.

mod gate;
mod kinds;
mod writer;

pub use kinds::Event;
pub use writer::{close, install};
