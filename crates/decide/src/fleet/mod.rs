//! What a forwarding node believes of targets, and which one gets a request.
//!
//! Discovery says which targets exist and which are draining; the node's own
//! requests say which of them answer. A target whose entry vanished while the
//! store was out of reach is kept for a short while, since it most likely lives. Targets of
//! an evacuated failure domain get nothing new, cold ones little.

mod answers;
mod changed;
mod cold;
mod evacuation;
mod load;
mod notice;
mod pick;
mod state;
mod supersede;
mod targets;
mod terms;

pub use changed::ChangedTargets;
pub use cold::{ColdBounds, ColdLimit};
pub use evacuation::{Evacuated, EvacuationChange};
pub use notice::{NoticeChange, Notices};
pub use pick::{ColdStarts, Home, PickCriteria, shares};
pub use state::{Observation, Presence, TargetState};
pub use supersede::drop_superseded;
pub use targets::Fleet;
pub use terms::{Exclusion, Regions, Terms};
