//! The request machine with failing targets: fixed cases, then thousands of seeded event orders
//! with lost, duplicated and reordered frames and frames of other requests.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::request::{Action, Event, Plan, RequestMachine, RetryPolicy, StepPlan};
use decide::rng::Rng;
use model::attempt::{Attempt, Frame};
use model::claim::ClaimOutcome;
use model::hash::Digest;
use model::key::Key;
use model::outcome::{Outcome, Reason, RequestReport};
use model::{Name, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed, so that every run has the same cases.
const SEED: u64 = 1;

struct FixedRetries(bool);

impl RetryPolicy for FixedRetries {
    fn allow_retry(&mut self, _: usize) -> bool {
        self.0
    }
}

fn step(name: &str, repeatable: bool, continuable: bool) -> StepPlan {
    StepPlan {
        name: name.into(),
        repeatable,
        continuable,
        timeout: Duration::from_millis(500),
        hedge: None,
        cost: 1.0,
    }
}

fn plan(steps: Vec<StepPlan>, streamed: bool) -> Plan {
    Plan {
        request: "r1".into(),
        steps,
        deadline: Time::from_millis(5000),
        expires: Time::from_millis(5000),
        key: Some(Key::new(1_000_000, 7)),
        streamed,
        seed: 3,
    }
}

fn attempt(step: u16, number: u16) -> Attempt {
    Attempt { request: "r1".into(), step, number }
}

/// Frames of a complete answer, starting at chunk `from`.
fn frames(a: &Attempt, words: &[String], from: u64) -> Vec<Frame> {
    let mut digest = Digest::default();
    let mut out = Vec::new();
    for (i, w) in words.iter().enumerate().skip(from as usize) {
        digest.push(w);
        out.push(Frame::Chunk { attempt: a.clone(), seq: i as u64, text: w.clone() });
    }
    let count = words.len() as u64;
    out.push(Frame::End { attempt: a.clone(), count, digest: digest.value(), busy: 1000, wait: 0 });
    out
}

fn words(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("w{i} ")).collect()
}

/// Feeds a machine with chosen events and records its actions.
struct Harness {
    machine: RequestMachine,
    now: Time,
    actions: Vec<Action>,
    retries: FixedRetries,
}

impl Harness {
    fn new(plan: Plan) -> Self {
        let machine = RequestMachine::new(plan, Time::ZERO);
        Harness { machine, now: Time::ZERO, actions: Vec::new(), retries: FixedRetries(true) }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let out = self.machine.handle_event(self.now, event, &mut self.retries);
        self.actions.extend(out.clone());
        out
    }

