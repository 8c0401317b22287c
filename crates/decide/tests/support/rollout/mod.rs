//! Simulated nodes, one order, its judges and the store's record of it, for the rollout tests.
//! Requests are random; there are no queues and no targets.

mod case;
mod traffic;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use decide::rng::Rng;
use decide::rollout::{Bounds, Evidence, Judge, JudgeAction, JudgeEvent, Versions};
use model::forward::{Phase, Rollout, RolloutAnswer, RolloutReport, RolloutState, Rollouts, Side};
use model::member::NodeId;
use model::{Name, Time};

use case::AnswerCounts;
pub use case::{BOUNDS, Calls, Case, CountMode, Fault, FaultTiming, Method, Outcome};
use traffic::Answer;

/// Revision of the first list of orders, after the order and the targets of its version appeared.
const LISTED_AT: u64 = 12;
/// Simulated time of one step.
const STEP_MS: u64 = 20;
/// Time between two reports of a node.
const REPORT_MS: u64 = 240;
/// Delay until nodes learn of a change in the store.
const WATCH_MS: u64 = 100;

/// Delay until the judge knows of a node that started.
const START_KNOWN_MS: u64 = 500;

/// Time without a report after which a node counts as unreachable.
const SILENT_MS: u64 = 1000;

struct Node {
    id: NodeId,
    versions: Versions,
    evidence: Evidence,
    open: u32,
    since_ms: u64,
    /// Time of its last report that reached the judge.
    last_report_ms: u64,
}

struct Write {
    judge: usize,
    sent_ms: u64,
    /// For each node, the time of its last report to its judge by then.
    last_report_ms: Vec<u64>,
    state: RolloutState,
    revision: u64,
    applied_ms: Option<u64>,
    answer: Option<(u64, bool)>,
    lost: bool,
}

pub struct Simulation {
    case: Case,
    rng: Rng,
    now: u64,
    service: Name,
    routes: Vec<Name>,
    nodes: Vec<Node>,
    judges: Vec<Option<Judge>>,
    /// Newest revision of the order that each judge knows.
    known_revision: [u64; 2],
    order: Rollout,
    /// History of the store, with times.
    history: Vec<(u64, Rollout)>,
    writes: Vec<Write>,
    pending: BinaryHeap<Reverse<(u64, usize)>>,
    answers: Vec<Answer>,
    attempts: u64,
    bad: u32,
    fiftieth_bad_ms: Option<u64>,
    trial_share: f64,
    arrivals_due: f64,
    counts: Vec<AnswerCounts>,
    pub outcome: Outcome,
}

fn order(case: &Case) -> Rollout {
    Rollout {
        service: "s".into(),
        version: "v2".into(),
        lasts_ms: case.lasts_ms,
        state: RolloutState::Ordered,
        revision: 10,
        made: 0,
    }
}

fn list(at: u64, order: &Rollout) -> Rollouts {
    Rollouts { at, orders: vec![order.clone()], ..Rollouts::default() }
}

impl Node {
    fn roll_back(&mut self) {
        if let Some(order) = self.versions.order_id("s") {
            self.versions.set_phase(&order, Phase::Back);
        }
    }
}

fn node(name: usize, start: u64, order: &Rollout, now: Time) -> Node {
    let mut versions = Versions::default();
    versions.follow();
    let (service, v1, v2): (Name, Name, Name) = ("s".into(), "v1".into(), "v2".into());
    versions.add_target(&service, &v1, 5, 0);
    versions.add_target(&service, &v2, 11, 0);
    versions.apply(list(LISTED_AT.max(order.revision), order), now);
    let id = NodeId { name: format!("n{name}").into(), start };
    let since_ms = now.0 / 1000;
    Node {
        id,
        versions,
        evidence: Evidence::default(),
        open: 0,
        since_ms,
        last_report_ms: since_ms,
    }
}

