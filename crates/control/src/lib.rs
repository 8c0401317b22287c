//! The control process of a node: membership, configuration, leases, load,
//! placement. It runs on every entry host and none is set aside for it; a fault
//! here never touches the data path.
//!
//! Each part is a machine of [`decide`] in an actor or a task; they share a
//! [`shared::Shared`] and tell each other typed messages.

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
