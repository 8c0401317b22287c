//! Nodes, one order, its judges and the store's record of it, in simulated time, for the tests
//! of roll-outs. Requests are drawn at random; nothing is queued and no target is simulated.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use decide::rng::Rng;
use decide::rollout::{Bounds, Evidence, Judge, JudgeAction, JudgeEvent, Versions};
use model::forward::{Phase, Rollout, RolloutAnswer, RolloutReport, RolloutState, Rollouts, Side};
use model::member::NodeId;
use model::{Name, Time};

/// Revision of the first list of orders, after the order and the targets of its version came.
const LISTED_AT: u64 = 12;
/// Time between two steps.
const STEP_MS: u64 = 20;
/// Time between two reports of a node.
const REPORT_MS: u64 = 240;
/// Time after which the nodes hear of a change in the store.
const WATCH_MS: u64 = 100;

/// Time after which the judge knows of a node that started.
const START_KNOWN_MS: u64 = 500;

/// Time without a report after which a node counts as out of touch.
const SILENT_MS: u64 = 1000;

/// When a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum When {
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
pub enum Way {
    /// The sequential tests of the judge and the nodes.
    Sequential,
    /// Fixed counts over the whole time, for comparison: of fifty answers on trial, of a route
    /// or of all, a tenth more are bad than of the version that serves. The judge sees no bad
    /// answer then, and is told of the verdict by a report.
    FixedCounts,
}

/// Bad answers and all, as `Way::FixedCounts` counts them; by route, then of all.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    serving: (f64, f64),
    trial: (f64, f64),
}

impl Counts {
    fn take(&mut self, side: Side, is_bad: bool) {
        let of = if side == Side::Trial { &mut self.trial } else { &mut self.serving };
        of.0 += f64::from(u8::from(is_bad));
        of.1 += 1.0;
    }

    fn is_bad(&self) -> bool {
        let share = |of: (f64, f64)| of.0 / of.1.max(1.0);
        self.trial.1 >= 50.0 && share(self.trial) >= share(self.serving) + 0.1
    }
}

/// One roll-out.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub way: Way,
    pub seed: u64,
    pub lasts_ms: u64,
    pub rate: f64,
    pub nodes: usize,
    pub routes: usize,
    pub when: When,
    pub fault: Fault,
    /// Part of the answers that fail whatever the version.
    pub noise: f64,
    /// Part of the reports and of their answers that is lost.
    pub lost: f64,
    /// Part of the writes whose answer is lost; half of them land later or never.
    pub lost_writes: f64,
    /// Nodes that restart in each second.
    pub restarts: f64,
    /// From when to when half of the nodes are cut off from the others, with a judge each.
    pub cut_ms: Option<(u64, u64)>,
}

impl Case {
    /// Undisturbed, four routes.
    pub fn plain(seed: u64, rate: f64, nodes: usize, when: When, fault: Fault) -> Self {
        Case {
            way: Way::Sequential,
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
            cut_ms: None,
        }
    }
}

/// Bounds of the tests.
pub const BOUNDS: Bounds = Bounds { share: 0.1, slack: 50, back: Duration::from_millis(5000) };

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests from the order to the deadline, and those of them to the version on trial.
    pub sent: u64,
    pub tried: u64,
    /// Final states that the store took, with the time and the requests that were open at the
    /// old version then, of nodes in touch with the writer.
    pub ends: Vec<(RolloutState, u64, u32)>,
    /// When it turned bad, and the requests that it got from then on.
    pub bad_from_ms: Option<u64>,
    pub after: u64,
    /// Requests to the version sent later than `back` after the fiftieth bad answer.
    pub late: u64,
    /// When the version got its last request.
    pub last_tried_ms: u64,
    /// Judgements: time and cause.
    pub judged: Vec<(u64, &'static str)>,
    /// Greatest chance that was in force.
    pub most: f64,
}

impl Outcome {
    pub fn state(&self) -> Option<RolloutState> {
        self.ends.last().map(|(state, _, _)| *state)
    }

    pub fn cap(&self) -> f64 {
        BOUNDS.share * self.sent as f64 + f64::from(BOUNDS.slack)
    }
}

struct Node {
    id: NodeId,
    versions: Versions,
    evidence: Evidence,
    open: u32,
    since_ms: u64,
    /// When its last report reached the judge.
    told_ms: u64,
}

struct Write {
    judge: usize,
    sent_ms: u64,
    state: RolloutState,
    revision: u64,
    lands_ms: Option<u64>,
    answer: Option<(u64, bool)>,
    lost: bool,
}

