//! Targets as reported by discovery, and messages between nodes about them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Rollouts;
use crate::Name;

/// Identity of one start of a target. A restarted target may keep its name but has lost its state,
/// so nothing known about an earlier start applies to it.
///
/// Start times come from clocks that may step: they are compared for equality, and for order only
/// if nothing else shows which of two targets is older.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    /// Name, unique at any one time.
    pub name: Name,
    /// Unix time of the start in milliseconds, as reported by the target; 0 if not reported.
    pub start: u64,
}

impl TargetId {
    /// Identity of a target started at this Unix time in milliseconds.
    pub fn new(name: impl Into<Name>, start: u64) -> Self {
        TargetId { name: name.into(), start }
    }
}

/// Identity of a target that does not report its start time.
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

/// Target as listed by discovery; a restart is a different target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address that it listens on; another target may have used it before.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Version of its software.
    #[serde(default)]
    pub version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is to receive no new work.
    pub draining: bool,
    /// Time for which it is still cold, in milliseconds; until then it can serve few requests per
    /// second.
    #[serde(default)]
    pub cold_ms: u64,
    /// Store revision at which its entry last changed.
    #[serde(default)]
    pub revision: u64,
}

/// Evacuated failure domains, whose targets receive no new requests, at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision of the store.
    pub at: u64,
    /// Evacuated failure domains, in order.
    pub domains: Vec<Name>,
}

/// All entries of targets in the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Targets with valid entries.
    pub targets: Vec<Target>,
    /// Names of the entries that exist but cannot be parsed.
    pub unreadable: Vec<Name>,
}

/// List of valid entries only.
impl From<Vec<Target>> for TargetList {
    fn from(targets: Vec<Target>) -> Self {
        TargetList { targets, unreadable: Vec::new() }
    }
}

/// Change of a target's entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The entry was added or changed to this.
    Now(Target),
    /// The entry exists but cannot be parsed: the target receives no new requests, and its current
    /// ones continue.
    Unreadable(Name),
    /// The entry was removed.
    Gone(Name),
}

/// Asks a peer for the targets in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowAsk {
    /// Store revision that the requesting node has; 0 if none.
    pub at: u64,
    /// Version of the requesting node's rules.
    pub rules: u64,
    /// Store revision of the evacuations that it knows; `None` if it has not received any.
    pub evacuations: Option<u64>,
    /// Store revision of the rollouts that it knows; `None` if it has not received any.
    pub rollouts: Option<u64>,
    /// Long-poll time in milliseconds: the answer may be delayed until something changes.
    pub wait_ms: u64,
    /// Whether the answer may also be delayed until the peer reaches the store, because the
    /// requesting node knows no peer that does.
    pub patient: bool,
}

/// Targets as known to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// Store revision that the peer has.
    pub at: u64,
    /// Time since the store last confirmed this revision, in milliseconds.
    pub age_ms: u64,
    /// Whether the peer's own source is failing; the source of a relay is always the store.
    pub out_of_touch: bool,
    /// Time for which removals of entries are still doubted after an outage of the store, in
    /// milliseconds.
    pub doubt_ms: u64,
    /// Version of the peer's rules.
    pub rules: u64,
    /// Time since the store last confirmed these rules, in milliseconds.
    pub rules_age_ms: u64,
    /// Evacuations known to the peer; `None` if it has not read them yet.
    pub evacuations: Option<Evacuations>,
    /// Rollouts known to the peer; `None` if it has not read them yet.
    pub rollouts: Option<Rollouts>,
    /// Targets that changed since the requesting node's revision.
    pub news: TargetNews,
}

impl TargetChange {
    /// Name of the target whose entry changed.
    pub fn name(&self) -> &Name {
        match self {
            TargetChange::Now(target) => &target.id.name,
            TargetChange::Unreadable(name) | TargetChange::Gone(name) => name,
        }
    }
}

/// Update of the targets for a node that follows a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetNews {
    /// The peer has not read the targets yet.
    Unknown,
    /// Snapshot of all targets, which replaces those known.
    Whole(TargetList),
    /// Changes, oldest first.
    Changes(Vec<TargetChange>),
}
