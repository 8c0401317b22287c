//! Load of targets: who polls which, and which changes are worth passing on.
//!
//! Each target is polled by two nodes of its failure domain (rendezvous). Only
//! a change of about a quarter, or of readiness, goes round; `leaving` jumps the
//! queue of [`crate::member`]. Between reports a node adds what it sent itself.

use std::collections::BTreeMap;

use model::load::{Report, TargetNews};
use model::member::LoadRumor;
use model::{Name, hash};

/// Nodes that poll one target.
pub const POLLERS: usize = 2;
/// Flag: the target answers.
const READY: u8 = 1;
/// Flag: the target is leaving.
const LEAVING: u8 = 2;

/// Whether `me` polls `target`, given the names of the domain's nodes; the rank
/// tells first from second.
pub fn poll_rank(target: &str, me: &Name, nodes: &[Name]) -> Option<usize> {
    hash::rendezvous(target, nodes.iter(), POLLERS).iter().position(|n| n == me)
}

/// Packs a target's state for gossip.
pub fn to_rumor(state: &TargetNews) -> LoadRumor {
    LoadRumor {
        target: key(&state.report.target),
        wait: quantize_wait(state.report.wait),
        seq: state.seq as u16,
        flags: u8::from(state.ready) * READY + u8::from(state.report.leaving) * LEAVING,
    }
}

/// Gossip key of a target's name.
pub fn key(target: &str) -> u32 {
    (hash::of(target.as_bytes()) >> 32) as u32
}

/// Rounds a wait so that two within about a quarter of each other look the same.
fn quantize_wait(wait: u32) -> u16 {
    let w = wait.min(60_000);
    let step = (w.next_power_of_two() / 8).max(1);
    (w / step * step) as u16
}

/// What one control node knows of all targets.
#[derive(Debug, Default)]
pub struct LoadTable {
    names: BTreeMap<u32, Name>,
    reports: BTreeMap<Name, Entry>,
    changes: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    state: TargetNews,
    change: u64,
}

impl LoadTable {
    /// Takes the list of targets; forgets the others.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Name>) {
        self.names = targets.map(|t| (key(t), t.clone())).collect();
        let names = &self.names;
        self.reports.retain(|t, _| names.get(&key(t)) == Some(t));
    }

    /// Grows with each change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Everything known.
    pub fn reports(&self) -> impl Iterator<Item = &TargetNews> {
        self.reports.values().map(|e| &e.state)
    }

    /// What is known of one target.
    pub fn get(&self, target: &str) -> Option<&TargetNews> {
        self.reports.get(target).map(|e| &e.state)
    }

    /// What changed after the change numbered `since`.
    pub fn since(&self, since: u64) -> impl Iterator<Item = &TargetNews> {
        self.reports.values().filter(move |e| e.change > since).map(|e| &e.state)
    }

    fn put(&mut self, name: Name, state: TargetNews) {
        self.changes += 1;
        self.reports.insert(name, Entry { state, change: self.changes });
    }

    /// Takes this node's own poll; returns news worth passing on.
    pub fn record_poll(&mut self, report: Report) -> Option<LoadRumor> {
        let seq = report.seq;
        let name = report.target.clone();
        let state = TargetNews { report, seq, ready: true, polled: true };
        let rumor = to_rumor(&state);
        let old = self.reports.get(&name).map(|e| to_rumor(&e.state));
        self.put(name, state);
        let is_same = old.is_some_and(|o| o.wait == rumor.wait && o.flags == rumor.flags);
        (!is_same).then_some(rumor)
    }

    /// A poll failed; returns news worth passing on.
    pub fn record_unreachable(&mut self, target: &Name) -> Option<LoadRumor> {
        let old = self.reports.get(target).map(|e| e.state.clone());
        let was_ready = old.as_ref().is_none_or(|n| n.ready);
        let mut state = old.unwrap_or_else(|| TargetNews {
            report: Report { target: target.clone(), ..Report::default() },
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

    /// Takes gossip; returns it if it is news to this node, to be passed on.
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
        report.leaving = rumor.flags & LEAVING != 0;
        let ready = rumor.flags & READY != 0;
        self.put(name, TargetNews { report, seq: base, ready, polled: false });
        Some(rumor)
    }
}
