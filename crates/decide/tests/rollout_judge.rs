//! Rollouts from order to end: the judge's decisions, and the requests that a bad version gets.

#[path = "support/rollout/mod.rs"]
#[allow(dead_code, unused_imports, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use decide::rollout::{Evidence, Judge, JudgeAction, JudgeEvent};
use model::forward::RolloutState::{self, Active, Completed, Ordered, RolledBack};
use model::forward::{Answers, Phase, Rollout, RolloutId, RolloutReport, RouteEvidence, Side};
use model::member::NodeId;
use model::{Name, Time};
use proptest::prelude::*;
use support::{BOUNDS, Case, Fault, FaultTiming, Outcome, Simulation};

const FAULTS: [Fault; 4] =
    [Fault::Fails(0.2), Fault::Fails(0.4), Fault::Slow(3.0), Fault::Slow(8.0)];
const TIMES: [FaultTiming; 4] =
    [FaultTiming::AtOnce, FaultTiming::From(0.5), FaultTiming::Above(0.3), FaultTiming::OneRoute];
const NODES: [usize; 3] = [4, 82, 300];

fn order(state: RolloutState, revision: u64) -> Rollout {
    Rollout {
        service: "s".into(),
        version: "v2".into(),
        lasts_ms: 10_000,
        state,
        revision,
        made: 0,
    }
}

/// Identity of an order to this version, known at every revision.
fn id(version: &str) -> RolloutId {
    RolloutId { service: "s".into(), version: version.into(), made: 0, since: 0, at: u64::MAX }
}

fn node(name: &str) -> NodeId {
    NodeId { name: name.into(), start: 1 }
}

fn report(name: &str, phase: Phase, open: u32) -> JudgeEvent {
    let answers =
        |sent, good| Answers { sent, bad: 0, times: vec![0, 0, 0, 0, 0, 0, 0, 0, 0, good] };
    JudgeEvent::Report(RolloutReport {
        node: node(name),
        order: id("v2"),
        age_ms: 0,
        phase,
        open,
        evidence: vec![RouteEvidence {
            route: "r".into(),
            serving: answers(100, 100),
            trial: answers(5, 5),
        }],
    })
}

/// A judge and the actions it returned, driven several times a second.
struct Harness {
    judge: Judge,
    now: u64,
    actions: Vec<(u64, JudgeAction)>,
}

impl Harness {
    fn new(state: RolloutState) -> Self {
        let judge = Judge::new(BOUNDS, order(state, 10), 10, Duration::ZERO, Time::ZERO);
        let mut harness = Harness { judge, now: 0, actions: Vec::new() };
        harness.handle(JudgeEvent::Targets { serving: 4, trial: 4 });
        harness.handle(JudgeEvent::Nodes(vec![node("a"), node("b")]));
        harness
    }

    fn handle(&mut self, event: JudgeEvent) {
        let actions = self.judge.handle_event(Time::from_millis(self.now), event);
        self.actions.extend(actions.into_iter().map(|action| (self.now, action)));
    }

    /// Runs until `until`, with reports of these nodes and their numbers of requests open at the
    /// old version.
    fn run(&mut self, until: u64, nodes: &[(&str, u32)]) {
        while self.now < until {
            self.now += 100;
            let phase = self.judge.phase();
            for (name, open) in nodes {
                self.handle(report(name, phase, *open));
            }
            self.handle(JudgeEvent::Tick);
        }
    }

    /// States that the judge asked to write.
    fn writes(&self) -> Vec<RolloutState> {
        let write = |(_, action): &(u64, JudgeAction)| match action {
            JudgeAction::Write(state) => Some(*state),
            JudgeAction::Judged { .. } | JudgeAction::Phase(_) => None,
        };
        self.actions.iter().filter_map(write).collect()
    }

    fn write_applied(&mut self, state: RolloutState, revision: u64) {
        self.handle(JudgeEvent::WriteEnded(true));
        self.handle(JudgeEvent::Order(order(state, revision)));
    }
}

