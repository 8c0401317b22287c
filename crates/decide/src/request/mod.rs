//! Execution of one request through the steps of its pipeline.
//!
//! [`RequestMachine`] claims the idempotency key if a step is not repeatable, sends attempts,
//! handles late, duplicated and reordered frames, retries where that is safe, resumes or continues
//! a broken stream, and ends with exactly one typed outcome.

mod assembly;
mod failures;
mod run;
mod types;

pub use assembly::{FrameResult, Reassembler};
pub use run::RequestMachine;
pub use types::{Action, Event, Plan, RetryPolicy, StepPlan};
