//! Which nodes still use the version that serves.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::forward::{Phase, RolloutReport};
use model::member::NodeId;

/// Time without a report after which a node does not answer; several reports may be lost.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time between two events of a judge that was not paused.
const MAX_EVENT_GAP: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct LastReport {
    at: Time,
    is_drained: bool,
}

/// Nodes as the judge knows them.
#[derive(Debug)]
pub struct Nodes {
    /// Those that are up, and since when that is known: one that has just started is not
    /// silent because nothing was last_event of it yet.
    up: BTreeMap<NodeId, Time>,
    last: BTreeMap<NodeId, LastReport>,
    /// When the judge last last_event anything, and since when it did so without a pause: what did
    /// not reach a judge that was paused does not make a node silent.
    last_event: Time,
    awake_since: Time,
}

impl Nodes {
    /// None is known.
    pub fn new(now: Time) -> Self {
        Nodes { up: BTreeMap::new(), last: BTreeMap::new(), last_event: now, awake_since: now }
    }

    /// The judge runs.
    pub fn note_event(&mut self, now: Time) {
        if now.since(self.last_event) > MAX_EVENT_GAP {
            self.awake_since = now;
        }
        self.last_event = now;
    }

    /// These are up. One that is not goes on counting until it is known to have started anew:
    /// it may be cut off and still use the old version.
    pub fn set_up(&mut self, up: Vec<NodeId>, now: Time) {
        let before = std::mem::take(&mut self.up);
        let since = |id: &NodeId| before.get(id).copied().unwrap_or(now);
        self.up = up.into_iter().map(|id| (id.clone(), since(&id))).collect();
        let starts: BTreeMap<_, _> = self.up.keys().map(|id| (&id.name, id.start)).collect();
        self.last.retain(|id, _| starts.get(&id.name).is_none_or(|start| *start == id.start));
    }

    /// A node told how it works.
    pub fn record_report(&mut self, report: &RolloutReport, now: Time) {
        let is_drained = report.phase == Phase::All && report.open == 0;
        self.last.insert(report.node.clone(), LastReport { at: now, is_drained });
    }

    /// A node does not know the order as it is now.
    pub fn mark_outdated(&mut self, node: NodeId, now: Time) {
        self.last.insert(node, LastReport { at: now, is_drained: false });
    }

    /// Whether no node that answers uses the old version any more, all requests going to the
    /// new one `since`.
    pub fn are_drained(&self, since: Time, now: Time) -> bool {
        let from = since.max(self.awake_since);
        let is_silent = |at: Time| now.since(at.max(from)) > REPORT_TIMEOUT;
        let is_done = |id: &NodeId| match self.last.get(id) {
            Some(last) => last.is_drained || is_silent(last.at),
            None => self.up.get(id).is_none_or(|since| is_silent(*since)),
        };
        !self.up.is_empty() && self.up.keys().chain(self.last.keys()).all(is_done)
    }
}
