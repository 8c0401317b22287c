//! The operators' command line: declarations in files, the Object API beyond.

pub mod args;
pub mod cmd;
pub mod declare;
mod metrics;
mod remote;
pub mod trace;

pub use remote::Remote;
