//! Roll-outs of a service's version, judged and taken back by the nodes themselves.
//!
//! Each node holds [`Versions`]: which version of a service serves, which one is on trial and
//! which gets nothing; and [`Evidence`]: what its own requests showed. One node's [`Judge`]
//! adds up the evidence of all and decides the phase and the state. Design and ways weighed:
//! docs/design/rollouts.md.

mod age;
mod baseline;
mod evidence;
mod judge;
mod live;
mod plan;
mod pool;
mod sequential;
mod times;
mod verdict;
mod versions;
mod withdrawn;

pub use evidence::Evidence;
pub use judge::{Bounds, Judge, JudgeAction, JudgeEvent};
pub use verdict::{Cause, Verdict, VersionCounts};
pub use versions::{RolloutChange, Versions};
