//! What is played, and what came of it.

use std::time::Duration;

use decide::rollout::Bounds;
use model::forward::{RolloutState, Side};

/// When a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultTiming {
    /// Never.
    Never,
    /// From the start.
    AtOnce,
    /// From this part of the order's time on.
    From(f64),
    /// While it gets more than this part of the requests.
    Above(f64),
    /// On the first of the routes.
    OneRoute,
}

/// What a bad version does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Fails this part of the answers.
    Fails(f64),
    /// Takes so many times as long for two answers of five.
    Slow(f64),
}

/// What judges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// The sequential tests of the judge and the nodes.
    Sequential,
    /// Fixed counts over the whole time, for comparison: of fifty answers on trial, of a route
    /// or of all, a tenth more are bad than of the version that serves. The judge sees no bad
    /// answer then, and is told of the verdict by a report.
    FixedCounts,
}

/// Bad answers and all, as `Way::FixedCounts` counts them; by route, then of all.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerCounts {
    serving: (f64, f64),
    trial: (f64, f64),
}

impl AnswerCounts {
    pub(super) fn take(&mut self, side: Side, is_bad: bool) {
        let of = if side == Side::Trial { &mut self.trial } else { &mut self.serving };
        of.0 += f64::from(u8::from(is_bad));
        of.1 += 1.0;
    }

    pub(super) fn is_bad(&self) -> bool {
        let share = |of: (f64, f64)| of.0 / of.1.max(1.0);
        self.trial.1 >= 50.0 && share(self.trial) >= share(self.serving) + 0.1
    }
}

/// How the pieces of a call are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountMode {
    /// A call with one that failed is a failure.
    Whole,
    /// Each is an answer.
    Pieces,
    /// A call is one answer, a failure as far as its pieces are.
    Parts,
}

/// Requests that are calls of several pieces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Calls {
    pub count: CountMode,
    /// Pieces of a call: of the version that serves, of the one on trial.
    pub pieces: (u32, u32),
    /// Part of the calls whose pieces all share one fate.
    pub shared: f64,
}

/// One roll-out.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub method: Method,
    pub seed: u64,
    pub lasts_ms: u64,
    pub rate: f64,
    pub nodes: usize,
    pub routes: usize,
    pub when: FaultTiming,
    pub fault: Fault,
    /// Part of the answers that fail whatever the version.
    pub noise: f64,
    /// Part of the reports and of their answers that is lost.
    pub lost: f64,
    /// Part of the writes whose answer is lost; half of them land later or never.
    pub lost_writes: f64,
    /// Nodes that restart in each second.
    pub restarts: f64,
    /// Requests are calls of several pieces.
    pub calls: Option<Calls>,
    /// From when to when half of the nodes are cut off from the others, with a judge each.
    pub cut_ms: Option<(u64, u64)>,
}

impl Case {
    /// Undisturbed, four routes.
    pub fn plain(seed: u64, rate: f64, nodes: usize, when: FaultTiming, fault: Fault) -> Self {
        Case {
            method: Method::Sequential,
            seed,
            lasts_ms: 60_000,
            rate,
            nodes,
            routes: 4,
            when,
            fault,
            noise: 0.002,
            lost: 0.0,
            lost_writes: 0.0,
            restarts: 0.0,
            calls: None,
            cut_ms: None,
        }
    }
}

/// Bounds of the tests.
pub const BOUNDS: Bounds =
    Bounds { share: 0.1, slack: 50, rollback_within: Duration::from_millis(5000) };

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests from the order to the deadline, and those of them to the version on trial.
    pub sent: u64,
    pub trial_sent: u64,
    /// Final states that the store took, with the time and the requests that were open at the
    /// old version then, of nodes in touch with the writer.
    pub ends: Vec<(RolloutState, u64, u32)>,
    /// When it turned bad, and the requests that it got from then on.
    pub bad_from_ms: Option<u64>,
    pub sent_while_bad: u64,
    /// Requests to the version sent later than `back` after the fiftieth bad answer.
    pub sent_late: u64,
    /// When the version got its last request.
    pub last_tried_ms: u64,
    /// Judgements: time and cause.
    pub judged: Vec<(u64, &'static str)>,
    /// Greatest chance that was in force.
    pub max_share: f64,
}

impl Outcome {
    pub fn state(&self) -> Option<RolloutState> {
        self.ends.last().map(|(state, _, _)| *state)
    }

    pub fn cap(&self) -> f64 {
        BOUNDS.share * self.sent as f64 + f64::from(BOUNDS.slack)
    }
}
