//! Which target takes a request.
//!
//! [`PoolTable`] is what one entry node believes about one pool: reports that
//! lag, what it sent since, and who is ejected or leaving. A [`Policy`] chooses
//! among its candidates.

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

/// Bytes of a prompt that make its prefix; about the first 64 tokens.
pub const PREFIX_BYTES: usize = 256;

/// Hash of a prompt's leading block.
pub fn prefix(text: &str) -> u64 {
    let bytes = text.as_bytes();
    model::hash::of(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
