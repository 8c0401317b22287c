//! One request on its way through the steps of its pipeline.
//!
//! [`RequestMachine`] claims the key where a step may not be repeated, sends attempts,
//! puts late, doubled and reordered frames right, retries where that is safe,
//! resumes or continues a broken stream, and ends with one typed outcome.

mod assembly;
mod failures;
mod run;
mod types;

pub use assembly::{FrameResult, Reassembler};
pub use run::RequestMachine;
pub use types::{Action, Event, Plan, RetryPolicy, StepPlan};