#[test]
fn an_order_completes_once_no_node_uses_the_old_version() {
    let mut harness = Harness::new(Ordered);
    harness.run(100, &[("a", 0), ("b", 0)]);
    assert_eq!(harness.writes(), [Active]);
    harness.write_applied(Active, 12);
    harness.run(9_900, &[("a", 0), ("b", 1)]);
    assert_eq!(harness.judge.phase(), Phase::All);
    assert_eq!(harness.writes(), [Active], "a request is open at the old version");
    harness.run(11_000, &[("a", 0), ("b", 1)]);
    assert_eq!(harness.writes(), [Active], "no request is cut off to meet the deadline");
    harness.run(11_200, &[("a", 0), ("b", 0)]);
    assert_eq!(harness.writes(), [Active, Completed]);
    harness.write_applied(Completed, 13);
    assert_eq!(harness.judge.next_tick(Time::from_millis(harness.now)), Time::NEVER);
}

#[test]
fn silent_nodes_are_awaited_until_shortly_before_the_deadline() {
    let mut harness = Harness::new(Active);
    harness.run(2_000, &[("a", 0), ("b", 3)]);
    harness.run(9_100, &[("a", 0)]);
    assert_eq!((harness.judge.phase(), harness.writes()), (Phase::All, vec![]));
    harness.run(9_900, &[("a", 0)]);
    assert_eq!(harness.writes(), [Completed]);
}

#[test]
fn a_node_that_just_started_is_awaited() {
    let mut harness = Harness::new(Active);
    harness.run(9_100, &[("a", 0), ("b", 0)]);
    let started = NodeId { start: 2, ..node("b") };
    harness.handle(JudgeEvent::Nodes(vec![node("a"), started]));
    harness.run(10_000, &[("a", 0)]);
    assert_eq!(harness.writes(), [], "it may still use the old version");
    harness.run(10_400, &[("a", 0)]);
    assert_eq!(harness.writes(), [Completed]);
}

#[test]
fn a_paused_judge_does_not_treat_nodes_as_silent() {
    let mut harness = Harness::new(Active);
    harness.run(8_900, &[("a", 0), ("b", 3)]);
    assert_eq!(harness.judge.phase(), Phase::All);
    harness.now = 11_000;
    harness.handle(JudgeEvent::Tick);
    harness.run(11_900, &[("a", 0)]);
    assert_eq!(harness.writes(), [], "b had no time to answer");
    harness.run(12_500, &[("a", 0)]);
    assert_eq!(harness.writes(), [Completed]);
}

#[test]
fn a_judge_that_starts_late_rolls_back_no_good_version() {
    let judge = Judge::new(BOUNDS, order(Active, 10), 10, Duration::from_millis(9_900), Time::ZERO);
    let mut harness = Harness { judge, now: 0, actions: Vec::new() };
    harness.handle(JudgeEvent::Nodes(vec![node("a"), node("b")]));
    harness.handle(JudgeEvent::Targets { serving: 4, trial: 2 });
    harness.handle(report("a", Phase::Share(0.0), 0));
    harness.now = 300;
    harness.handle(report("b", Phase::All, 0));
    assert_eq!(harness.judge.phase(), Phase::All, "b already worked by it");
    harness.run(2_000, &[("a", 0), ("b", 0)]);
    assert_eq!(harness.writes(), [Completed]);
}

#[test]
fn too_few_trial_targets_cause_a_rollback() {
    for (serving, trial) in [(4, 0), (4, 2), (0, 0)] {
        let mut harness = Harness::new(Active);
        harness.handle(JudgeEvent::Targets { serving, trial });
        harness.run(20_000, &[("a", 0), ("b", 0)]);
        assert_eq!(harness.writes(), [RolledBack], "{serving} and {trial} targets");
        assert!(!harness.actions.iter().any(|(_, a)| *a == JudgeAction::Phase(Phase::All)));
    }
    let mut harness = Harness::new(Active);
    harness.run(8_900, &[("a", 1), ("b", 0)]);
    assert_eq!(harness.judge.phase(), Phase::All);
    harness.handle(JudgeEvent::Targets { serving: 4, trial: 0 });
    harness.run(20_000, &[("a", 0), ("b", 0)]);
    assert_eq!(harness.writes(), [RolledBack], "the targets were lost in the last step");
}

