//! Benchmarks of pumicevale: experiments under load, cost by system size (slopes), and checks
//! against committed bounds. Experiments run in real time against stand-in targets that they start
//! themselves, bounded in count and seconds; they do not simulate a cluster.

pub mod args;
pub mod cmd;
pub mod experiment;
pub mod slopes;
