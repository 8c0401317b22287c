//! The control process of a node: membership, configuration, leases, load and placement. It runs
//! on every entry host, with no dedicated hosts, and a fault here never affects the data path.
//!
//! Each part is a state machine from [`decide`] run by an actor or a task. The parts share a
//! `shared::Shared` and exchange typed messages.

pub mod args;
mod config;
mod domain;
mod lease;
mod membership;
mod node;
mod poll;
mod publish;
mod relay;
mod server;
pub mod settings;
mod shared;

pub use node::{Control, Running};
pub use settings::Settings;