#[test]
fn a_write_is_repeated_only_after_the_store_lacks_its_state() {
    let mut harness = Harness::new(Active);
    harness.handle(report("a", Phase::Back, 0));
    assert_eq!((harness.judge.phase(), harness.writes()), (Phase::Back, vec![RolledBack]));
    harness.run(500, &[("a", 0)]);
    harness.handle(JudgeEvent::WriteEnded(false));
    harness.run(1_000, &[("a", 0)]);
    assert_eq!(harness.writes(), [RolledBack], "the write may still be applied");
    harness.handle(JudgeEvent::Order(order(Active, 10)));
    assert_eq!(harness.writes(), [RolledBack, RolledBack]);
    harness.handle(JudgeEvent::Order(order(RolledBack, 14)));
    harness.handle(JudgeEvent::WriteEnded(false));
    harness.run(2_000, &[("a", 0)]);
    assert_eq!(harness.writes().len(), 2);
}

#[test]
fn a_final_state_in_the_store_ends_the_judge() {
    for (decided, stored, phase) in
        [(Phase::Back, Completed, Phase::All), (Phase::All, RolledBack, Phase::Back)]
    {
        let mut harness = Harness::new(Active);
        harness.handle(report("a", decided, 0));
        harness.handle(JudgeEvent::Order(order(stored, 20)));
        harness.actions.clear();
        harness.run(20_000, &[("a", 0), ("b", 0)]);
        assert_eq!((harness.judge.phase(), harness.actions.len()), (phase, 0), "{decided:?}");
    }
}

#[test]
fn a_call_shared_by_requests_counts_as_one_answer() {
    let (service, route) = (Name::from("s"), Name::from("r"));
    let took = Duration::from_millis(5);
    let mut evidence = Evidence::default();
    for _ in 0..100 {
        evidence.record_sent(&service, &route, Side::Serving, 16);
        evidence.record_good(&service, &route, Side::Serving, took);
    }
    for bad in 1..=16 {
        evidence.record_sent(&service, &route, Side::Trial, 16);
        evidence.record_bad(&service, &route, Side::Trial);
        assert!(bad > 2 || evidence.proves_bad("s").is_none(), "{bad} calls prove nothing");
    }
    let verdict = evidence.proves_bad("s").expect("16 calls do");
    assert_eq!((verdict.trial.sent, verdict.trial.bad), (256, 16));
}

#[test]
fn latency_spikes_of_both_versions_cause_no_rollback() {
    const TYPICAL: usize = 9;
    const LATE: usize = 16;
    let mut harness = Harness::new(Active);
    let (mut serving, mut trial) = (Answers::default(), Answers::default());
    for n in 1..=90 {
        // Once a second, all requests in flight are delayed: few answers arrive, all of them late.
        let (bucket, count) = if n % 10 == 0 { (LATE, 12) } else { (TYPICAL, 50) };
        for (answers, count) in [(&mut serving, count), (&mut trial, 2)] {
            answers.times.resize(LATE + 1, 0);
            answers.times[bucket] += count;
            answers.sent += count;
        }
        harness.now += 100;
        for name in ["a", "b"] {
            let JudgeEvent::Report(report) = report(name, harness.judge.phase(), 0) else {
                unreachable!("a report was made");
            };
            let evidence =
                RouteEvidence { route: "r".into(), serving: serving.clone(), trial: trial.clone() };
            let report = RolloutReport { evidence: vec![evidence], ..report };
            harness.handle(JudgeEvent::Report(report));
        }
        harness.handle(JudgeEvent::Tick);
        assert_ne!(harness.judge.phase(), Phase::Back, "after {n} reports: {:?}", harness.actions);
    }
}

#[test]
fn a_replaced_order_ends_its_judge() {
    let mut harness = Harness::new(Active);
    harness.handle(JudgeEvent::Order(Rollout { version: "v3".into(), ..order(Ordered, 20) }));
    harness.run(20_000, &[("a", 0), ("b", 0)]);
    assert_eq!(harness.writes(), []);
}

#[test]
fn a_new_judge_adopts_the_furthest_reported_phase() {
    for (reported, expected) in [
        (vec![Phase::Share(0.1)], None),
        (vec![Phase::Share(0.1), Phase::All], Some(Phase::All)),
        (vec![Phase::All, Phase::Back], Some(Phase::Back)),
        (vec![Phase::Back, Phase::All], Some(Phase::Back)),
    ] {
        let mut harness = Harness::new(Active);
        for phase in &reported {
            harness.handle(report("a", *phase, 0));
        }
        let phase = Some(harness.judge.phase()).filter(|p| !matches!(p, Phase::Share(_)));
        assert_eq!(phase, expected, "{reported:?}");
    }
}

