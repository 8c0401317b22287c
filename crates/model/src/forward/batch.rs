//! Messages between forwarding nodes and batch coordinators.
//!
//! A node sends the pieces of one stage of a request to the batch coordinator of the stage's
//! service, which fills calls with pieces of many requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Allowed, Rank, TargetId};
use crate::Name;
use crate::member::NodeId;

/// Minimum size of a large result. Large results are made in the failure domain that needs them
/// and as late as possible, because moving or storing them costs more than the call.
pub const LARGE_RESULT_BYTES: u64 = 1 << 20;

/// Handle of a result stored at the worker that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handle {
    /// Worker that made and stores the result.
    pub maker: TargetId,
    /// Identifier that the worker assigned.
    pub text: String,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageInput {
    /// Key, for stages without predecessors.
    Key(Name),
    /// Handles of earlier results.
    Handles(Arc<[String]>),
}

/// Order for one piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceOrder {
    /// Attempt that the piece belongs to.
    pub attempt: Name,
    /// Position of the stage in its route.
    pub stage: usize,
    /// Position of the piece in its stage.
    pub piece: u32,
    /// Time left in milliseconds, if it is passed to the worker.
    pub left_ms: Option<u64>,
    /// Input of the piece.
    pub input: StageInput,
}

/// Pool: the workers of a service that share a batch coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId {
    /// Service of the workers.
    pub service: Name,
    /// Region of the workers; `None` if the pool spans all regions.
    pub region: Option<Name>,
}

/// Queue that an order waits in: its pool, and what determines whether the order may spill to
/// another region.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QueueId {
    /// Pool whose workers serve the queue.
    pub pool: PoolId,
    /// Regions that the order may spill to.
    pub allowed: Allowed,
    /// Whether its results are too large to spill.
    pub is_large: bool,
}

impl QueueId {
    /// Queue of an order with results of this size. A pool that spans all regions never spills.
    pub fn new(pool: PoolId, allowed: &Allowed, result_bytes: u64) -> Self {
        let by_region = pool.region.is_some();
        let allowed = if by_region { allowed.clone() } else { Allowed::ANY };
        QueueId { pool, allowed, is_large: by_region && result_bytes >= LARGE_RESULT_BYTES }
    }

    /// Whether orders in this queue wait at most as long as those in `other`, because they may
    /// spill to at least the same regions.
    pub fn waits_no_longer_than(&self, other: &QueueId) -> bool {
        let allows_as_much = self.allowed.is_any() || self.allowed == other.allowed;
        self.pool == other.pool && allows_as_much && (!self.is_large || other.is_large)
    }
}

/// Order for all pieces of one stage of a request. Shared fields are sent once, because orders
/// cross the coordinator's narrow link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchOrder {
    /// Service that makes the pieces.
    pub service: Name,
    /// Attempt that the pieces belong to.
    pub attempt: Name,
    /// Position of the stage in its route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of each piece.
    pub input: StageInput,
    /// Time until the first event is due, in milliseconds.
    pub slack_ms: u64,
    /// Time until the request ends unanswered, in milliseconds.
    pub left_ms: u64,
    /// Rank of the request.
    pub rank: Rank,
    /// Regions in which the pieces may be made.
    pub allowed: Allowed,
    /// Region whose workers are to make the pieces; `None` for any region.
    pub region: Option<Name>,
    /// Whether the order was spilled from another region; it is not spilled again.
    pub spilled: bool,
    /// Failure domain where the inputs are stored or the results are needed.
    pub near: Option<Name>,
    /// Bytes moved between failure domains if the pieces are made in another one.
    pub moved_bytes: u64,
    /// Bytes moved later if the results are spread over several failure domains.
    pub spread_bytes: u64,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Nodes that rank before the receiver but did not answer or are stopping.
    pub skipped: Vec<NodeId>,
    /// Whether a node forwarded the order because another node ranks before it.
    pub passed_on: bool,
}

impl BatchOrder {
    /// Pool whose workers are to make the pieces.
    pub fn pool(&self) -> PoolId {
        PoolId { service: self.service.clone(), region: self.region.clone() }
    }

    /// Queue that the order waits in.
    pub fn queue(&self) -> QueueId {
        QueueId::new(self.pool(), &self.allowed, self.result_bytes)
    }

    /// The order with its remaining times reduced by `elapsed`.
    pub fn with_elapsed(self, elapsed: Duration) -> Self {
        let elapsed_ms = elapsed.as_millis() as u64;
        BatchOrder {
            left_ms: self.left_ms.saturating_sub(elapsed_ms),
            slack_ms: self.slack_ms.saturating_sub(elapsed_ms),
            ..self
        }
    }

    /// Order for one of the pieces, with this time left.
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

/// Outcome of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceResult {
    /// The result was made.
    Made(Handle),
    /// An input was lost; the preceding stage must be rerun.
    InputGone,
    /// The worker had no space for the result.
    NoRoom,
    /// The deadline of the piece passed.
    Late,
    /// No worker was able to make it.
    Failed,
}

/// Answer to a [`BatchOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// Outcomes of the pieces, in the order of the pieces.
    pub results: Vec<PieceResult>,
    /// Current queueing times of new orders.
    pub waits: Waits,
    /// Node at which the results are to be freed, if not the answering one.
    pub coordinator: Option<SocketAddr>,
    /// Region of the workers that made the pieces, if each region has its own pool.
    pub region: Option<Name>,
}

/// Expected queueing times of new orders at a coordinator in milliseconds, by rank. A rank that is
/// not listed has the wait of the next more urgent one that is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waits(pub Vec<(Rank, u32)>);

impl Waits {
    /// Wait reported when no worker is available.
    pub const NOBODY: u32 = u32::MAX;

    /// Expected wait of an order of this rank, in milliseconds.
    pub fn for_rank(&self, rank: Rank) -> u32 {
        let named = self.0.iter().filter(|(r, _)| *r <= rank);
        named.max_by_key(|(r, _)| *r).map_or(0, |(_, wait)| *wait)
    }
}
