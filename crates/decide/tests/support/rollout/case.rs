//! Cases of the simulation and their outcomes.

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
    /// While it gets more than this share of the requests.
    Above(f64),
    /// On the first route only.
    OneRoute,
}

/// What a bad version does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Fails this share of the answers.
    Fails(f64),
    /// Takes this many times as long for two answers of five.
    Slow(f64),
}

/// Method of judging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// The sequential tests of the judge and the nodes.
    Sequential,
    /// Fixed counts over the whole time, for comparison: bad if, in fifty answers of the trial on
    /// one route or on all, the share of bad ones is a tenth higher than that of the serving
    /// version. The judge gets no bad answers then, and learns the verdict from a report.
    FixedCounts,
}

/// Bad answers and all answers, as [`Method::FixedCounts`] counts them; one for each route, then
/// one for all.
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
    /// A call with one failed piece is a failure.
    Whole,
    /// Each piece is an answer.
    Pieces,
    /// A call is one answer, which fails in proportion to its failed pieces.
    Parts,
}

/// Requests that are calls of several pieces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Calls {
    pub count: CountMode,
    /// Pieces of a call: serving version, trial version.
    pub pieces: (u32, u32),
    /// Share of the calls whose pieces all share one outcome.
    pub shared: f64,
}

/// One rollout.
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
    /// Share of the answers that fail with either version.
    pub noise: f64,
    /// Share of the reports and of their replies that is lost.
    pub lost: f64,
    /// Share of the writes whose response is lost; half of these are applied late or never.
    pub lost_writes: f64,
    /// Node restarts a second.
    pub restarts: f64,
    /// Requests are calls of several pieces.
    pub calls: Option<Calls>,
    /// Period in which half of the nodes are partitioned from the others, with a judge on each
    /// side.
    pub cut_ms: Option<(u64, u64)>,
}

impl Case {
    /// Four routes and no disturbances.
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

/// Bounds used by the tests.
pub const BOUNDS: Bounds =
    Bounds { share: 0.1, slack: 50, rollback_within: Duration::from_millis(5000) };

/// Outcome of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests from the order to the deadline, and those of them to the trial version.
    pub sent: u64,
    pub trial_sent: u64,
    /// Final states that the store accepted, with their time and the number of requests then open
    /// at the old version on nodes that the writer could reach.
    pub ends: Vec<(RolloutState, u64, u32)>,
    /// Time at which the version turned bad, and its requests from then on.
    pub bad_from_ms: Option<u64>,
    pub sent_while_bad: u64,
    /// Requests to the version sent later than `rollback_within` after the fiftieth bad answer.
    pub sent_late: u64,
    /// Time of the version's last request.
    pub last_tried_ms: u64,
    /// Judgements: time and cause.
    pub judged: Vec<(u64, &'static str)>,
    /// Highest share that was in force.
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
