//! What a batch coordinator hears and wants done.

use std::time::Duration;

use model::Name;
use model::forward::{BatchOrder, Handle, PieceOrder, PieceResult, TargetId};

/// Number of an order at this coordinator.
pub type OrderId = u64;

/// A worker as the coordinator is told of it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Target.
    pub id: TargetId,
    /// Failure domain.
    pub domain: Name,
    /// Region of that, if it is known.
    pub region: Option<Name>,
    /// Least time between two calls, if it is cold or names a limit; [`Duration::MAX`] if it gets
    /// none.
    pub gap: Option<Duration>,
    /// Most pieces of a call, if it takes fewer than others.
    pub max_pieces: Option<usize>,
    /// Part of all pieces that workers of its version may get, if that is on trial beside another
    /// one.
    pub share: Option<f64>,
}

/// What the coordinator hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Pieces are ordered. A `pinned` order is not handed over.
    Order {
        /// Number of the order.
        id: OrderId,
        /// The order.
        order: BatchOrder,
        /// Whether it stays here whatever happens.
        pinned: bool,
    },
    /// Nobody waits for an order any more.
    Cancel(OrderId),
    /// A call came to an end.
    CallEnded(u64, CallEnd),
    /// All workers that may get calls.
    Workers(Vec<WorkerInfo>),
    /// Workers that came or changed, and those that get no calls any more.
    WorkersChanged {
        /// Those that may get calls.
        updated: Vec<WorkerInfo>,
        /// Those that may not.
        removed: Vec<TargetId>,
    },
    /// A worker gave a sign of life, or none.
    Probed(TargetId, bool),
    /// Results are no longer wanted and are being freed.
    Freed(Vec<Handle>),
    /// Time passed, and this node stops or does not come first any more: orders that no
    /// call has taken yet go to another coordinator.
    HandOver,
    /// Time passed.
    Tick,
}

/// How a call came to an end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The worker answered for each piece.
    Answered(Vec<PieceResult>),
    /// The worker was full and did nothing.
    Full,
    /// The worker could not be reached, or gave no usable answer.
    Failed,
}

/// A call to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number.
    pub number: u64,
    /// Worker.
    pub worker: TargetId,
    /// Pieces.
    pub pieces: Vec<PieceOrder>,
}

/// What the coordinator wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make a call.
    Start(Call),
    /// A call is later than nearly all: what is still wanted of it is asked for once more.
    Overdue {
        /// Call.
        number: u64,
        /// Its worker.
        worker: TargetId,
        /// Pieces that are asked for again.
        repeated: usize,
        /// How long it has been under way.
        age: Duration,
        /// When it counted as overdue.
        limit: Duration,
    },
    /// Ask a worker that failed for a sign of life.
    Probe(TargetId),
    /// Answer an order.
    Answer(OrderId, Vec<PieceResult>),
    /// An order is to be placed with another coordinator.
    HandOver(OrderId),
    /// Results that nobody waits for: free them.
    Free(Vec<Handle>),
}
