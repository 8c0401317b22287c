//! Mechanisms of the forwarding nodes that can be disabled individually, so that the effect of each
//! can be measured by a run with other settings.

use serde::{Deserialize, Serialize};

/// Enabled mechanisms; all are enabled by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// One coordinator batches the pieces of all nodes; if off, each node batches its own.
    pub pooling: bool,
    /// Requests are rejected when the queueing times leave them too little time.
    pub admission: bool,
    /// Orders that no call included in time are ended; if off, they wait until their caller
    /// disconnects.
    pub shedding: bool,
    /// The needed pieces of an overdue call are ordered a second time.
    pub overdue_calls: bool,
    /// Batches take the more urgent ranks first; if off, only the least slack decides.
    pub ranks: bool,
    /// Large results are made in the failure domain that needs them.
    pub affinity: bool,
    /// Stages with large results start as late as the other stages allow.
    pub late_starts: bool,
    /// Results are freed at the first event; if off, at the end of the stream.
    pub early_free: bool,
    /// Stages whose results were lost are rerun.
    pub recompute: bool,
    /// Prompts go to the engine that most likely has their shared parts cached.
    pub homes: bool,
    /// In large failure domains one node reads the store for all; if off, each node does.
    pub relays: bool,
    /// Long prompts go to the engine with the fewest queued prompt tokens among the first homes.
    pub scheduling: bool,
    /// Homes are assigned in proportion to the number of workers in each failure domain.
    pub weighted_homes: bool,
    /// Failing targets are temporarily ejected.
    pub ejection: bool,
    /// Requests to targets that are silent for too long are moved to another target.
    pub patience: bool,
    /// Requests go through a peer while this node reaches no target; if off, they are refused.
    pub proxying: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            pooling: true,
            admission: true,
            shedding: true,
            overdue_calls: true,
            ranks: true,
            affinity: true,
            late_starts: true,
            early_free: true,
            recompute: true,
            homes: true,
            relays: true,
            scheduling: true,
            weighted_homes: true,
            ejection: true,
            patience: true,
            proxying: true,
        }
    }
}
