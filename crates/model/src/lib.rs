//! Shared vocabulary of pumicevale: names, declared objects, the messages that
//! travel between processes and targets, and the outcomes a caller can get.
//!
//! Nothing here does I/O or decides anything; the only logic is checking one
//! value, or one set of declarations, on its own.

pub mod answer;
pub mod attempt;
pub mod claim;
pub mod forward;
pub mod hash;
pub mod key;
pub mod lease;
pub mod load;
pub mod manifest;
pub mod member;
pub mod name;
pub mod object;
pub mod order;
pub mod outcome;
pub mod status;
pub mod store;
pub mod time;
pub mod view;

pub use name::Name;
pub use time::Time;
