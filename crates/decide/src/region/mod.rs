//! Regions as distances: how far they lie, and when work goes to another one.

mod map;
mod spill;

pub use map::Map;
pub use spill::{LocalLoad, Spill};
