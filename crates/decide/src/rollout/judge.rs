//! Decides one order, on the node that is ranked first for its service.
//!
//! Two judges at once are harmless: each answers only the nodes that report to it, a state is
//! written conditionally on the order's revision, and a final state in the store ends every judge
//! whatever it decided. All state of a judge is rebuilt from the reports.

mod nodes;
mod phases;
mod writes;

use std::time::Duration;

use model::Time;
use model::forward::{Phase, Rollout, RolloutAnswer, RolloutId, RolloutReport, RolloutState};
use model::member::NodeId;

use super::age::Age;
use super::plan::Plan;
use super::pool::EvidencePool;
use super::{Cause, Verdict};
use nodes::Nodes;
use writes::Writes;

/// Interval of [`JudgeEvent::Tick`].
const TICK: Duration = Duration::from_millis(100);

/// Operator's limits on the harm done by a bad version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Share of all requests to the service, from the order to its deadline, that a bad version may
    /// get in addition to `slack`.
    pub share: f64,
    /// Number of requests that a bad version may get in addition to `share`.
    pub slack: u32,
    /// Time after its detection as bad within which it must stop getting requests.
    pub rollback_within: Duration,
}

/// Input of a judge.
#[derive(Debug, Clone, PartialEq)]
pub enum JudgeEvent {
    /// A node's report.
    Report(RolloutReport),
    /// All nodes that are up now.
    Nodes(Vec<NodeId>),
    /// The order as the store holds it.
    Order(Rollout),
    /// Usable targets that are warm.
    Targets {
        /// Targets of the serving version.
        serving: usize,
        /// Targets of the trial version.
        trial: usize,
    },
    /// A write of a state ended; `true` if it was applied. After `false` (refused, or the response
    /// was lost), the order must be read from the store and passed in as `Order`.
    WriteEnded(bool),
    /// Time passed; see [`Judge::next_tick`].
    Tick,
}

/// Output of a judge.
#[derive(Debug, Clone, PartialEq)]
pub enum JudgeAction {
    /// Write the order's state, on condition that its revision is that of the last `Order`.
    Write(RolloutState),
    /// The version was judged bad; for a log line.
    Judged {
        /// Reason and counts.
        verdict: Verdict,
        /// Age of the order.
        age: Duration,
    },
    /// The phase changed.
    Phase(Phase),
}

/// State machine that decides one order.
#[derive(Debug)]
pub struct Judge {
    bounds: Bounds,
    plan: Plan,
    started_at: Time,
    order: Rollout,
    /// First revision at which the order is known.
    since: u64,
    age: Age,
    phase: Phase,
    /// Start of the step at a larger share.
    step_since: Option<Time>,
    /// Time from which all requests go to the trial version.
    all_since: Option<Time>,
    /// Usable warm targets: serving version, trial version.
    targets: (usize, usize),
    pool: EvidencePool,
    nodes: Nodes,
    writes: Writes,
    /// Time from which the store may hold `Completed`.
    completing_since: Option<Time>,
    ended: bool,
}

impl Judge {
    /// Starts to judge an order of this age, known since revision `since`.
    pub fn new(bounds: Bounds, order: Rollout, since: u64, age: Duration, now: Time) -> Self {
        let mut judge = Judge {
            bounds,
            plan: Plan::new(bounds, Duration::from_millis(order.lasts_ms)),
            started_at: now,
            order,
            since,
            age: Age::new(age, now),
            phase: Phase::Share(0.0),
            step_since: None,
            all_since: None,
            targets: (0, 0),
            pool: EvidencePool::new(now),
            nodes: Nodes::new(now),
            writes: Writes::default(),
            completing_since: None,
            ended: false,
        };
        judge.end_if_final();
        judge
    }

    /// Handles an event and returns the actions to take.
    pub fn handle_event(&mut self, now: Time, event: JudgeEvent) -> Vec<JudgeAction> {
        if self.ended {
            return Vec::new();
        }
        let before = self.phase;
        let mut actions = Vec::new();
        self.nodes.record_event(now);
        match event {
            JudgeEvent::Report(report) => self.report(report, now, &mut actions),
            JudgeEvent::Nodes(up) => self.nodes.set_up(up, now),
            JudgeEvent::Order(order) => self.update_order(order),
            JudgeEvent::Targets { serving, trial } => self.targets = (serving, trial),
            JudgeEvent::WriteEnded(applied) => self.write_ended(applied),
            JudgeEvent::Tick => {}
        }
        if !self.ended {
            self.decide(now, &mut actions);
        }
        if self.phase != before {
            actions.push(JudgeAction::Phase(self.phase));
        }
        actions
    }

