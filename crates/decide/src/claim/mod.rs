//! Claims of idempotency keys: at most one winner across all entry nodes, kept in the platform's
//! store rather than in one of our own.
//!
//! The timestamp in a key determines the only object that can hold it. A key is won once a
//! conditional update that contains it is known to be applied, so concurrent commits by two nodes
//! are safe, only slower. One write contains all keys that arrived during the previous write, and
//! writes of one object are spaced out, so the few hundred writes a second that the platform allows
//! carry thousands of claims. After a lost response, a read resolves each key of that write.

mod committer;
mod sweep;

pub use committer::{Action, Committer, Event, ReadOutcome, WriteOutcome};
pub use sweep::{Sweep, SweepAction};

/// Time after a key's timestamp during which it can be claimed, in milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 600_000;
/// Assumed bound on the error of any node's wall clock, in milliseconds.
pub const MAX_CLOCK_ERROR_MS: u64 = 30_000;
/// Time between refusing the keys of a bucket and deleting it, in milliseconds.
pub const DELETE_MARGIN_MS: u64 = 60_000;
