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
pub fn pack(news: &TargetNews) -> LoadRumor {
    LoadRumor {
        target: key(&news.report.target),
        wait: coarse(news.report.wait),
        seq: news.seq as u16,
        flags: u8::from(news.ready) * READY + u8::from(news.report.leaving) * LEAVING,
    }
}

/// Gossip key of a target's name.
pub fn key(target: &str) -> u32 {
    (hash::of(target.as_bytes()) >> 32) as u32
}

/// Rounds a wait so that two within about a quarter of each other look the same.
fn coarse(wait: u32) -> u16 {
    let w = wait.min(60_000);
    let step = (w.next_power_of_two() / 8).max(1);
    (w / step * step) as u16
}

/// What one control node knows of all targets.
#[derive(Debug, Default)]
pub struct Board {
    names: BTreeMap<u32, Name>,
    news: BTreeMap<Name, Entry>,
    changes: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    news: TargetNews,
    change: u64,
}

impl Board {
    /// Takes the list of targets; forgets the others.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Name>) {
        self.names = targets.map(|t| (key(t), t.clone())).collect();
        let names = &self.names;
        self.news.retain(|t, _| names.get(&key(t)) == Some(t));
    }

    /// Grows with each change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Everything known.
    pub fn news(&self) -> impl Iterator<Item = &TargetNews> {
        self.news.values().map(|e| &e.news)
    }

    /// What is known of one target.
    pub fn get(&self, target: &str) -> Option<&TargetNews> {
        self.news.get(target).map(|e| &e.news)
    }

    /// What changed after the change numbered `since`.
    pub fn since(&self, since: u64) -> impl Iterator<Item = &TargetNews> {
        self.news.values().filter(move |e| e.change > since).map(|e| &e.news)
    }

    fn put(&mut self, name: Name, news: TargetNews) {
        self.changes += 1;
        self.news.insert(name, Entry { news, change: self.changes });
    }

    /// Takes this node's own poll; returns news worth passing on.
    pub fn polled(&mut self, report: Report) -> Option<LoadRumor> {
        let seq = report.seq;
        let name = report.target.clone();
        let news = TargetNews { report, seq, ready: true, polled: true };
        let rumor = pack(&news);
        let old = self.news.get(&name).map(|e| pack(&e.news));
        self.put(name, news);
        let same = old.is_some_and(|o| o.wait == rumor.wait && o.flags == rumor.flags);
        (!same).then_some(rumor)
    }

    /// A poll failed; returns news worth passing on.
    pub fn unreachable(&mut self, target: &Name) -> Option<LoadRumor> {
        let old = self.news.get(target).map(|e| e.news.clone());
        let was_ready = old.as_ref().is_none_or(|n| n.ready);
        let mut news = old.unwrap_or_else(|| TargetNews {
            report: Report { target: target.clone(), ..Report::default() },
            seq: 0,
            ready: true,
            polled: true,
        });
        news.ready = false;
        news.seq += 1;
        let rumor = pack(&news);
        self.put(target.clone(), news);
        was_ready.then_some(rumor)
    }

    /// Takes gossip; returns it if it is news to this node, to be passed on.
    pub fn heard(&mut self, rumor: LoadRumor) -> Option<LoadRumor> {
        let name = self.names.get(&rumor.target)?.clone();
        let old = self.news.get(&name).map(|e| &e.news);
        let newer = old.is_none_or(|o| (rumor.seq.wrapping_sub(o.seq as u16) as i16) > 0);
        if !newer {
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
