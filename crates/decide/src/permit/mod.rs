//! Limits that targets name in their answers, and permits to send requests there.
//!
//! A limit is the requests a second that a target takes from all nodes together, for as long as
//! its answers say so. One node, the target's keeper, keeps the sum: whoever sends a request
//! there asks it for a permit first. Nodes that disagree on who that is for a moment ask two; what
//! one gives out leaves room for another.

mod issuer;
mod limits;
mod observation;
mod pacer;

pub use issuer::{Grant, MAX_LIMITED_PIECES, PermitIssuer, issue_rate};
pub use limits::{LimitChange, Limits};
pub use observation::{LimitObservation, MAX_TRANSIT};
pub use pacer::RetryPacer;
