//! Selection of the target for a request.
//!
//! [`PoolTable`] is one entry node's view of one pool: reports that lag, the attempts sent since,
//! and which targets are ejected or draining. A [`Policy`] chooses among its candidates.

mod health;
mod policy;
mod share;
mod table;

pub use health::Health;
pub use policy::{
    Home, HomeTuning, LeastOutstanding, Policy, PolicyKind, RoundRobin, RouteQuery, SessionHash,
    make as make_policy,
};
pub use share::PrefixShares;
pub use table::{PoolTable, Slot, TargetInfo};

/// Length of a prompt's prefix in bytes; about the first 64 tokens.
pub const PREFIX_BYTES: usize = 256;

/// Hash of a prompt's prefix.
pub fn prefix(text: &str) -> u64 {
    let bytes = text.as_bytes();
    model::hash::hash64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
