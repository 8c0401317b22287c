//! Data types shared by all crates of pumicevale: names, declared objects, messages between
//! processes and targets, and request outcomes.
//!
//! The crate does no I/O and makes no decisions; its only logic validates single values and sets
//! of declarations.

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
