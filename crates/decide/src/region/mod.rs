//! Distances between regions, and when orders spill to another one.

mod map;
mod spill;

pub use map::Map;
pub use spill::{LocalLoad, Spill};
