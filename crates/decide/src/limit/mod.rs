//! Limits: the concurrency of attempts at one target, and the request rate of a workspace shared by
//! all nodes without a central coordinator.

mod concurrency;
mod rate;

pub use concurrency::ConcurrencyLimit;
pub use rate::{
    LEASE_PERIOD as SLICE_LEASE, Lender as RateLender, LentSlice, RateSlice, TokenBucket,
};
