//! Decides one order, at the node that comes first.
//!
//! Two judges at a time are harmless: each tells the nodes that report to it, a state is written
//! under the order's revision, and one that the store has as final ends the judge whatever it
//! decided. A judge keeps nothing that reports do not bring again.

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

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// What an operator allows of a version that may be bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Share of all requests to the service from the order to its deadline that it may get …
    pub share: f64,
    /// … and this many more.
    pub slack: u32,
    /// Time after which it gets nothing once it is seen to be bad.
    pub rollback_within: Duration,
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
    /// A write of a state ended; whether it stands. After `false` (refused, or its answer
    /// lost) the order has to be read in the store and told.
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
    bounds: Bounds,
    plan: Plan,
    started_at: Time,
    order: Rollout,
    /// First revision at which the order is known.
    since: u64,
    age: Age,
    phase: Phase,
    /// Since when the greater share is in force.
    step_since: Option<Time>,
    /// Since when all requests go to the version.
    all_since: Option<Time>,
    /// Usable warm targets: of the version that serves, of the one on trial.
    targets: (usize, usize),
    pool: EvidencePool,
    nodes: Nodes,
    writes: Writes,
    /// Since when `Completed` may stand in the store.
    completing_since: Option<Time>,
    ended: bool,
}

impl Judge {
    /// Takes up an order of this age that is known since a revision.
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

    /// Takes what happened; returns what is to be done.
    pub fn handle(&mut self, now: Time, event: JudgeEvent) -> Vec<JudgeAction> {
        if self.ended {
            return Vec::new();
        }
        let before = self.phase;
        let mut actions = Vec::new();
        self.nodes.note_event(now);
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

    /// What every report is answered with.
    pub fn answer(&self, now: Time) -> RolloutAnswer {
        let age_ms = self.age(now).as_millis() as u64;
        RolloutAnswer { order: self.id(), phase: self.phase, age_ms }
    }

    /// The order that is judged.
    pub fn id(&self) -> RolloutId {
        self.order.id(self.since)
    }

    /// The phase in force.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When `Tick` is due next.
    pub fn next_tick(&self, now: Time) -> Time {
        if self.ended { Time::NEVER } else { now + TICK }
    }

    fn age(&self, now: Time) -> Duration {
        self.age.elapsed(now)
    }

    fn report(&mut self, report: RolloutReport, now: Time, actions: &mut Vec<JudgeAction>) {
        let own = self.id();
        if !report.order.is_alike(&own) {
            return;
        }
        // What was seen of an earlier order tells nothing of this one, but that the node uses
        // the old version until it hears of this one.
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
        if !is_same || order.is_anew(&self.order) {
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
        // The old targets may have been stopped by now: going back would cut everybody off
        // for as long as the store does not tell, which is worse than some bad answers.
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
