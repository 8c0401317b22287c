//! The data path: takes callers' requests and sends their steps to targets.
//!
//! A fault of the control process never stops an entry node, which continues with the
//! configuration and the load reports that it has.

pub mod args;
mod attempt;
mod claims;
mod drive;
mod fleet;
mod front;
mod metrics;
mod node;
mod peer;
mod rates;
pub mod settings;
mod sync;

pub use fleet::Fleet;
pub use node::{Bound, Entry, Running};
pub use settings::Settings;
