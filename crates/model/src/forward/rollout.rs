//! Rollouts of a service's version: the operator's orders, their state, and the messages between
//! nodes while one is active.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::member::NodeId;

/// State of a rollout order in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Ordered by the operator and not yet marked as active in the store.
    Ordered,
    /// In progress.
    Active,
    /// All requests go to the new version, and the old targets were stopped.
    Completed,
    /// The new version receives no more requests.
    RolledBack,
}

impl RolloutState {
    /// Whether the state is final.
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

/// Order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service.
    pub service: Name,
    /// Version that it is to move to.
    pub version: Name,
    /// Maximum duration of the rollout in milliseconds, counted from the order.
    pub lasts_ms: u64,
    /// State of the order.
    pub state: RolloutState,
    /// Revision of the store at which the order or its state last changed.
    pub revision: u64,
    /// Distinguishes store objects that were created one after the other with the same name.
    pub made: u64,
}

impl Rollout {
    /// Whether this is a new order since `previous`: the object was recreated, the state was
    /// reverted, or the revision changed but neither state nor duration did. Each state is written
    /// once, so an order that became active twice was ended in between. An order whose revision is
    /// 0 was known before the store was restored; its operator repeats it as it was.
    pub fn is_new_order(&self, previous: &Rollout) -> bool {
        if previous.revision == 0 || self.revision <= previous.revision || self.state.is_final() {
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

    /// Identity of the order, known to this node since the revision `since`.
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

/// Identity of an order; the same version may be ordered again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutId {
    /// Service.
    pub service: Name,
    /// Version that it is to move to.
    pub version: Name,
    /// Creation mark of the order's object; see [`Rollout::made`].
    pub made: u64,
    /// First revision at which the sender knows the order.
    pub since: u64,
    /// Latest revision at which the sender knows the order.
    pub at: u64,
}

impl RolloutId {
    /// Whether both orders move the same service to the same version.
    pub fn has_same_version(&self, other: &RolloutId) -> bool {
        self.service == other.service && self.version == other.version
    }

    /// Whether both certainly identify the same order: revisions of two orders never overlap.
    pub fn is_same(&self, other: &RolloutId) -> bool {
        let overlaps = self.since <= other.at && other.since <= self.at;
        self.has_same_version(other) && overlaps && self.made == other.made
    }
}

/// All rollout orders at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Revision of the store.
    pub at: u64,
    /// Orders, at most one per service.
    pub orders: Vec<Rollout>,
    /// Services whose order exists but cannot be parsed.
    pub unreadable: Vec<Name>,
    /// Versions whose orders were removed, as remembered by the sender.
    pub withdrawn: Vec<Withdrawn>,
}

/// Version whose order was withdrawn or replaced before it was completed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// Service.
    pub service: Name,
    /// Version.
    pub version: Name,
    /// Whether it was rolled back. If not, its end was not observed: it may have been completed
    /// and be the only serving version since.
    pub was_bad: bool,
    /// First revision of the list without the order.
    pub at: u64,
}

/// Version of a service that a request goes to during a rollout.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Side {
    /// Serving version.
    #[default]
    Serving,
    /// Trial version.
    Trial,
}

/// Share of the requests that the new version receives.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Each request goes there independently with this probability.
    Share(f64),
    /// All requests go there; the old version receives no new ones.
    All,
    /// Rolled back: no request goes there any more.
    Back,
}

/// Observed answers of one version on one route. Times are counted in buckets: the first ends at
/// one millisecond, each further one at √2 times the previous bound.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Number of requests sent.
    pub sent: u32,
    /// Number of answers that count as failures of the version.
    pub bad: u32,
    /// Number of good answers per time bucket.
    pub times: Vec<u32>,
}

/// Evidence of one node on one route since the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Name of the route or stage service.
    pub route: Name,
    /// Answers of the serving version.
    pub serving: Answers,
    /// Answers of the trial version.
    pub trial: Answers,
}

/// Report of a node's evidence to the judge. Counts are cumulative since the order, so a lost
/// report does no harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Reporting node.
    pub node: NodeId,
    /// The order.
    pub order: RolloutId,
    /// Time since the node first observed the order, in milliseconds.
    pub age_ms: u64,
    /// Phase that the node applies.
    pub phase: Phase,
    /// Number of the node's requests that are still open at targets of the serving version.
    pub open: u32,
    /// Evidence by route.
    pub evidence: Vec<RouteEvidence>,
}

/// Answer of the judge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutAnswer {
    /// The order.
    pub order: RolloutId,
    /// Phase to apply from now on.
    pub phase: Phase,
    /// Time since any node first observed the order, in milliseconds.
    pub age_ms: u64,
}
