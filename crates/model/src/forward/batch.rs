//! Orders of pieces between forwarding nodes.
//!
//! A node sends the pieces of one request's stage to the batch coordinator of the
//! stage's service, which fills calls with pieces of many requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Allowed, Rank, TargetId};
use crate::Name;
use crate::member::NodeId;

/// Bytes of one result from which on it is made where it is wanted, and as late as it may
/// be: moving it between failure domains, or letting it rest, costs more than the call.
pub const LARGE_RESULT_BYTES: u64 = 1 << 20;

/// A result that rests at its maker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handle {
    /// Target that made and keeps it.
    pub maker: TargetId,
    /// What the maker calls it.
    pub text: String,
}

/// What a piece is made from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageInput {
    /// A key; for stages that come after no other.
    Key(Name),
    /// Handles of earlier results.
    Handles(Arc<[String]>),
}

/// One piece to be made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceOrder {
    /// Attempt that the piece belongs to.
    pub attempt: Name,
    /// Position of the stage in its route.
    pub stage: usize,
    /// Position of the piece in its stage.
    pub piece: u32,
    /// Milliseconds left, if the maker is to know.
    pub left_ms: Option<u64>,
    /// What it is made from.
    pub input: StageInput,
}

/// The makers of a service that are coordinated together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId {
    /// Service.
    pub service: Name,
    /// Region in which they are; `None` if those of all regions are one pool.
    pub region: Option<Name>,
}

/// What an order waits in: the queue of a pool, and what binds whether it is passed on to
/// another region in place of waiting there.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QueueId {
    /// Makers.
    pub pool: PoolId,
    /// Regions that the order may be passed on to.
    pub allowed: Allowed,
    /// Whether its results are too large for that.
    pub is_large: bool,
}

impl QueueId {
    /// That of an order with results of this size. Where all regions are one pool, nothing is
    /// passed on.
    pub fn new(pool: PoolId, allowed: &Allowed, result_bytes: u64) -> Self {
        let by_region = pool.region.is_some();
        let allowed = if by_region { allowed.clone() } else { Allowed::ANY };
        QueueId { pool, allowed, is_large: by_region && result_bytes >= LARGE_RESULT_BYTES }
    }

    /// Whether orders in this queue wait as long as those in `other` at most: they may be
    /// passed on wherever those may.
    pub fn waits_no_longer_than(&self, other: &QueueId) -> bool {
        let allows_as_much = self.allowed.is_any() || self.allowed == other.allowed;
        self.pool == other.pool && allows_as_much && (!self.is_large || other.is_large)
    }
}

/// All pieces of one request's stage, ordered together. What they share is told once:
/// orders cross the narrow link of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchOrder {
    /// Service that makes them.
    pub service: Name,
    /// Attempt that they belong to.
    pub attempt: Name,
    /// Position of the stage in its route.
    pub stage: usize,
    /// Count of pieces.
    pub pieces: u32,
    /// What each is made from.
    pub input: StageInput,
    /// Milliseconds until the first event is due.
    pub slack_ms: u64,
    /// Milliseconds until the request ends unanswered.
    pub left_ms: u64,
    /// Rank.
    pub rank: Rank,
    /// Regions in which the pieces may be made.
    pub allowed: Allowed,
    /// Region whose makers are to make them; `None` if those of any.
    pub region: Option<Name>,
    /// Whether another region passed the order on to this one; it is not passed on again.
    pub spilled: bool,
    /// Failure domain where the inputs lie or the results are wanted.
    pub near: Option<Name>,
    /// Bytes that cross failure domains if the pieces are made elsewhere.
    pub moved_bytes: u64,
    /// Bytes that cross later if the results lie in several failure domains.
    pub spread_bytes: u64,
    /// About the size of one result, in bytes.
    pub result_bytes: u64,
    /// Nodes that would have been asked first but did not answer, or stop.
    pub skipped: Vec<NodeId>,
    /// Whether a node has passed the order on, since it did not come first itself.
    pub passed_on: bool,
}

impl BatchOrder {
    /// Makers that are to make the pieces.
    pub fn pool(&self) -> PoolId {
        PoolId { service: self.service.clone(), region: self.region.clone() }
    }

    /// What the order waits in.
    pub fn queue(&self) -> QueueId {
        QueueId::new(self.pool(), &self.allowed, self.result_bytes)
    }

    /// The order once this time has passed.
    pub fn with_elapsed(self, elapsed: Duration) -> Self {
        let elapsed_ms = elapsed.as_millis() as u64;
        BatchOrder {
            left_ms: self.left_ms.saturating_sub(elapsed_ms),
            slack_ms: self.slack_ms.saturating_sub(elapsed_ms),
            ..self
        }
    }

    /// One piece of the order, with this time left.
    pub fn piece(&self, piece: u32, left_ms: u64) -> PieceOrder {
        PieceOrder {
            attempt: self.attempt.clone(),
            stage: self.stage,
            piece,
            left_ms: Some(left_ms),
            input: self.input.clone(),
        }
    }
}

/// What became of one piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceResult {
    /// Made.
    Made(Handle),
    /// An input is gone; the stage before must be made again.
    InputGone,
    /// The maker had no room for it.
    NoRoom,
    /// Its time was over.
    Late,
    /// No maker could make it.
    Failed,
}

/// Answer to a [`BatchOrder`], in its order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// Results.
    pub results: Vec<PieceResult>,
    /// What an order would wait now before a call takes it.
    pub waits: Waits,
    /// Where the results are to be freed, if not at the node that answers.
    pub coordinator: Option<SocketAddr>,
    /// Region whose makers made them, if they are coordinated by region.
    pub region: Option<Name>,
}

/// Expected waits of new orders at a coordinator, in milliseconds, by rank. A rank waits
/// as long as the next more urgent one that is named.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waits(pub Vec<(Rank, u32)>);

impl Waits {
    /// Told as the wait where no maker works.
    pub const NOBODY: u32 = u32::MAX;

    /// Wait of an order of this rank.
    pub fn for_rank(&self, rank: Rank) -> u32 {
        let named = self.0.iter().filter(|(r, _)| *r <= rank);
        named.max_by_key(|(r, _)| *r).map_or(0, |(_, wait)| *wait)
    }
}
