//! Claims of idempotency keys: at most once over all entry nodes, with no
//! store of our own.
//!
//! The time in a key names the one object that can ever hold it. A key is won
//! once a conditional update that carries it is known to have landed, so two
//! nodes that both commit are safe, only slower. One write carries every key
//! that came while the last was on its way, and writes of one object keep a
//! distance, so the platform's few hundred writes a second carry thousands of
//! claims. A lost answer is settled by reading back, for each key in it.

mod committer;
mod sweep;

pub use committer::{Action, Committer, Event, ReadOutcome, WriteOutcome};
pub use sweep::{Sweep, SweepAction};

/// How long a key can be claimed after its time, milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 600_000;
/// Stated bound on the error of any node's wall clock, milliseconds.
pub const MAX_CLOCK_ERROR_MS: u64 = 30_000;
/// Margin between refusing keys of a bucket and deleting it, milliseconds.
pub const DELETE_MARGIN_MS: u64 = 60_000;