    fn frames(&mut self, frames: Vec<Frame>) {
        for f in frames {
            self.handle(Event::Frame(f));
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.handle(Event::Tick);
    }

    fn end(&self) -> Option<&RequestReport> {
        self.actions.iter().find_map(|a| match a {
            Action::Finish(end) => Some(end),
            _ => None,
        })
    }

    fn text(&self) -> String {
        let piece = |a: &Action| match a {
            Action::Emit(p) => Some(p.text.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(piece).collect()
    }

    fn sends(&self) -> usize {
        self.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    }
}

#[test]
fn reordered_and_duplicated_frames_give_the_complete_answer() {
    let mut h = Harness::new(plan(vec![step("generate", true, true)], true));
    h.handle(Event::Start);
    h.handle(Event::TargetPicked("e1".into()));
    let mut all = frames(&attempt(0, 0), &words(5), 0);
    all.reverse();
    let doubled = all.clone();
    h.frames(all);
    h.frames(doubled);
    assert_eq!(h.text(), words(5).concat());
    assert_eq!(h.end().map(|e| e.outcome), Some(Outcome::Complete));
}

#[test]
fn frames_of_another_request_are_dropped_and_counted() {
    let mut h = Harness::new(plan(vec![step("generate", true, true)], true));
    h.handle(Event::Start);
    h.handle(Event::TargetPicked("e1".into()));
    let other = Attempt { request: "r2".into(), step: 0, number: 0 };
    h.frames(frames(&other, &words(3), 0));
    assert_eq!(h.text(), "");
    assert_eq!(h.machine.strays(), 4);
    h.frames(frames(&attempt(0, 0), &words(2), 0));
    assert_eq!(h.end().map(|e| e.outcome), Some(Outcome::Complete));
}

#[test]
fn an_answer_with_a_missing_chunk_and_an_adjusted_count_is_not_complete() {
    for streamed in [false, true] {
        let mut h = Harness::new(plan(vec![step("generate", true, true)], streamed));
        h.retries = FixedRetries(false);
        h.handle(Event::Start);
        h.handle(Event::TargetPicked("e1".into()));
        let mut all = frames(&attempt(0, 0), &words(5), 0);
        all.remove(4);
        if let Some(Frame::End { count, .. }) = all.last_mut() {
            *count = 4;
        }
        h.frames(all);
        assert_eq!(h.end().map(|e| e.outcome), Some(Outcome::Failed), "streamed {streamed}");
    }
}

#[test]
fn a_broken_stream_is_resumed_then_continued_from_the_delivered_text() {
    let mut h = Harness::new(plan(vec![step("generate", true, true)], true));
    h.handle(Event::Start);
    h.handle(Event::TargetPicked("e1".into()));
    let all = frames(&attempt(0, 0), &words(6), 0);
    h.frames(all[..2].to_vec());
    let reason = Reason::Broken("cut".into());
    let out = h.handle(Event::Closed { attempt: attempt(0, 0), reason: reason.clone() });
    let resumes = out.iter().any(|a| {
        matches!(a, Action::Send { target, from: 2, resume: Some(r), .. }
            if &**target == "e1" && *r == attempt(0, 0))
    });
    assert!(resumes, "{out:?}");
    // The engine no longer has the stream: another one continues after the two words.
    h.handle(Event::NotSent { attempt: attempt(0, 1), reason });
    h.advance(300);
    let out = h.handle(Event::TargetPicked("e2".into()));
    assert!(out.iter().any(|a| matches!(a, Action::Send { from: 2, resume: None, .. })));
    assert_eq!(h.machine.partial_text(), words(2).concat());
    h.frames(frames(&attempt(0, 2), &words(6), 2));
    assert_eq!(h.text(), words(6).concat());
    assert_eq!(h.end().map(|e| e.outcome), Some(Outcome::Complete));
}

#[test]
fn a_non_repeatable_step_is_not_resent_once_it_may_have_run() {
    let lost = Reason::Broken("cut".into());
    let cases = [
        ("lost before any frame", Event::Closed { attempt: attempt(0, 0), reason: lost.clone() }),
        ("caller disconnected", Event::CallerGone),
    ];
    for (name, event) in cases {
        let mut h = Harness::new(plan(vec![step("pay", false, false)], false));
        h.handle(Event::Start);
        h.handle(Event::Claim(ClaimOutcome::Won));
        h.handle(Event::TargetPicked("p1".into()));
        h.handle(event);
        h.advance(1000);
        assert_eq!(h.end().map(|e| e.outcome), Some(Outcome::Unknown), "{name}");
        assert_eq!(h.sends(), 1, "{name}");
    }
    // Certainly not sent, so another target may be tried.
    let mut h = Harness::new(plan(vec![step("pay", false, false)], false));
    h.handle(Event::Start);
    h.handle(Event::Claim(ClaimOutcome::Won));
    h.handle(Event::TargetPicked("p1".into()));
    let reason = Reason::Unreachable("refused".into());
    h.handle(Event::NotSent { attempt: attempt(0, 0), reason });
    h.advance(1000);
    h.handle(Event::TargetPicked("p2".into()));
    assert_eq!(h.sends(), 2);
    assert!(h.end().is_none());
}

#[test]
fn a_failed_claim_ends_the_request_without_a_send() {
    let cases = [
        (ClaimOutcome::Lost("r0".into()), Outcome::Unknown),
        (ClaimOutcome::Old, Outcome::NotRun),
        (ClaimOutcome::Future, Outcome::NotRun),
        (ClaimOutcome::Failed, Outcome::NotRun),
        (ClaimOutcome::Doubt, Outcome::NotRun),
    ];
    for (end, outcome) in cases {
        let mut h = Harness::new(plan(vec![step("pay", false, false)], false));
        h.handle(Event::Start);
        h.handle(Event::Claim(end.clone()));
        assert_eq!(h.end().map(|e| e.outcome), Some(outcome), "{end:?}");
        assert_eq!(h.sends(), 0, "{end:?}");
    }
}

#[test]
fn a_request_with_only_unreachable_targets_is_not_run() {
    let mut h = Harness::new(plan(vec![step("encode", true, false)], false));
    h.retries = FixedRetries(false);
    h.handle(Event::Start);
    h.handle(Event::TargetPicked("t1".into()));
    let reason = Reason::Unreachable("refused".into());
    h.handle(Event::NotSent { attempt: attempt(0, 0), reason });
    let end = h.end().cloned().expect("the request ended");
    assert_eq!(end.outcome, Outcome::NotRun);
    assert_eq!(end.error.and_then(|e| e.peer), Some("t1".into()));
    assert!(end.retry_after.is_some());
}

#[test]
fn the_deadline_ends_the_request_and_cancels_running_attempts() {
    let mut slow = step("encode", true, false);
    slow.timeout = Duration::from_secs(60);
    let mut h = Harness::new(plan(vec![slow], false));
    h.handle(Event::Start);
    h.handle(Event::TargetPicked("t1".into()));
    h.frames(vec![frames(&attempt(0, 0), &words(3), 0).remove(0)]);
    h.advance(4999);
    assert!(h.end().is_none());
    h.advance(1);
    let end = h.end().cloned().expect("the request ended at its deadline");
    assert_eq!(end.outcome, Outcome::Failed);
    let error = end.error.expect("an error");
    assert_eq!((&*error.step, error.reason), ("encode", Reason::Deadline));
    assert_eq!(error.peer, Some("t1".into()));
    assert!(h.actions.contains(&Action::Cancel { attempt: attempt(0, 0), target: "t1".into() }));
}

#[test]
fn a_winning_hedge_cancels_the_first_attempt() {
    let mut hedged = step("encode", true, false);
    hedged.hedge = Some(Duration::from_millis(20));
    let mut h = Harness::new(plan(vec![hedged], false));
    h.handle(Event::Start);
    h.handle(Event::TargetPicked("t1".into()));
    h.advance(21);
    h.handle(Event::TargetPicked("t2".into()));
    h.frames(frames(&attempt(0, 1), &words(2), 0));
    assert!(h.actions.contains(&Action::Cancel { attempt: attempt(0, 0), target: "t1".into() }));
    assert_eq!(h.end().map(|e| e.outcome), Some(Outcome::Complete));
    h.frames(frames(&attempt(0, 0), &words(2), 0));
    assert_eq!(h.machine.strays(), 3);
}

/// Reaction of a target to one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behavior {
    Unreachable,
    Refuse,
    DropUnrun,
    Complete,
    Truncate,
    MissingChunk,
    Silent,
}

const BEHAVIORS: [Behavior; 7] = [
    Behavior::Unreachable,
    Behavior::Refuse,
    Behavior::DropUnrun,
    Behavior::Complete,
    Behavior::Truncate,
    Behavior::MissingChunk,
    Behavior::Silent,
];

/// Failing targets around one machine.
struct Simulation {
    rng: Rng,
    machine: RequestMachine,
    now: Time,
    steps: Vec<StepPlan>,
    pending: Vec<Event>,
    run_counts: Vec<usize>,
    emitted: Vec<String>,
    finals: Vec<RequestReport>,
    claimed: bool,
    sent: BTreeSet<Attempt>,
    fault_rate: f64,
}

impl Simulation {
    fn new(seed: u64, once: Option<usize>, streamed: bool) -> Self {
        let mut rng = Rng::new(seed);
        let n = 1 + rng.below(4);
        let steps: Vec<StepPlan> = (0..n)
            .map(|i| {
                let mut s = step(&format!("s{i}"), once != Some(i), i + 1 == n);
                s.hedge = (rng.below(2) == 0).then_some(Duration::from_millis(30));
                s
            })
            .collect();
        let mut p = plan(steps.clone(), streamed);
        p.seed = seed;
        Simulation {
            fault_rate: rng.next_f64(),
            rng,
            machine: RequestMachine::new(p, Time::ZERO),
            now: Time::ZERO,
            run_counts: vec![0; n],
            steps,
            pending: Vec::new(),
            emitted: Vec::new(),
            finals: Vec::new(),
            claimed: false,
            sent: BTreeSet::new(),
        }
    }

    fn text(step: usize) -> Vec<String> {
        (0..3 + step).map(|i| format!("s{step}w{i} ")).collect()
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut retries = FixedRetries(self.rng.below(8) > 0);
            for action in self.machine.handle_event(self.now, event, &mut retries) {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        assert!(self.finals.is_empty(), "action after the end: {action:?}");
        match action {
            Action::Claim(_) => {
                let ends = [ClaimOutcome::Won, ClaimOutcome::Lost("x".into()), ClaimOutcome::Doubt];
                let end = ends[self.rng.below(30).min(2)].clone();
                let end = if self.rng.below(4) > 0 { ClaimOutcome::Won } else { end };
                self.claimed = end == ClaimOutcome::Won;
                return Some(Event::Claim(end));
            }
            Action::PickTarget { .. } => {
                if self.rng.below(20) == 0 {
                    return Some(Event::NoTarget(Duration::from_millis(100)));
                }
                return Some(Event::TargetPicked(format!("t{}", self.rng.below(4)).into()));
            }
            Action::Send { attempt, from, resume, .. } => self.send(attempt, from, resume),
            Action::Emit(p) => {
                assert_eq!(p.seq as usize, self.emitted.len(), "pieces have no gaps");
                self.emitted.push(p.text);
            }
            Action::Finish(end) => self.finals.push(end),
            Action::Cancel { .. } | Action::WakeAt(_) => {}
        }
        None
    }

    fn send(&mut self, attempt: Attempt, from: u64, resume: Option<Attempt>) {
        let step = usize::from(attempt.step);
        assert!(self.sent.insert(attempt.clone()), "an attempt is sent once");
        if self.steps.iter().any(|s| !s.repeatable) {
            assert!(self.claimed, "nothing is sent without a won claim");
        }
        let faulty = self.rng.next_f64() < self.fault_rate;
        let behavior =
            if faulty { BEHAVIORS[self.rng.below(BEHAVIORS.len())] } else { Behavior::Complete };
        let reason = Reason::Broken("test".into());
        let has_run =
            !matches!(behavior, Behavior::Unreachable | Behavior::Refuse | Behavior::DropUnrun);
        if has_run && resume.is_none() {
            self.run_counts[step] += 1;
        }
        let mut all = frames(&attempt, &Simulation::text(step), from);
        match behavior {
            Behavior::Unreachable | Behavior::Refuse => {
                return self.pending.push(Event::NotSent { attempt, reason });
            }
            Behavior::DropUnrun => return self.pending.push(Event::Closed { attempt, reason }),
            Behavior::Silent => return,
            Behavior::Complete => {}
            Behavior::Truncate => all.truncate(self.rng.below(all.len())),
            Behavior::MissingChunk if all.len() > 1 => {
                all.remove(all.len() - 2);
                if let Some(Frame::End { count, .. }) = all.last_mut() {
                    *count -= 1;
                }
            }
            Behavior::MissingChunk => {}
        }
        for f in all {
            for _ in 0..1 + self.rng.below(6) / 5 {
                self.pending.push(Event::Frame(f.clone()));
            }
            if self.rng.below(6) == 0 {
                let request: Name = "somebody-else".into();
                let stray = Attempt { request, ..attempt.clone() };
                let text = "not yours".into();
                self.pending.push(Event::Frame(Frame::Chunk { attempt: stray, seq: 0, text }));
            }
        }
        self.pending.push(Event::Closed { attempt, reason });
    }

    /// Delivers mostly in order, sometimes at a random position.
    fn next_event(&mut self) -> Option<Event> {
        if self.pending.is_empty() {
            return None;
        }
        let reorder = self.rng.below(3) == 0;
        let i = if reorder { self.rng.below(self.pending.len()) } else { 0 };
        Some(self.pending.remove(i))
    }

    fn run(&mut self) {
        self.handle(Event::Start);
        for _ in 0..3000 {
            if !self.finals.is_empty() && self.pending.is_empty() {
                return;
            }
            match self.next_event() {
                Some(event) if self.rng.below(10) > 0 => {
                    self.now = self.now + Duration::from_micros(200);
                    self.handle(event);
                }
                delayed => {
                    self.pending.extend(delayed);
                    self.now = self.now + Duration::from_millis(20);
                    self.handle(Event::Tick);
                }
            }
            if self.rng.below(3000) == 0 {
                self.handle(Event::CallerGone);
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.finals.len(), 1, "exactly one final outcome");
        let end = &self.finals[0];
        for (i, s) in self.steps.iter().enumerate() {
            if !s.repeatable {
                assert!(self.run_counts[i] <= 1, "step {i} ran {} times", self.run_counts[i]);
            }
        }
        if end.outcome == Outcome::NotRun {
            assert!(self.run_counts.iter().all(|n| *n == 0), "not run, but {:?}", self.run_counts);
        }
        let last = self.steps.len() - 1;
        let complete = Simulation::text(last);
        assert!(complete.concat().starts_with(&self.emitted.concat()), "{:?}", self.emitted);
        if end.outcome == Outcome::Complete {
            assert_eq!(self.machine.results().last(), Some(&complete.concat()));
            assert_eq!(end.steps.len(), self.steps.len());
        }
        let in_doubt =
            self.steps.iter().zip(&self.run_counts).any(|(s, n)| !s.repeatable && *n > 0);
        if end.outcome == Outcome::Failed && in_doubt {
            let once = self.steps.iter().position(|s| !s.repeatable);
            assert!(end.steps.len() > once.unwrap_or(0), "a step in doubt must be unknown");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Default::default() })]

    #[test]
    fn any_event_order_keeps_the_outcome_guarantees(
        seed in any::<u64>(),
        once in proptest::option::of(0usize..4),
        streamed in any::<bool>(),
    ) {
        let mut sim = Simulation::new(seed, once, streamed);
        sim.run();
        sim.check();
    }
}
