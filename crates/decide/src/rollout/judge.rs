//! Decides one order, at the node that comes first.

use std::time::Duration;

use model::Time;
use model::forward::{Phase, Rollout, RolloutAnswer, RolloutReport, RolloutState};
use model::member::NodeId;

use super::Verdict;

/// What an operator allows of a version that may be bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Share of all requests to the service from the order to its deadline that it may get …
    pub share: f64,
    /// … and this many more.
    pub slack: u32,
    /// Time after which it gets nothing once it is seen to be bad.
    pub back: Duration,
}

/// What the judge hears.
#[derive(Debug, Clone, PartialEq)]
pub enum JudgeEvent {
    /// A node tells what it saw.
    Report(RolloutReport),
    /// Nodes that are up now.
    Nodes(Vec<NodeId>),
    /// The order as the store has it.
    Order(Rollout),
    /// Targets that may be used and are warm.
    Targets {
        /// Of the version that serves.
        serving: usize,
        /// Of the version on trial.
        trial: usize,
    },
    /// A write of a state ended; whether it stands. `false` if it was refused or its answer
    /// was lost: the order as the store has it then has to follow.
    WriteEnded(bool),
    /// Time passed.
    Tick,
}

/// What the judge asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum JudgeAction {
    /// Writes the order's state, if its revision still is that of the last `Order`.
    Write(RolloutState),
    /// The version was judged bad, for a log line.
    Judged {
        /// Why.
        verdict: Verdict,
        /// Age of the order.
        age: Duration,
    },
    /// Another phase is in force.
    Phase(Phase),
}

/// Decides one order.
#[derive(Debug)]
pub struct Judge {
    _bounds: Bounds,
    _order: Rollout,
    phase: Phase,
    age: (Duration, Time),
}

impl Judge {
    /// Takes up an order of this age.
    pub fn new(bounds: Bounds, order: Rollout, age: Duration, now: Time) -> Self {
        Judge { _bounds: bounds, _order: order, phase: Phase::Share(0.0), age: (age, now) }
    }

    /// Takes what happened; returns what is to be done.
    pub fn on(&mut self, _now: Time, _event: JudgeEvent) -> Vec<JudgeAction> {
        Vec::new()
    }

    /// What every report is answered with.
    pub fn answer(&self, now: Time) -> RolloutAnswer {
        let age = self.age.0 + now.since(self.age.1);
        RolloutAnswer { phase: self.phase, age_ms: age.as_millis() as u64 }
    }

    /// The phase in force.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When `Tick` is due next.
    pub fn next_tick(&self, now: Time) -> Time {
        now + Duration::from_millis(100)
    }
}