#[test]
fn duplicate_late_and_restarted_reports_are_summed_once() {
    let bad = |start: u64, bad: u32| {
        JudgeEvent::Report(RolloutReport {
            node: NodeId { name: "a".into(), start },
            order: id("v2"),
            age_ms: 0,
            phase: Phase::Share(0.1),
            open: 0,
            evidence: vec![RouteEvidence {
                route: "r".into(),
                serving: Answers { sent: 100, bad: 0, times: vec![100] },
                trial: Answers { sent: bad, bad, times: vec![] },
            }],
        })
    };
    let mut harness = Harness::new(Active);
    for _ in 0..50 {
        harness.handle(bad(1, 2));
        harness.handle(bad(1, 1));
    }
    assert_ne!(harness.judge.phase(), Phase::Back, "two bad answers, reported a hundred times");
    harness.handle(bad(2, 2));
    harness.handle(bad(3, 2));
    assert_eq!(
        harness.judge.phase(),
        Phase::Back,
        "six bad answers, from three starts of the node"
    );
}

#[test]
fn reports_on_an_earlier_order_are_no_evidence() {
    let bad = |since, at| {
        JudgeEvent::Report(RolloutReport {
            node: node("a"),
            order: RolloutId { since, at, ..id("v2") },
            age_ms: 9_000,
            phase: Phase::Back,
            open: 0,
            evidence: vec![RouteEvidence {
                route: "r".into(),
                serving: Answers { sent: 100, bad: 0, times: vec![100] },
                trial: Answers { sent: 100, bad: 100, times: vec![] },
            }],
        })
    };
    // Revisions at which the reporter knows its order, and whether it is the judge's order, which
    // is known from 10 to 12.
    for (since, at, is_same) in [
        (4, 9, false),
        (4, 4, false),
        (13, 15, false),
        (4, 10, true),
        (10, 10, true),
        (12, 12, true),
    ] {
        let mut harness = Harness::new(Ordered);
        harness.handle(JudgeEvent::Order(order(Active, 12)));
        harness.handle(bad(since, at));
        let (is_back, age) =
            (harness.judge.phase() == Phase::Back, harness.judge.answer(Time::ZERO).age_ms);
        assert_eq!((is_back, age > 0), (is_same, is_same), "{since} to {at}");
    }
}

#[test]
fn a_node_still_on_an_earlier_order_is_awaited() {
    let mut harness = Harness::new(Active);
    harness.run(8_900, &[("a", 0), ("b", 0)]);
    let behind = |phase| {
        JudgeEvent::Report(RolloutReport {
            node: node("b"),
            order: RolloutId { since: 4, at: 9, ..id("v2") },
            age_ms: 0,
            phase,
            open: 0,
            evidence: Vec::new(),
        })
    };
    while harness.now < 11_000 {
        harness.handle(behind(Phase::Share(0.0)));
        harness.run(harness.now + 500, &[("a", 0)]);
    }
    assert_eq!((harness.judge.phase(), harness.writes()), (Phase::All, vec![]));
    harness.run(11_500, &[("a", 0), ("b", 0)]);
    assert_eq!(harness.writes(), [Completed]);
}

#[test]
fn a_judge_ends_when_its_order_is_repeated() {
    for state in [Ordered, Active] {
        let mut harness = Harness::new(Active);
        harness.handle(JudgeEvent::Order(order(state, 20)));
        harness.run(20_000, &[("a", 0), ("b", 0)]);
        assert_eq!(harness.writes(), [], "{state:?}");
    }
}

fn check(case: Case) -> Outcome {
    let outcome = Simulation::new(case).play();
    let is_bad = case.when != FaultTiming::Never;
    if is_bad {
        // In an order so short that not even the full step fits into the cap, that step is planned
        // to be detected as bad at once; any delay of the detection adds to the cap.
        let slow_to_see = if case.lasts_ms < 30_000 { 0.5 * case.rate } else { 0.0 };
        let most = outcome.cap() + slow_to_see;
        assert!(outcome.trial_sent as f64 <= most, "{case:?}: {outcome:?}");
        if outcome.state() != Some(Completed) {
            assert_eq!(outcome.sent_late, 0, "{case:?}: {outcome:?}");
        }
    }
    assert!(outcome.ends.len() <= 1, "{case:?}: {outcome:?}");
    outcome
}

