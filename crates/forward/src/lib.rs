//! The forwarding node: callers in, targets out, with batched stages between.
//!
//! A request is matched to a route of the rules in force, its stages are made
//! in batches shared with other nodes, and one target's answer goes back byte for
//! byte. What another system speaks is hidden behind [`border::Dialect`].
//!
//! One thread runs everything, so the state is shared by `Rc` and `RefCell`; no
//! borrow is held over an await. Whether something may be sent, repeated, batched
//! or believed is decided by the machines in [`decide`].

pub mod border;
mod crossed;
mod events;
mod heard;
mod ingress;
mod limits;
mod metrics;
mod node;
mod paths;
mod peers;
mod phase;
mod prefill;
mod quarantine;
mod reload;
mod rollout;
mod rules;
mod run;
mod serve;
pub mod settings;
mod stages;
mod upstream;
mod watch;

pub use run::run;
pub use settings::Settings;
