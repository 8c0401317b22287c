//! Limits: attempts in flight at one target, and a workspace's rate over all
//! nodes without a centre.

mod concurrency;
mod rate;

pub use concurrency::Concurrency;
pub use rate::{Bucket, Home as RateHome, LEASE as SLICE_LEASE, Lend, Slice};