impl Simulation {
    pub fn new(case: Case) -> Self {
        let order = order(&case);
        let nodes = (0..case.nodes).map(|n| node(n, 0, &order, Time::ZERO)).collect();
        let mut simulation = Simulation {
            case,
            rng: Rng::new(case.seed),
            now: 0,
            service: "s".into(),
            routes: (0..case.routes).map(|r| format!("r{r}").into()).collect(),
            nodes,
            judges: vec![None, None],
            known_revision: [0; 2],
            history: vec![(0, order.clone())],
            order,
            writes: Vec::new(),
            pending: BinaryHeap::new(),
            answers: Vec::new(),
            attempts: 0,
            bad: 0,
            fiftieth_bad_ms: None,
            trial_share: 0.0,
            arrivals_due: 0.0,
            counts: vec![AnswerCounts::default(); case.routes + 1],
            outcome: Outcome::default(),
        };
        simulation.start_judge(0);
        simulation
    }

    fn at(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn start_judge(&mut self, judge: usize) {
        let age = Duration::from_millis(self.now);
        let known = self.stored_order(WATCH_MS);
        self.known_revision[judge] = known.revision;
        let since = known.revision;
        self.judges[judge] = Some(Judge::new(BOUNDS, known, since, age, self.at()));
    }

    fn is_partitioned(&self) -> bool {
        self.case.cut_ms.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Index of the judge that a node reports to.
    fn judge_of(&self, node: usize) -> usize {
        usize::from(self.is_partitioned() && node % 2 == 1)
    }

    /// Runs the simulation to its end.
    pub fn play(mut self) -> Outcome {
        let over = self.case.lasts_ms + self.case.lasts_ms / 2 + 8000;
        while self.now < over {
            self.now += STEP_MS;
            self.step();
            let ended_ms = self.outcome.ends.last().map(|end| end.1);
            if self.now >= self.case.lasts_ms && ended_ms.is_some_and(|e| self.now > e + 6000) {
                break;
            }
        }
        self.outcome
    }

    fn step(&mut self) {
        self.restart();
        self.deliver_changes();
        self.apply_writes();
        self.send_requests();
        self.process_answers();
        for judge in 0..2 {
            if self.judges[judge].is_none() && judge == 1 && self.is_partitioned() {
                self.start_judge(1);
            }
            if judge == 1 && !self.is_partitioned() {
                self.judges[1] = None;
            }
            let up = self.nodes.iter().enumerate();
            let up = up.filter(|(n, _)| self.judge_of(*n) == judge);
            let up: Vec<NodeId> = up.map(|(_, node)| node.id.clone()).collect();
            if self.now.is_multiple_of(200) {
                self.handle(judge, JudgeEvent::Nodes(up));
                self.handle(judge, JudgeEvent::Targets { serving: 4, trial: 4 });
            }
            if self.now.is_multiple_of(100) {
                self.handle(judge, JudgeEvent::Tick);
            }
        }
        for n in 0..self.nodes.len() {
            if (self.now / STEP_MS + n as u64).is_multiple_of(REPORT_MS / STEP_MS) {
                self.report(n);
            }
        }
    }

    fn restart(&mut self) {
        if self.rng.next_f64() < self.case.restarts * STEP_MS as f64 / 1000.0 {
            let n = self.rng.below(self.nodes.len());
            let start = self.nodes[n].id.start + 1;
            let known = self.stored_order(WATCH_MS);
            self.nodes[n] = node(n, start, &known, self.at());
            if n == 0 {
                self.start_judge(0);
            }
        }
    }

    /// The order as the store held it some time ago.
    fn stored_order(&self, ago_ms: u64) -> Rollout {
        let then = self.now.saturating_sub(ago_ms);
        let known = self.history.iter().rev().find(|(at, _)| *at <= then);
        known.map_or_else(|| order(&self.case), |(_, order)| order.clone())
    }

    /// Delivers a change in the store to nodes and judges.
    fn deliver_changes(&mut self) {
        let then = self.now.saturating_sub(WATCH_MS);
        let Some((at, order)) = self.history.last().cloned() else {
            return;
        };
        if at != then {
            return;
        }
        let now = self.at();
        for node in &mut self.nodes {
            let list = list(order.revision, &order);
            node.versions.apply(list, now);
        }
        for judge in 0..2 {
            self.handle(judge, JudgeEvent::Order(order.clone()));
        }
    }

    /// Applies writes to the store and delivers their results to the judges.
    fn apply_writes(&mut self) {
        for mut write in std::mem::take(&mut self.writes) {
            if write.applied_ms.is_some_and(|at| at <= self.now) {
                write.applied_ms = None;
                let applied = write.revision == self.order.revision;
                if applied {
                    self.order.state = write.state;
                    self.order.revision = self.order.revision.max(LISTED_AT) + 1;
                    self.history.push((self.now, self.order.clone()));
                    self.record_end(write.judge, write.sent_ms, &write.last_report_ms);
                }
                if !write.lost {
                    write.answer = Some((self.now + STEP_MS, applied));
                }
            }
            if let Some((_, applied)) = write.answer.filter(|(at, _)| *at <= self.now) {
                write.answer = None;
                self.handle(write.judge, JudgeEvent::WriteEnded(applied));
                let order = self.order.clone();
                if !applied {
                    self.handle(write.judge, JudgeEvent::Order(order));
                }
            }
            if write.applied_ms.is_some() || write.answer.is_some() {
                self.writes.push(write);
            }
        }
    }

    fn record_end(&mut self, judge: usize, sent_ms: u64, last_report_ms: &[u64]) {
        if self.order.state.is_final() {
            let nodes = self.nodes.iter().enumerate();
            // The judge cannot know of a node that started just before it wrote, or later, and does
            // not wait for one that had been silent for long when it wrote.
            let known = |n: usize, node: &Node| {
                node.since_ms + START_KNOWN_MS <= sent_ms
                    && last_report_ms[n] + SILENT_MS >= sent_ms
            };
            let reached = nodes.filter(|(n, node)| self.judge_of(*n) == judge && known(*n, node));
            let open = reached.map(|(_, node)| node.open).sum();
            self.outcome.ends.push((self.order.state, self.now, open));
        }
    }

    fn handle(&mut self, judge: usize, event: JudgeEvent) {
        let now = self.at();
        if let JudgeEvent::Order(order) = &event {
            self.known_revision[judge] = self.known_revision[judge].max(order.revision);
        }
        let Some(machine) = &mut self.judges[judge] else {
            return;
        };
        for action in machine.handle_event(now, event) {
            match action {
                JudgeAction::Write(state) => self.write(judge, state),
                JudgeAction::Judged { verdict, .. } => {
                    self.outcome.judged.push((self.now, verdict.cause.as_str()));
                }
                JudgeAction::Phase(Phase::Share(chance)) => {
                    self.outcome.max_share = self.outcome.max_share.max(chance);
                }
                JudgeAction::Phase(_) => {}
            }
        }
    }

    fn write(&mut self, judge: usize, state: RolloutState) {
        let revision = self.known_revision[judge];
        let lost = self.rng.next_f64() < self.case.lost_writes;
        let applied_ms = match (lost, self.rng.below(4)) {
            (true, 0) => None,
            (true, 1) => Some(self.now + 1000 + self.rng.below(3000) as u64),
            _ => Some(self.now + STEP_MS),
        };
        let answer = lost.then_some((self.now + 400, false));
        self.writes.push(Write {
            judge,
            sent_ms: self.now,
            last_report_ms: self.nodes.iter().map(|node| node.last_report_ms).collect(),
            state,
            revision,
            applied_ms,
            answer,
            lost,
        });
    }

    fn report(&mut self, n: usize) {
        let now = self.at();
        let node = &self.nodes[n];
        let versions = &node.versions;
        let (Some(id), Some(phase), Some(age)) =
            (versions.order_id("s"), versions.phase("s"), versions.age("s", now))
        else {
            return;
        };
        let report = RolloutReport {
            node: node.id.clone(),
            order: id,
            age_ms: age.as_millis() as u64,
            phase,
            open: node.open,
            evidence: node.evidence.report("s"),
        };
        let judge = self.judge_of(n);
        if self.rng.next_f64() < self.case.lost {
            return;
        }
        self.nodes[n].last_report_ms = self.now;
        self.handle(judge, JudgeEvent::Report(report));
        if self.rng.next_f64() < self.case.lost {
            return;
        }
        let Some(RolloutAnswer { order, phase, age_ms }) =
            self.judges[judge].as_ref().map(|j| j.answer(now))
        else {
            return;
        };
        let versions = &mut self.nodes[n].versions;
        versions.set_phase(&order, phase);
        versions.raise_age(&order, Duration::from_millis(age_ms), now);
    }
}
