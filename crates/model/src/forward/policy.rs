//! Mechanisms of the forwarding nodes that can be switched off one by one, so that what
//! each is worth is measured by a run with other settings.

use serde::{Deserialize, Serialize};

/// Which mechanisms are on; all are by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// One coordinator batches the pieces of all nodes; off: each node batches its own.
    pub pooling: bool,
    /// Requests are refused when waits leave them too little time.
    pub admission: bool,
    /// Orders that no call took in time are ended; off: they wait until their caller leaves.
    pub shedding: bool,
    /// What is wanted of an overdue call is asked for once more.
    pub overdue_calls: bool,
    /// Batches take the higher ranks first; off: the least slack alone decides.
    pub ranks: bool,
    /// Large results are made in the failure domain that wants them.
    pub affinity: bool,
    /// Stages with large results start as late as the others allow.
    pub late_starts: bool,
    /// Results are freed at the first event; off: at the end of the stream.
    pub early_free: bool,
    /// Stages whose results are gone are made again.
    pub recompute: bool,
    /// Prompts go to the engine that most likely keeps their shared parts.
    pub homes: bool,
    /// In large failure domains one node reads the store for all; off: each node does.
    pub relays: bool,
    /// Long prompts go to the engine among the first homes that has least to read.
    pub scheduling: bool,
    /// Homes are dealt out in proportion to the makers of each failure domain.
    pub weighted_homes: bool,
    /// Targets that fail are left out for a while.
    pub ejection: bool,
    /// Targets that are silent for too long are left for another one.
    pub patience: bool,
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
        }
    }
}
