//! Roll-outs of a service's version: what the operator ordered and what became of it, and what
//! nodes tell each other while one is under way.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::member::NodeId;

/// Where an order stands, as the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The operator ordered it; nobody has taken it up in the store yet.
    Ordered,
    /// It is under way.
    Active,
    /// All requests go to the new version; the old targets have been stopped.
    Completed,
    /// The new version gets nothing any more.
    RolledBack,
}

impl RolloutState {
    /// Whether nothing follows this state.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutState::Completed | RolloutState::RolledBack)
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutState::Ordered => "ordered",
            RolloutState::Active => "active",
            RolloutState::Completed => "completed",
            RolloutState::RolledBack => "rolled_back",
        }
    }
}

/// An order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service.
    pub service: Name,
    /// Version that it is to move to.
    pub version: Name,
    /// Milliseconds that the move may take, counted from the order.
    pub lasts_ms: u64,
    /// Where it stands.
    pub state: RolloutState,
    /// Revision of the store at which the order or its state last changed.
    pub revision: u64,
    /// Tells apart objects of the store that were made one after the other under one name.
    pub made: u64,
}

impl Rollout {
    /// Whether it was ordered anew since it was known like this: its object was made anew, its
    /// state went back, or something changed but neither its state nor its time. A state is
    /// written once, so that between two orders that are both under way lies an end.
    pub fn is_new_order(&self, previous: &Rollout) -> bool {
        if self.revision <= previous.revision || self.state.is_final() {
            return false;
        }
        let is_reverted = match previous.state {
            RolloutState::Ordered => false,
            RolloutState::Active => self.state == RolloutState::Ordered,
            RolloutState::Completed | RolloutState::RolledBack => true,
        };
        let is_repeated = self.state == previous.state && self.lasts_ms == previous.lasts_ms;
        is_reverted || is_repeated || self.made != previous.made
    }

    /// Names the order to a node that knows it since a revision.
    pub fn id(&self, since: u64) -> RolloutId {
        RolloutId {
            service: self.service.clone(),
            version: self.version.clone(),
            made: self.made,
            since,
            at: self.revision,
        }
    }
}

/// Which order is meant: the same version may be ordered again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutId {
    /// Service.
    pub service: Name,
    /// Version that it is to move to.
    pub version: Name,
    /// As the order has it.
    pub made: u64,
    /// First revision at which the order is known to whoever names it …
    pub since: u64,
    /// … and the newest one.
    pub at: u64,
}

impl RolloutId {
    /// Whether both name orders of one service to one version.
    pub fn has_same_version(&self, other: &RolloutId) -> bool {
        self.service == other.service && self.version == other.version
    }

    /// Whether both name one order for sure: revisions of two orders never overlap.
    pub fn is_same(&self, other: &RolloutId) -> bool {
        let overlaps = self.since <= other.at && other.since <= self.at;
        self.has_same_version(other) && overlaps && self.made == other.made
    }
}

/// All orders, as the store had them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Revision of the store at which this was so.
    pub at: u64,
    /// One order a service.
    pub orders: Vec<Rollout>,
    /// Services whose order is there but cannot be read.
    pub unreadable: Vec<Name>,
    /// Versions whose orders are gone, as the node that tells remembers them.
    pub withdrawn: Vec<Withdrawn>,
}

/// A version whose order was withdrawn or replaced before it was completed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// Service.
    pub service: Name,
    /// Version.
    pub version: Name,
    /// Whether it was taken back. If not, its end was not heard of: it may have been completed,
    /// and serve alone since.
    pub was_bad: bool,
    /// Revision of the list from which the order was gone.
    pub at: u64,
}

/// Which of a service's versions a request goes to while one is on trial.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Side {
    /// The one that serves.
    #[default]
    Serving,
    /// The one that is on trial.
    Trial,
}

/// How much of the requests the new version gets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Each request by itself goes there with this chance.
    Share(f64),
    /// All of them do, and the old version gets nothing new.
    All,
    /// None does any more.
    Back,
}

/// What was seen of one version's answers on one route; times fall into buckets, the first one
/// ending at a millisecond, each other at √2 times the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Requests sent there.
    pub sent: u32,
    /// Answers that were failures of the version.
    pub bad: u32,
    /// Good answers by time.
    pub times: Vec<u32>,
}

/// What one node saw on one route since the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Route, or stage service.
    pub route: Name,
    /// Of the version that serves.
    pub serving: Answers,
    /// Of the version on trial.
    pub trial: Answers,
}

/// Tells the node that decides what another one saw, all counted from the order on, so that a
/// lost report costs nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Start of the node that reports.
    pub node: NodeId,
    /// The order.
    pub order: RolloutId,
    /// Milliseconds since it first heard of the order.
    pub age_ms: u64,
    /// Phase that it works by.
    pub phase: Phase,
    /// Requests of its own that are still open at targets of the version that serves.
    pub open: u32,
    /// By route.
    pub evidence: Vec<RouteEvidence>,
}

/// What the node that decides answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutAnswer {
    /// The order.
    pub order: RolloutId,
    /// Phase to work by from now on.
    pub phase: Phase,
    /// Milliseconds since any node first heard of the order.
    pub age_ms: u64,
}
