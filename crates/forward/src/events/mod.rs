//! Structured log lines: one JSON object for each decision that touches a request
//! or changes a belief. docs/OPERATIONS.md lists them.
//!
//! A line never holds a request up: it goes into a bounded queue that a thread of
//! its own writes out. What the queue or a kind's rate cannot take is counted, and
//! the count is a line itself.

mod gate;
mod kinds;
mod writer;

pub use kinds::Event;
pub use writer::install;