struct Answer {
    node: usize,
    start: u64,
    route: usize,
    side: Side,
    took: Duration,
    bad: bool,
    fails: bool,
}

pub struct Run {
    case: Case,
    rng: Rng,
    now: u64,
    service: Name,
    routes: Vec<Name>,
    nodes: Vec<Node>,
    judges: Vec<Option<Judge>>,
    /// Revision of the order that each judge last heard of.
    heard: [u64; 2],
    order: Rollout,
    /// What the store holds, and when.
    history: Vec<(u64, Rollout)>,
    writes: Vec<Write>,
    pending: BinaryHeap<Reverse<(u64, usize)>>,
    answers: Vec<Answer>,
    attempts: u64,
    bad: u32,
    fiftieth: Option<u64>,
    trial_part: f64,
    owed: f64,
    counts: Vec<Counts>,
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
    fn take_back(&mut self, now_ms: u64) {
        if let Some(order) = self.versions.order_id("s") {
            self.versions.set_phase(&order, Phase::Back, Time::from_millis(now_ms));
        }
    }
}

fn node(name: usize, start: u64, order: &Rollout, now: Time) -> Node {
    let mut versions = Versions::default();
    versions.follow();
    let (service, v1, v2): (Name, Name, Name) = ("s".into(), "v1".into(), "v2".into());
    versions.saw(&service, &v1, 5, 0);
    versions.saw(&service, &v2, 11, 0);
    versions.take(list(LISTED_AT.max(order.revision), order), now);
    let id = NodeId { name: format!("n{name}").into(), start };
    let since_ms = now.0 / 1000;
    Node { id, versions, evidence: Evidence::default(), open: 0, since_ms, told_ms: since_ms }
}

impl Run {
    pub fn new(case: Case) -> Self {
        let order = order(&case);
        let nodes = (0..case.nodes).map(|n| node(n, 0, &order, Time::ZERO)).collect();
        let mut run = Run {
            case,
            rng: Rng::new(case.seed),
            now: 0,
            service: "s".into(),
            routes: (0..case.routes).map(|r| format!("r{r}").into()).collect(),
            nodes,
            judges: vec![None, None],
            heard: [0; 2],
            history: vec![(0, order.clone())],
            order,
            writes: Vec::new(),
            pending: BinaryHeap::new(),
            answers: Vec::new(),
            attempts: 0,
            bad: 0,
            fiftieth: None,
            trial_part: 0.0,
            owed: 0.0,
            counts: vec![Counts::default(); case.routes + 1],
            outcome: Outcome::default(),
        };
        run.begin(0);
        run
    }

    fn at(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn begin(&mut self, judge: usize) {
        let age = Duration::from_millis(self.now);
        let known = self.known(WATCH_MS);
        self.heard[judge] = known.revision;
        let since = known.revision;
        self.judges[judge] = Some(Judge::new(BOUNDS, known, since, age, self.at()));
    }

    fn is_cut(&self) -> bool {
        self.case.cut_ms.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Judge that a node reports to.
    fn judge_of(&self, node: usize) -> usize {
        usize::from(self.is_cut() && node % 2 == 1)
    }

    /// Plays it to its end.
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
        self.tell();
        self.land();
        self.send();
        self.hear();
        for judge in 0..2 {
            if self.judges[judge].is_none() && judge == 1 && self.is_cut() {
                self.begin(1);
            }
            if judge == 1 && !self.is_cut() {
                self.judges[1] = None;
            }
            let up = self.nodes.iter().enumerate();
            let up = up.filter(|(n, _)| self.judge_of(*n) == judge);
            let up: Vec<NodeId> = up.map(|(_, node)| node.id.clone()).collect();
            if self.now.is_multiple_of(200) {
                self.on(judge, JudgeEvent::Nodes(up));
                self.on(judge, JudgeEvent::Targets { serving: 4, trial: 4 });
            }
            if self.now.is_multiple_of(100) {
                self.on(judge, JudgeEvent::Tick);
            }
        }
        for n in 0..self.nodes.len() {
            if (self.now / STEP_MS + n as u64).is_multiple_of(REPORT_MS / STEP_MS) {
                self.report(n);
            }
        }
    }

    fn restart(&mut self) {
        if self.rng.unit() < self.case.restarts * STEP_MS as f64 / 1000.0 {
            let n = self.rng.below(self.nodes.len());
            let start = self.nodes[n].id.start + 1;
            let known = self.known(WATCH_MS);
            self.nodes[n] = node(n, start, &known, self.at());
            if n == 0 {
                self.begin(0);
            }
        }
    }

    /// The order as it was in the store some time ago.
    fn known(&self, ago_ms: u64) -> Rollout {
        let then = self.now.saturating_sub(ago_ms);
        let known = self.history.iter().rev().find(|(at, _)| *at <= then);
        known.map_or_else(|| order(&self.case), |(_, order)| order.clone())
    }

    /// Nodes and judges hear of a change in the store.
    fn tell(&mut self) {
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
            node.versions.take(list, now);
        }
        for judge in 0..2 {
            self.on(judge, JudgeEvent::Order(order.clone()));
        }
    }

