//! Which nodes still use the serving version.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::forward::{Phase, RolloutReport};
use model::member::NodeId;

/// Time without a report after which a node counts as silent; allows for several lost reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest gap between two events of a judge that was not paused.
const MAX_EVENT_GAP: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct LastReport {
    at: Time,
    is_drained: bool,
}

/// Nodes that the judge knows.
#[derive(Debug)]
pub struct Nodes {
    /// Nodes that are up, and since when that is known: a node that has just started is not silent
    /// for lack of a report.
    up: BTreeMap<NodeId, Time>,
    last: BTreeMap<NodeId, LastReport>,
    /// Time of the judge's last event, and since when it has run without a pause: reports that a
    /// paused judge missed do not make a node silent.
    last_event: Time,
    awake_since: Time,
}

impl Nodes {
    /// Starts without any node.
    pub fn new(now: Time) -> Self {
        Nodes { up: BTreeMap::new(), last: BTreeMap::new(), last_event: now, awake_since: now }
    }

    /// Notes an event of the judge, to detect pauses.
    pub fn record_event(&mut self, now: Time) {
        if now.since(self.last_event) > MAX_EVENT_GAP {
            self.awake_since = now;
        }
        self.last_event = now;
    }

    /// Sets the nodes that are up. A node that is down still counts until it is known to have
    /// restarted: it may be partitioned and still use the old version.
    pub fn set_up(&mut self, up: Vec<NodeId>, now: Time) {
        let before = std::mem::take(&mut self.up);
        let since = |id: &NodeId| before.get(id).copied().unwrap_or(now);
        self.up = up.into_iter().map(|id| (id.clone(), since(&id))).collect();
        let starts: BTreeMap<_, _> = self.up.keys().map(|id| (&id.name, id.start)).collect();
        self.last.retain(|id, _| starts.get(&id.name).is_none_or(|start| *start == id.start));
    }

    /// Records a node's report on this order.
    pub fn record_report(&mut self, report: &RolloutReport, now: Time) {
        let is_drained = report.phase == Phase::All && report.open == 0;
        self.last.insert(report.node.clone(), LastReport { at: now, is_drained });
    }

    /// Records that a node does not know the current order yet.
    pub fn mark_outdated(&mut self, node: NodeId, now: Time) {
        self.last.insert(node, LastReport { at: now, is_drained: false });
    }

    /// Whether no responsive node uses the old version any more, given that all requests go to the
    /// new one since `since`.
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