    /// Reply to a report.
    pub fn answer(&self, now: Time) -> RolloutAnswer {
        let age_ms = self.age(now).as_millis() as u64;
        RolloutAnswer { order: self.id(), phase: self.phase, age_ms }
    }

    /// Identity of the order that is judged.
    pub fn id(&self) -> RolloutId {
        self.order.id(self.since)
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Time at which `Tick` is due next; never once the judge has ended.
    pub fn next_tick(&self, now: Time) -> Time {
        if self.ended { Time::NEVER } else { now + TICK }
    }

    fn age(&self, now: Time) -> Duration {
        self.age.elapsed(now)
    }

    fn report(&mut self, report: RolloutReport, now: Time, actions: &mut Vec<JudgeAction>) {
        let own = self.id();
        if !report.order.has_same_version(&own) {
            return;
        }
        // A report on an earlier order is no evidence for this one; it only shows that the node
        // uses the old version until it learns of this order.
        if !report.order.is_same(&own) {
            return self.nodes.mark_outdated(report.node, now);
        }
        self.age.raise(Duration::from_millis(report.age_ms), now);
        self.nodes.record_report(&report, now);
        self.pool.merge_report(&report.node, report.evidence, now);
        match report.phase {
            Phase::Back => self.roll_back(Cause::Reported, now, actions),
            Phase::All => self.send_all(now),
            Phase::Share(_) => {}
        }
    }

    fn update_order(&mut self, order: Rollout) {
        if order.revision < self.order.revision {
            return;
        }
        let is_same = order.version == self.order.version && order.service == self.order.service;
        if !is_same || order.is_new_order(&self.order) {
            self.ended = true;
            return;
        }
        self.plan = Plan::new(self.bounds, Duration::from_millis(order.lasts_ms));
        self.order = order;
        self.writes.confirm();
        if self.writes.is_idle() {
            self.completing_since = None;
        }
        self.end_if_final();
    }

    fn end_if_final(&mut self) {
        match self.order.state {
            RolloutState::Completed => self.phase = Phase::All,
            RolloutState::RolledBack => self.phase = Phase::Back,
            RolloutState::Ordered | RolloutState::Active => return,
        }
        self.ended = true;
    }

    fn write_ended(&mut self, applied: bool) {
        let Some(state) = self.writes.ended(applied, self.order.state) else {
            return;
        };
        if state.is_final() {
            self.order.state = state;
            self.end_if_final();
        }
    }

    fn decide(&mut self, now: Time, actions: &mut Vec<JudgeAction>) {
        let (ratio, verdict) = self.pool.strongest();
        if ratio >= 1.0 {
            self.reject(verdict, now, actions);
        }
        match self.phase {
            Phase::Back => {}
            Phase::Share(_) => self.advance(ratio, now, actions),
            Phase::All => self.finish(ratio, now, actions),
        }
        let state = match self.phase {
            Phase::Back => RolloutState::RolledBack,
            Phase::All if self.completing_since.is_some() => RolloutState::Completed,
            Phase::All | Phase::Share(_) => RolloutState::Active,
        };
        actions.extend(self.writes.start(state, self.order.state).map(JudgeAction::Write));
    }

    fn roll_back(&mut self, cause: Cause, now: Time, actions: &mut Vec<JudgeAction>) {
        self.reject(self.pool.verdict(cause, None), now, actions);
    }

    fn reject(&mut self, verdict: Verdict, now: Time, actions: &mut Vec<JudgeAction>) {
        if self.phase == Phase::Back {
            return;
        }
        // The old targets may be stopped by now: a rollback would leave callers without any target
        // until the store reports the final state, which is worse than some bad answers.
        if self.completing_since.is_some_and(|since| now < since + self.bounds.rollback_within / 2)
        {
            return;
        }
        self.phase = Phase::Back;
        actions.push(JudgeAction::Judged { verdict, age: self.age(now) });
    }

    fn send_all(&mut self, now: Time) {
        if self.phase != Phase::Back {
            self.phase = Phase::All;
            self.all_since.get_or_insert(now);
        }
    }
}
