//! Inputs, events and actions of the request machine.

use std::time::Duration;

use model::answer::ChunkEvent;
use model::attempt::{Attempt, Frame};
use model::claim::ClaimOutcome;
use model::key::Key;
use model::outcome::{Reason, RequestReport};
use model::{Name, Time};

/// Execution parameters of one step.
#[derive(Debug, Clone)]
pub struct StepPlan {
    /// Name of the step.
    pub name: Name,
    /// Whether the step may run more than once.
    pub repeatable: bool,
    /// Whether another target can continue from text already delivered.
    pub continuable: bool,
    /// Time without a frame after which an attempt is abandoned.
    pub timeout: Duration,
    /// Delay after which a second, concurrent attempt is sent; `None` disables hedging.
    pub hedge: Option<Duration>,
    /// Cost per second of target time.
    pub cost: f64,
}

/// Execution parameters of one request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Request id.
    pub request: Name,
    /// Steps in execution order; at least one.
    pub steps: Vec<StepPlan>,
    /// Latest time at which the answer counts as timely.
    pub deadline: Time,
    /// Time at which the request is aborted; not before the deadline.
    pub expires: Time,
    /// Idempotency key, required if a step is not repeatable.
    pub key: Option<Key>,
    /// Whether pieces are streamed to the caller as they arrive.
    pub streamed: bool,
    /// Seed for jitter.
    pub seed: u64,
}

/// Input to the machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The request was admitted.
    Start,
    /// Result of [`Action::Claim`].
    Claim(ClaimOutcome),
    /// The router selected a target.
    TargetPicked(Name),
    /// The router has no target available; retry after this time.
    NoTarget(Duration),
    /// The attempt certainly did not run: it did not reach its target or was refused.
    NotSent {
        /// Attempt.
        attempt: Attempt,
        /// Cause.
        reason: Reason,
    },
    /// A frame was received.
    Frame(Frame),
    /// The stream of the attempt ended or broke.
    Closed {
        /// Attempt.
        attempt: Attempt,
        /// Cause.
        reason: Reason,
    },
    /// A timer fired.
    Tick,
    /// The caller disconnected.
    CallerGone,
}

/// Effect to be carried out by the caller of the machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Claim the idempotency key.
    Claim(Key),
    /// Select a target for a step.
    PickTarget {
        /// Index of the step.
        step: usize,
        /// Targets that failed this step, to be avoided if another is available.
        exclude: Vec<Name>,
    },
    /// Send an attempt.
    Send {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: Name,
        /// Sequence number of the first chunk requested.
        from: u64,
        /// Earlier attempt at the same target whose stream is resumed.
        resume: Option<Attempt>,
        /// Time left until the request is aborted.
        budget: Duration,
    },
    /// Cancel an attempt whose answer is no longer needed.
    Cancel {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: Name,
    },
    /// Stream a piece to the caller.
    Emit(ChunkEvent),
    /// Deliver [`Event::Tick`] at this time.
    WakeAt(Time),
    /// The request has ended.
    Finish(RequestReport),
}

/// Retry budget of each step.
pub trait RetryPolicy {
    /// Takes one retry or hedge from the budget of `step`; false if it is exhausted.
    fn allow_retry(&mut self, step: usize) -> bool;
}
