//! The operators' command line: checks declarations in files, writes them to the Object API and
//! reports on requests and nodes.

pub mod args;
pub mod cmd;
pub mod declare;
mod metrics;
mod remote;
pub mod trace;

pub use remote::Remote;
