//! A forwarding node's view of the targets, and the choice of one for each request.
//!
//! Discovery reports which targets exist and which are draining; the node's own requests show which
//! of them answer. A target whose entry vanished while the store was unreachable is kept for a
//! short time, since it is most likely alive. Targets of an evacuated failure domain get no new
//! requests, cold ones only a few.

mod answers;
mod changed;
mod cold;
mod evacuation;
mod links;
mod load;
mod notice;
mod pick;
mod shared;
mod silence;
mod state;
mod supersede;
mod targets;
mod terms;

pub use changed::ChangedTargets;
pub use cold::{ColdBounds, ColdLimit};
pub use evacuation::{Evacuated, EvacuationChange};
pub use notice::{NoticeChange, Notices};
pub use pick::{ColdStarts, Home, PickCriteria, home_weights};
pub use shared::{max_probe_interval, return_time};
pub use state::{Observation, Presence, TargetState};
pub use supersede::drop_superseded;
pub use targets::Fleet;
pub use terms::{Exclusion, Regions, Terms};
