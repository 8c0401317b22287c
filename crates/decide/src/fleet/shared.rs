//! Ejections that the nodes of a failure domain agree on. Nodes then take turns with probes, so
//! that a target gets the same number of them whatever the number of nodes.

use std::time::Duration;

use model::Time;
use model::forward::{Evidence, FailureKind, FailureReport, TargetId};

use super::Fleet;
use super::state::TargetState;
use crate::rng::Rng;

/// Probes per second that a target with a shared ejection gets from all nodes together.
const PROBES_PER_S: f64 = 3.0;

/// Nodes per second that return to a target which has recovered, so that not all send their next
/// request there.
const RETURNS_PER_S: f64 = 40.0;

/// Mean time between two probes of one node, if this many take turns.
fn mean_probe_interval(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes.max(1) as f64 / PROBES_PER_S)
}

/// Maximum time to a node's turn, if this many take turns.
pub fn max_probe_interval(nodes: usize) -> Duration {
    mean_probe_interval(nodes) * 2
}

/// Time in which this many nodes return to a target that has recovered.
pub fn return_time(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes.max(1) as f64 / RETURNS_PER_S)
}

impl Fleet {
    /// Whether a target was ejected and has not been shown to be healthy since.
    pub fn is_recovering(&self, id: &TargetId) -> bool {
        self.get(id).is_some_and(|t| t.is_recovering())
    }

    /// Failures of a target since its last answer.
    pub fn failure_report(&self, id: &TargetId, now: Time) -> Option<FailureReport> {
        self.get(id)?.failure_report(now)
    }

    /// What this node saw of a target since the first failure in a report.
    pub fn evidence(&self, id: &TargetId, since: Time, now: Time) -> Evidence {
        self.get(id).map_or(Evidence::Unknown, |t| t.evidence(since, now))
    }

    /// Ejects a target on the evidence of other nodes, until this node's turn to probe it, unless
    /// it has served this node since the first failure. Returns whether it is ejected.
    pub fn eject_shared(
        &mut self,
        id: &TargetId,
        kind: FailureKind,
        since: Time,
        turn: Time,
        now: Time,
    ) -> bool {
        let Some(t) = self.get_mut(id) else {
            return false;
        };
        if t.evidence(since, now) == Evidence::Served {
            return false;
        }
        // A repeated announcement must not move this node's turn.
        if !t.is_shared() {
            t.eject_shared(kind, turn, now);
        }
        true
    }

    /// Delays the next probe of a target until this node's turn if its ejection is shared.
    pub fn defer_probe(&mut self, id: &TargetId, turn: Time) {
        if let Some(t) = self.get_mut(id).filter(|t| t.is_shared()) {
            t.defer_probe(turn);
        }
    }

    /// Draws turns anew that lie further away than `max`: fewer nodes take turns than before, and
    /// some of those who left would have come first.
    pub fn redraw_turns(&mut self, max: Duration, now: Time, rng: &mut Rng) {
        let is_far = |t: &&mut TargetState| t.is_shared() && t.ejected_until > now + max;
        for t in self.all_targets_mut().filter(is_far) {
            t.ejected_until = now + rng.jitter(max);
        }
    }

    /// Brings this node's probe of a target forward, since another node has shown it to be healthy.
    /// Returns whether its ejection was shared.
    pub fn end_shared_ejection(&mut self, id: &TargetId, turn: Time, now: Time) -> bool {
        let mean_ms = self.mean_of_others(id, now);
        let Some(t) = self.get_mut(id).filter(|t| t.is_shared()) else {
            return false;
        };
        t.end_shared_ejection(turn, mean_ms, now);
        true
    }

    /// Mean latency of the other targets of a target's service, in milliseconds.
    fn mean_of_others(&self, id: &TargetId, now: Time) -> Option<f64> {
        let service = &self.get(id)?.target.service;
        let others = self.service_targets(service).filter(|t| t.target.id != *id);
        let means: Vec<f64> = others.filter_map(|t| t.answer_ms(now)).collect();
        (!means.is_empty()).then(|| means.iter().sum::<f64>() / means.len() as f64)
    }
}
