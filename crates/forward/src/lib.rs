//! Forwarding node: accepts callers' requests, runs their stages in batches and forwards them to
//! targets.
//!
//! A request is matched to a route of the rules in force, its stages run in batches shared with
//! other nodes, and one target's answer is returned byte for byte. [`border::Dialect`] hides the
//! platform's protocol.
//!
//! Everything runs on one thread, so state is shared through `Rc` and `RefCell`, and no borrow is
//! held across an await. The state machines in [`decide`] decide what may be sent, repeated,
//! batched or trusted.

pub mod border;
mod capacity;
mod crossed;
mod delay;
mod delivery;
mod ejections;
mod events;
mod heard;
mod ingress;
mod limits;
mod links;
mod liveness;
mod memory;
mod metrics;
mod node;
mod paths;
mod peers;
mod phase;
mod prefill;
mod quarantine;
mod received;
mod reload;
mod repeat;
mod rollout;
mod rules;
mod run;
mod serve;
pub mod settings;
mod slots;
mod stages;
mod streams;
mod upstream;
mod watch;
mod work;

pub use run::run;
pub use settings::Settings;