    /// Writes reach the store, and their ends the judges.
    fn land(&mut self) {
        for mut write in std::mem::take(&mut self.writes) {
            if write.lands_ms.is_some_and(|at| at <= self.now) {
                write.lands_ms = None;
                let stands = write.revision == self.order.revision;
                if stands {
                    self.order.state = write.state;
                    self.order.revision = self.order.revision.max(LISTED_AT) + 1;
                    self.history.push((self.now, self.order.clone()));
                    self.ended(write.judge, write.sent_ms);
                }
                if !write.lost {
                    write.answer = Some((self.now + STEP_MS, stands));
                }
            }
            if let Some((_, stands)) = write.answer.filter(|(at, _)| *at <= self.now) {
                write.answer = None;
                self.on(write.judge, JudgeEvent::WriteEnded(stands));
                let order = self.order.clone();
                if !stands {
                    self.on(write.judge, JudgeEvent::Order(order));
                }
            }
            if write.lands_ms.is_some() || write.answer.is_some() {
                self.writes.push(write);
            }
        }
    }

    fn ended(&mut self, judge: usize, sent_ms: u64) {
        if self.order.state.is_final() {
            let nodes = self.nodes.iter().enumerate();
            // The judge cannot know of a node that started just before it wrote, or later, and
            // does not wait for one that it has not heard for long.
            let known = |node: &Node| {
                node.since_ms + START_KNOWN_MS <= sent_ms && node.told_ms + SILENT_MS >= sent_ms
            };
            let reached = nodes.filter(|(n, node)| self.judge_of(*n) == judge && known(node));
            let open = reached.map(|(_, node)| node.open).sum();
            self.outcome.ends.push((self.order.state, self.now, open));
        }
    }

    fn on(&mut self, judge: usize, event: JudgeEvent) {
        let now = self.at();
        if let JudgeEvent::Order(order) = &event {
            self.heard[judge] = self.heard[judge].max(order.revision);
        }
        let Some(deciding) = &mut self.judges[judge] else {
            return;
        };
        for action in deciding.on(now, event) {
            match action {
                JudgeAction::Write(state) => self.write(judge, state),
                JudgeAction::Judged { verdict, .. } => {
                    self.outcome.judged.push((self.now, verdict.cause.as_str()));
                }
                JudgeAction::Phase(Phase::Share(chance)) => {
                    self.outcome.most = self.outcome.most.max(chance);
                }
                JudgeAction::Phase(_) => {}
            }
        }
    }

