//! Requests that end the targets which run them: what shows that a target ended.

mod ends;

pub use ends::Ends;
