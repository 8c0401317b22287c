//! Requests that end the targets which run them.

mod ends;

pub use ends::{Contact, Verdict, judge};
