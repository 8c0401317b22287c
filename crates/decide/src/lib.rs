//! Decision logic of pumicevale as sans-I/O state machines. Each takes typed events and the current
//! time and returns typed actions. They use no runtime, no clock and no global randomness, so the
//! same code runs in a process, in property tests with reordered, lost and duplicated events, and
//! under a simulated clock.

pub mod admit;
pub mod batch;
pub mod callers;
pub mod claim;
pub mod config;
pub mod deadline;
pub mod delay;
pub mod ejection;
pub mod fleet;
pub mod forecast;
pub mod hold;
pub mod intake;
pub mod lease;
pub mod limit;
pub mod links;
pub mod liveness;
pub mod load;
pub mod member;
pub mod permit;
pub mod place;
pub mod prefill;
pub mod quarantine;
pub mod region;
pub mod relay;
pub mod request;
pub mod resend;
pub mod retry;
pub mod rng;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod slots;
pub mod stages;
pub mod streams;
mod tally;
