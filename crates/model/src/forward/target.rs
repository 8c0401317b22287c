//! Targets as discovery reports them, and what nodes tell each other of them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Rollouts;
use crate::Name;

/// Identity of one start of a target. A target that starts again may keep its name; it then
/// holds and knows nothing of before, so nothing that is believed of an earlier start holds.
///
/// Starts are told by clocks that may step: they are compared for equality, and for order only
/// where nothing else tells which of two targets is older.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    /// Name, found nowhere else at one time.
    pub name: Name,
    /// Unix time of the start in milliseconds, as the target tells it; 0 if it does not.
    pub start: u64,
}

impl TargetId {
    /// The start of a target at this Unix time in milliseconds.
    pub fn new(name: impl Into<Name>, start: u64) -> Self {
        TargetId { name: name.into(), start }
    }
}

/// A target that does not tell when it started.
impl From<&str> for TargetId {
    fn from(name: &str) -> Self {
        TargetId::new(name, 0)
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)
    }
}

/// One start of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identity.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens; another target may have had the address before.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Version of its software.
    #[serde(default)]
    pub version: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is to get no new work.
    pub draining: bool,
    /// Milliseconds for which it is still cold: it bears few requests a second until then.
    #[serde(default)]
    pub cold_ms: u64,
    /// Revision of the store at which its entry last changed.
    #[serde(default)]
    pub revision: u64,
}

/// The failure domains whose targets are to get nothing new, as the store had them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision of the store at which this was so.
    pub at: u64,
    /// The failure domains, in order.
    pub domains: Vec<Name>,
}

/// All targets' entries, as the store had them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Those that can be read.
    pub targets: Vec<Target>,
    /// Names of those that are there but cannot be read.
    pub unreadable: Vec<Name>,
}

/// A list whose entries can all be read.
impl From<Vec<Target>> for TargetList {
    fn from(targets: Vec<Target>) -> Self {
        TargetList { targets, unreadable: Vec::new() }
    }
}

/// What became of one target's entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// It is like this now.
    Now(Target),
    /// It is there but cannot be read: the target gets nothing new, what it has goes on.
    Unreadable(Name),
    /// It is gone.
    Gone(Name),
}

/// Asks a peer for the targets as the store has them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowAsk {
    /// Revision of the store that the asking node is at; 0 if it knows none.
    pub at: u64,
    /// Version of its rules.
    pub rules: u64,
    /// Revision of the store at which it knows the evacuations; `None` if it knows none.
    pub evacuations: Option<u64>,
    /// Revision of the store at which it knows the roll-outs; `None` if it knows none.
    pub rollouts: Option<u64>,
    /// Milliseconds for which the answer may be held back until there is news.
    pub wait_ms: u64,
    /// Whether it may be held back too until the peer is in touch with the store: the
    /// asking node knows nobody who is.
    pub patient: bool,
}

/// What a peer knows of the targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// Revision that it is at.
    pub at: u64,
    /// Milliseconds since the store last confirmed that.
    pub age_ms: u64,
    /// The peer's own source fails it, which for a relay is the store alone.
    pub out_of_touch: bool,
    /// Milliseconds for which entries that vanished are still doubted, since the store was
    /// out of reach a while ago.
    pub doubt_ms: u64,
    /// Version of the peer's rules.
    pub rules: u64,
    /// Milliseconds since the store last confirmed them.
    pub rules_age_ms: u64,
    /// Evacuations as the peer knows them; `None` if it has not read them yet.
    pub evacuations: Option<Evacuations>,
    /// Roll-outs as the peer knows them; `None` if it has not read them yet.
    pub rollouts: Option<Rollouts>,
    /// What the asking node lacks.
    pub news: TargetNews,
}

impl TargetChange {
    /// Name of the target.
    pub fn name(&self) -> &Name {
        match self {
            TargetChange::Now(target) => &target.id.name,
            TargetChange::Unreadable(name) | TargetChange::Gone(name) => name,
        }
    }
}

/// What a node that follows a peer lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetNews {
    /// The peer has not read the targets yet.
    Unknown,
    /// All targets, in place of those known.
    Whole(TargetList),
    /// Changes, oldest first.
    Changes(Vec<TargetChange>),
}
