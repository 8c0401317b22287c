//! Limits that targets name in their answers, and permits to send them requests.
//!
//! A limit is the number of requests per second that a target accepts from all nodes together, in
//! force as long as its answers name it. One node, the target's keeper, accounts for all of them:
//! every other node asks it for a permit before it sends a request. Nodes that briefly disagree on
//! the keeper ask two of them; the share that one issues leaves room for another.

mod issuer;
mod limits;
mod observation;
mod pacer;

pub use issuer::{Grant, MAX_LIMITED_PIECES, PermitIssuer, issue_rate};
pub use limits::{LimitChange, Limits};
pub use observation::{LimitObservation, MAX_TRANSIT};
pub use pacer::{RetryPacer, RetryPacers};
