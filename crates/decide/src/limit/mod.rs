//! Limits: attempts in flight at one target, and a workspace's rate over all
//! nodes without a centre.

mod concurrency;
mod rate;

pub use concurrency::ConcurrencyLimit;
pub use rate::{
    LEASE_PERIOD as SLICE_LEASE, Lender as RateLender, LentSlice, RateSlice, TokenBucket,
};