#[test]
fn a_bad_version_is_rolled_back_after_few_requests() {
    // Rate, time of the order, and the maximum number of requests for each timing of the fault; the
    // last timings are limited by the cap of the order.
    for (rate, lasts_ms, at_once, half) in
        [(100.0, 60_000, 120, 300), (1000.0, 60_000, 200, 1500), (1000.0, 8_000, 150, 850)]
    {
        for fault in FAULTS {
            for when in TIMES {
                for nodes in NODES {
                    let case = Case { lasts_ms, ..Case::plain(1, rate, nodes, when, fault) };
                    let outcome = check(case);
                    assert_eq!(outcome.state(), Some(RolledBack), "{case:?}: {outcome:?}");
                    let most = match when {
                        FaultTiming::AtOnce => at_once,
                        FaultTiming::From(_) => half,
                        _ => u64::MAX,
                    };
                    assert!(outcome.trial_sent <= most, "{case:?}: {outcome:?}");
                }
            }
        }
    }
}

#[test]
fn an_undetected_bad_version_stays_within_the_cap_of_a_longer_order() {
    for lasts_ms in [30_000, 60_000, 300_000] {
        for rate in [10.0, 100.0, 400.0] {
            let unseen = Fault::Fails(0.0);
            let case = Case { lasts_ms, ..Case::plain(3, rate, 20, FaultTiming::AtOnce, unseen) };
            assert_eq!(check(case).state(), Some(Completed), "{case:?}");
        }
    }
}

#[test]
fn a_good_version_completes_before_the_deadline_without_cutting_requests() {
    for (rate, lasts_ms) in [(10.0, 60_000), (100.0, 8_000), (1000.0, 8_000), (100.0, 600_000)] {
        for noise in [0.0, 0.002, 0.05] {
            for seed in 0..4 {
                let fault = Fault::Fails(0.0);
                let case = Case {
                    lasts_ms,
                    noise,
                    ..Case::plain(seed, rate, 82, FaultTiming::Never, fault)
                };
                let outcome = check(case);
                let [(Completed, ended, 0)] = outcome.ends[..] else {
                    panic!("{case:?}: {outcome:?}");
                };
                assert!(ended < lasts_ms, "{case:?}: {outcome:?}");
            }
        }
    }
}

fn any_case() -> impl Strategy<Value = Case> {
    let when = prop_oneof![
        Just(FaultTiming::Never),
        Just(FaultTiming::AtOnce),
        (0.1..0.9f64).prop_map(FaultTiming::From),
        (0.05..0.5f64).prop_map(FaultTiming::Above),
        Just(FaultTiming::OneRoute),
    ];
    let fault =
        prop_oneof![(0.2..0.5f64).prop_map(Fault::Fails), (3.0..8.0f64).prop_map(Fault::Slow)];
    let faults = (0.0..0.3f64, 0.0..0.5f64, prop_oneof![Just(0.0), 0.0..2.0f64]);
    let cut = proptest::option::of((0u64..20_000, 500u64..20_000));
    let size = (prop_oneof![Just(8_000u64), Just(30_000)], 20.0..400.0f64, 2usize..60);
    (any::<u32>(), when, fault, faults, cut, size).prop_map(
        |(seed, when, fault, faults, cut, size)| {
            let (lost, lost_writes, restarts) = faults;
            let (lasts_ms, rate, nodes) = size;
            let cut_ms = cut.map(|(from, lasts)| (from, from + lasts));
            let plain = Case::plain(u64::from(seed), rate, nodes, when, fault);
            Case { lasts_ms, lost, lost_writes, restarts, cut_ms, ..plain }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    /// Reports and writes are lost or delayed, nodes and the judge restart, and half of the nodes
    /// are partitioned with a judge of their own: a bad version stays within the cap and gets no
    /// requests once it is detected, the order ends once, and `Completed` cuts off no node that the
    /// writer can reach.
    #[test]
    fn a_bad_version_stays_within_the_cap_under_faults(case in any_case()) {
        let outcome = check(case);
        if let [(Completed, _, open)] = outcome.ends[..] {
            prop_assert_eq!(open, 0, "{:?}", outcome);
            let is_plain_bad = case.when == FaultTiming::AtOnce && case.rate >= 100.0;
            prop_assert!(!is_plain_bad, "{:?}", outcome);
        }
    }
}
