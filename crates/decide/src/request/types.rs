//! What the request machine is given, hears and wants done.

use std::time::Duration;

use model::answer::Piece;
use model::attempt::{Attempt, Frame};
use model::claim::ClaimEnd;
use model::key::Key;
use model::outcome::{Final, Reason};
use model::{Name, Time};

/// One step as the machine needs it.
#[derive(Debug, Clone)]
pub struct StepPlan {
    /// Name of the step.
    pub name: Name,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether another target can go on from text already delivered.
    pub continuable: bool,
    /// Longest silence of an attempt before it is given up.
    pub timeout: Duration,
    /// When to send a second attempt beside the first, if ever.
    pub hedge: Option<Duration>,
    /// Cost of a second of a target.
    pub cost: f64,
}

/// One request as the machine needs it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Request id.
    pub request: Name,
    /// Steps in order; at least one.
    pub steps: Vec<StepPlan>,
    /// When the answer is due.
    pub deadline: Time,
    /// When nobody waits any longer; not before the deadline.
    pub expires: Time,
    /// The caller's key, needed if a step is not repeatable.
    pub key: Option<Key>,
    /// Whether pieces go to the caller as they come.
    pub streamed: bool,
    /// Seed for jitter.
    pub seed: u64,
}

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The request was admitted.
    Start,
    /// The claim ended.
    Claim(ClaimEnd),
    /// The router chose a target.
    TargetPicked(Name),
    /// The router has none; asking again makes sense after this time.
    NoTarget(Duration),
    /// This attempt certainly did not reach its target, or was refused unrun.
    NotSent {
        /// Attempt.
        attempt: Attempt,
        /// Why.
        reason: Reason,
    },
    /// A frame arrived.
    Frame(Frame),
    /// The stream of this attempt ended or broke.
    Closed {
        /// Attempt.
        attempt: Attempt,
        /// Why.
        reason: Reason,
    },
    /// Time passed.
    Tick,
    /// The caller went away.
    CallerGone,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Claim the key.
    Claim(Key),
    /// Choose a target for a step, none of `tried` if it can be helped.
    PickTarget {
        /// Step.
        step: usize,
        /// Targets that failed this step.
        exclude: Vec<Name>,
    },
    /// Send an attempt.
    Send {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: Name,
        /// First frame wanted.
        from: u64,
        /// Attempt at the same target to resume.
        resume: Option<Attempt>,
        /// Time left.
        budget: Duration,
    },
    /// Stop an attempt that nobody waits for.
    Cancel {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: Name,
    },
    /// Give the caller a piece.
    Emit(Piece),
    /// Send [`Event::Tick`] at this time.
    WakeAt(Time),
    /// The request has ended.
    Finish(Final),
}

/// Says whether a step's budget has a retry left, and takes it.
pub trait RetryPolicy {
    /// Takes one retry of `step`.
    fn allow_retry(&mut self, step: usize) -> bool;
}
