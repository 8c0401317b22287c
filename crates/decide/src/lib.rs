//! Every decision of pumicevale as a state machine without I/O: typed events
//! and the current time go in, typed actions come out. No runtime, no clock
//! and no global randomness, so the same code runs in a process, in a property
//! test with reordered, lost and doubled events, and under a stepped clock.

pub mod admit;
pub mod batch;
pub mod claim;
pub mod config;
pub mod deadline;
pub mod fleet;
pub mod forecast;
pub mod lease;
pub mod limit;
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
pub mod stages;
mod tally;
