//! Rollouts of a service's version, judged and rolled back by the nodes themselves.
//!
//! Each node keeps [`Versions`], which tells the serving version from the one on trial and from
//! those that get no requests, and [`Evidence`], the outcomes of its own requests. The [`Judge`] on
//! one node sums the evidence of all nodes and decides the phase and the state. The design and its
//! alternatives are described in docs/design/rollouts.md.

mod age;
mod baseline;
mod evidence;
mod judge;
mod plan;
mod pool;
mod present;
mod sequential;
mod times;
mod verdict;
mod versions;
mod withdrawn;

pub use evidence::Evidence;
pub use judge::{Bounds, Judge, JudgeAction, JudgeEvent};
pub use verdict::{Cause, Verdict, VersionCounts};
pub use versions::{LostState, RolloutChange, Versions};
