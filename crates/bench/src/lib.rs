//! Load, experiments, slopes and bounds. The load tool drives its own stand-ins
//! in real time, bounded in count and seconds; it simulates no cluster.

pub mod args;
pub mod cmd;
pub mod experiment;
pub mod slopes;