    fn write(&mut self, judge: usize, state: RolloutState) {
        let revision = self.heard[judge];
        let lost = self.rng.unit() < self.case.lost_writes;
        let lands_ms = match (lost, self.rng.below(4)) {
            (true, 0) => None,
            (true, 1) => Some(self.now + 1000 + self.rng.below(3000) as u64),
            _ => Some(self.now + STEP_MS),
        };
        let answer = lost.then_some((self.now + 400, false));
        self.writes.push(Write {
            judge,
            sent_ms: self.now,
            state,
            revision,
            lands_ms,
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
        if self.rng.unit() < self.case.lost {
            return;
        }
        self.nodes[n].told_ms = self.now;
        self.on(judge, JudgeEvent::Report(report));
        if self.rng.unit() < self.case.lost {
            return;
        }
        let Some(RolloutAnswer { order, phase, age_ms }) =
            self.judges[judge].as_ref().map(|j| j.answer(now))
        else {
            return;
        };
        let versions = &mut self.nodes[n].versions;
        versions.set_phase(&order, phase, now);
        versions.set_age(&order, Duration::from_millis(age_ms), now);
    }

    fn is_bad(&self, route: usize) -> bool {
        match self.case.when {
            When::Never => false,
            When::AtOnce => true,
            When::From(part) => self.now as f64 >= part * self.case.lasts_ms as f64,
            When::Above(part) => self.trial_part > part,
            When::OneRoute => route == 0,
        }
    }

    fn send(&mut self) {
        self.owed += self.case.rate * STEP_MS as f64 / 1000.0;
        let (mut sent, mut tried) = (0.0, 0.0);
        // Arrivals at random: each of many callers sends with a small chance.
        let lots = (self.owed * 2.0).ceil() as usize + 1;
        let chance = self.owed / lots as f64;
        self.owed = 0.0;
        for _ in 0..lots {
            if self.rng.unit() < chance {
                sent += 1.0;
                tried += f64::from(u8::from(self.request() == Side::Trial));
            }
        }
        if sent > 0.0 {
            self.trial_part += 0.2 * (tried / sent - self.trial_part);
        }
    }

    fn request(&mut self) -> Side {
        self.attempts += 1;
        let n = self.rng.below(self.nodes.len());
        let route = self.rng.below(self.routes.len());
        let attempt = format!("{}-{}", self.case.seed, self.attempts);
        let node = &mut self.nodes[n];
        let side = node.versions.turn("s", &attempt);
        let version = if side == Side::Trial { "v2" } else { "v1" };
        let order_state = node.versions.running().next().is_some();
        if order_state {
            assert_eq!(node.versions.side("s", version), Some(side), "at {} ms", self.now);
        }
        node.evidence.sent(&self.service, &self.routes[route], side, 1);
        let new = side == Side::Trial
            || !order_state && node.versions.side("s", "v2") == Some(Side::Serving);
        node.open += u32::from(!new);
        let start = node.id.start;
        if self.now < self.case.lasts_ms {
            self.outcome.sent += 1;
            // Nodes that are cut off are not bound.
            self.outcome.tried += u64::from(new && self.judge_of(n) == 0);
        }
        if new {
            let is_bad = self.case.when == When::OneRoute || self.is_bad(route);
            if is_bad || self.outcome.bad_from_ms.is_some() {
                self.outcome.bad_from_ms.get_or_insert(self.now);
                self.outcome.after += u64::from(self.now < self.case.lasts_ms);
            }
            self.outcome.last_tried_ms = self.now;
            let back = BOUNDS.back.as_millis() as u64;
            self.outcome.late += u64::from(self.fiftieth.is_some_and(|at| self.now > at + back));
        }
        let spread: f64 = (0..6).map(|_| self.rng.unit()).sum::<f64>() - 3.0;
        let usual = 40.0 * (1 + route) as f64 * (0.5 * spread).exp();
        let hit = new && self.is_bad(route);
        let (fails, times) = match self.case.fault {
            Fault::Fails(part) => (hit && self.rng.unit() < part, 1.0),
            Fault::Slow(by) => (false, if hit && self.rng.unit() < 0.4 { by } else { 1.0 }),
        };
        let bad = fails || times > 1.0;
        let fails = fails || self.rng.unit() < self.case.noise;
        let took = Duration::from_secs_f64(usual * times / 1000.0);
        let due = self.now + took.as_millis() as u64;
        self.pending.push(Reverse((due, self.answers.len())));
        let side = if new { Side::Trial } else { Side::Serving };
        self.answers.push(Answer { node: n, start, route, side, took, bad, fails });
        side
    }

    fn hear(&mut self) {
        while let Some(Reverse((due, _))) = self.pending.peek() {
            if *due > self.now {
                return;
            }
            let Some(Reverse((_, i))) = self.pending.pop() else {
                return;
            };
            let answer = &self.answers[i];
            if answer.bad {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth = Some(self.now);
                }
            }
            let node = &mut self.nodes[answer.node];
            if node.id.start != answer.start {
                continue;
            }
            if answer.side == Side::Serving {
                node.open -= 1;
            }
            let (service, route) = (&self.service, &self.routes[answer.route]);
            if self.case.way == Way::FixedCounts {
                let is_slow = answer.took.as_secs_f64() > 0.1 * (1 + answer.route) as f64;
                for count in [answer.route, self.case.routes] {
                    self.counts[count].take(answer.side, answer.fails || is_slow);
                }
                if self.counts.iter().any(Counts::is_bad) {
                    node.take_back(self.now);
                }
                let took = Duration::from_millis(40 * (1 + answer.route) as u64);
                node.evidence.good(service, route, answer.side, took);
            } else if answer.fails {
                node.evidence.bad(service, route, answer.side);
            } else {
                node.evidence.good(service, route, answer.side, answer.took);
            }
            if answer.side == Side::Trial && answer.bad && node.evidence.proves_bad("s").is_some() {
                node.take_back(self.now);
            }
        }
    }
}
