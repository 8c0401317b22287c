//! Which nodes still use the version that serves.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::forward::{Phase, RolloutReport};
use model::member::NodeId;

/// Time without a report after which a node does not answer; several reports may be lost.
const SILENT: Duration = Duration::from_millis(1000);
/// Longest time between two events of a judge that was not paused.
const PAUSED: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Last {
    at: Time,
    is_done: bool,
}

/// Nodes as the judge knows them.
#[derive(Debug)]
pub struct Nodes {
    /// Those that are up, and since when that is known: one that has just started is not
    /// silent because nothing was heard of it yet.
    up: BTreeMap<NodeId, Time>,
    last: BTreeMap<NodeId, Last>,
    /// When the judge last heard anything, and since when it did so without a pause: what did
    /// not reach a judge that was paused does not make a node silent.
    heard: Time,
    awake: Time,
}

impl Nodes {
    /// None is known.
    pub fn new(now: Time) -> Self {
        Nodes { up: BTreeMap::new(), last: BTreeMap::new(), heard: now, awake: now }
    }

    /// The judge runs.
    pub fn awake(&mut self, now: Time) {
        if now.since(self.heard) > PAUSED {
            self.awake = now;
        }
        self.heard = now;
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
    pub fn reported(&mut self, report: &RolloutReport, now: Time) {
        let is_done = report.phase == Phase::All && report.open == 0;
        self.last.insert(report.node.clone(), Last { at: now, is_done });
    }

    /// A node does not know the order as it is now.
    pub fn behind(&mut self, node: NodeId, now: Time) {
        self.last.insert(node, Last { at: now, is_done: false });
    }

    /// Whether no node that answers uses the old version any more, all requests going to the
    /// new one `since`.
    pub fn are_done(&self, since: Time, now: Time) -> bool {
        let from = since.max(self.awake);
        let is_silent = |at: Time| now.since(at.max(from)) > SILENT;
        let is_done = |id: &NodeId| match self.last.get(id) {
            Some(last) => last.is_done || is_silent(last.at),
            None => self.up.get(id).is_none_or(|since| is_silent(*since)),
        };
        !self.up.is_empty() && self.up.keys().chain(self.last.keys()).all(is_done)
    }
}
