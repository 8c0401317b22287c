//! Load of targets: which nodes poll them, and which changes are gossiped.
//!
//! Each target is polled by two nodes of its failure domain (rendezvous hashing). Only changes of
//! about a quarter, or of readiness, are gossiped; `leaving` takes precedence in the queue of
//! [`crate::member`]. Between reports a node adds the load that it sent itself.

use std::collections::BTreeMap;

use model::load::{TargetReport, TargetStatus};
use model::member::LoadRumor;
use model::{Name, hash};

/// Number of nodes that poll each target.
pub const POLLERS: usize = 2;
/// Flag: the target responds.
const READY: u8 = 1;
/// Flag: the target is draining (`leaving` in its report).
const DRAINING: u8 = 2;

/// Rank of `me` among the pollers of `target`, given the names of the domain's nodes; `None` if it
/// does not poll it.
pub fn poll_rank(target: &str, me: &Name, nodes: &[Name]) -> Option<usize> {
    hash::rendezvous(target, nodes.iter(), POLLERS).iter().position(|n| n == me)
}

/// Encodes a target's state for gossip.
pub fn to_rumor(state: &TargetStatus) -> LoadRumor {
    LoadRumor {
        target: key(&state.report.target),
        wait: quantize_wait(state.report.wait),
        seq: state.seq as u16,
        flags: u8::from(state.ready) * READY + u8::from(state.report.leaving) * DRAINING,
    }
}

/// Gossip key of a target's name.
pub fn key(target: &str) -> u32 {
    (hash::hash64(target.as_bytes()) >> 32) as u32
}

/// Rounds a wait so that two within about a quarter of each other are equal.
fn quantize_wait(wait: u32) -> u16 {
    let w = wait.min(60_000);
    let step = (w.next_power_of_two() / 8).max(1);
    (w / step * step) as u16
}

/// State of all targets as known to one control node.
#[derive(Debug, Default)]
pub struct LoadTable {
    names: BTreeMap<u32, Name>,
    reports: BTreeMap<Name, Entry>,
    changes: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    state: TargetStatus,
    change: u64,
}

impl LoadTable {
    /// Replaces the set of targets and drops the state of others.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Name>) {
        self.names = targets.map(|t| (key(t), t.clone())).collect();
        let names = &self.names;
        self.reports.retain(|t, _| names.get(&key(t)) == Some(t));
    }

    /// Change counter; increases with each update.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Known state of all targets.
    pub fn reports(&self) -> impl Iterator<Item = &TargetStatus> {
        self.reports.values().map(|e| &e.state)
    }

    /// Known state of one target.
    pub fn get(&self, target: &str) -> Option<&TargetStatus> {
        self.reports.get(target).map(|e| &e.state)
    }

    /// States changed after change number `since`.
    pub fn since(&self, since: u64) -> impl Iterator<Item = &TargetStatus> {
        self.reports.values().filter(move |e| e.change > since).map(|e| &e.state)
    }

    fn put(&mut self, name: Name, state: TargetStatus) {
        self.changes += 1;
        self.reports.insert(name, Entry { state, change: self.changes });
    }

    /// Records a successful poll by this node; returns a rumor if the change is worth gossiping.
    pub fn record_poll(&mut self, report: TargetReport) -> Option<LoadRumor> {
        let seq = report.seq;
        let name = report.target.clone();
        let state = TargetStatus { report, seq, ready: true, polled: true };
        let rumor = to_rumor(&state);
        let old = self.reports.get(&name).map(|e| to_rumor(&e.state));
        self.put(name, state);
        let is_same = old.is_some_and(|o| o.wait == rumor.wait && o.flags == rumor.flags);
        (!is_same).then_some(rumor)
    }

    /// Records a failed poll; returns a rumor if the target was ready before.
    pub fn record_unreachable(&mut self, target: &Name) -> Option<LoadRumor> {
        let old = self.reports.get(target).map(|e| e.state.clone());
        let was_ready = old.as_ref().is_none_or(|n| n.ready);
        let mut state = old.unwrap_or_else(|| TargetStatus {
            report: TargetReport { target: target.clone(), ..TargetReport::default() },
            seq: 0,
            ready: true,
            polled: true,
        });
        state.ready = false;
        state.seq += 1;
        let rumor = to_rumor(&state);
        self.put(target.clone(), state);
        was_ready.then_some(rumor)
    }

    /// Merges a received rumor; returns it for forwarding if it is newer than the known state.
    pub fn merge_rumor(&mut self, rumor: LoadRumor) -> Option<LoadRumor> {
        let name = self.names.get(&rumor.target)?.clone();
        let old = self.reports.get(&name).map(|e| &e.state);
        let is_newer = old.is_none_or(|o| (rumor.seq.wrapping_sub(o.seq as u16) as i16) > 0);
        if !is_newer {
            return None;
        }
        let mut report = old.map(|o| o.report.clone()).unwrap_or_default();
        let base = old.map_or(u64::from(rumor.seq), |o| {
            o.seq + u64::from(rumor.seq.wrapping_sub(o.seq as u16))
        });
        report.target = name.clone();
        report.wait = u32::from(rumor.wait);
        report.leaving = rumor.flags & DRAINING != 0;
        let ready = rumor.flags & READY != 0;
        self.put(name, TargetStatus { report, seq: base, ready, polled: false });
        Some(rumor)
    }
}
