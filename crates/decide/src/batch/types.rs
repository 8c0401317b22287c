//! Events and actions of the batch coordinator.

use std::time::Duration;

use model::Name;
use model::forward::{BatchOrder, Handle, PieceOrder, PieceResult, TargetId};

/// Identifies an order at one coordinator.
pub type OrderId = u64;

/// A worker as announced to the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Identity, including its start.
    pub id: TargetId,
    /// Failure domain of the worker.
    pub domain: Name,
    /// Region of the failure domain, if known.
    pub region: Option<Name>,
    /// Minimum interval between calls if the worker is cold or rate limited; [`Duration::MAX`] if
    /// it gets none.
    pub gap: Option<Duration>,
    /// Maximum number of pieces in a call, if lower than for other workers.
    pub max_pieces: Option<usize>,
    /// Maximum share of all pieces for the workers of this version while it is on trial.
    pub share: Option<f64>,
}

/// Input of the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A new order.
    Order {
        /// Assigned by the caller.
        id: OrderId,
        /// Service, pieces and time limits.
        order: BatchOrder,
        /// Whether the order must not be handed over.
        pinned: bool,
    },
    /// The caller has abandoned the order.
    Cancel(OrderId),
    /// A call ended.
    CallEnded(u64, CallEnd),
    /// The worker of a call has been silent for too long; its answer is still awaited.
    CallSilent(u64),
    /// Snapshot of all workers that may get calls.
    Workers(Vec<WorkerInfo>),
    /// Difference from the last announced workers.
    WorkersChanged {
        /// Workers that were added or changed.
        updated: Vec<WorkerInfo>,
        /// Workers that may get no more calls.
        removed: Vec<TargetId>,
    },
    /// Result of a probe: whether the worker answered.
    Probed(TargetId, bool),
    /// These results are being freed.
    Freed(Vec<Handle>),
    /// This node stops or is no longer the preferred coordinator: unstarted orders move to another
    /// one.
    HandOver,
    /// Time has passed.
    Tick,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The worker returned a result for each piece.
    Answered(Vec<PieceResult>),
    /// The worker was full and refused the call.
    Full,
    /// The worker was unreachable or returned no valid response.
    Failed,
}

/// A call to send to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call at this coordinator.
    pub number: u64,
    /// Worker that runs the call.
    pub worker: TargetId,
    /// Pieces to compute, at most a full batch.
    pub pieces: Vec<PieceOrder>,
}

/// Output of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a call.
    Start(Call),
    /// A call is overdue; its missing pieces have been requeued.
    Overdue {
        /// Number of the call.
        number: u64,
        /// Worker that runs it.
        worker: TargetId,
        /// Number of pieces requeued.
        repeated: usize,
        /// Time since the call started.
        age: Duration,
        /// Age from which it counts as overdue.
        limit: Duration,
    },
    /// Probe a worker that failed.
    Probe(TargetId),
    /// Answer an order with a result for each piece.
    Answer(OrderId, Vec<PieceResult>),
    /// Place an order with another coordinator.
    HandOver(OrderId),
    /// Free results that are no longer needed.
    Free(Vec<Handle>),
}
