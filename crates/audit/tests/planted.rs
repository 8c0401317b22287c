//! The audit reports an injected fault of each kind and nothing for a clean record.

use audit::{CallRecord, Finding, PipelineRules, Record, StepRun};
use model::claim::Claims;
use model::key::Key;
use model::outcome::Outcome;

fn key(n: u128) -> Key {
    Key::new(1_700_000_000_000, n << 40)
}

fn call_record(call: u64, outcome: Outcome, text: &str) -> CallRecord {
    CallRecord {
        call,
        request: Some(format!("r{call}").into()),
        key: Some(key(call.into())),
        outcomes: vec![outcome],
        disconnected: false,
        text: text.into(),
        expected_text: "the answer".into(),
    }
}

fn step_run(request: &str, step: &str) -> StepRun {
    StepRun { request: request.into(), step: step.into(), resumed: false, completed: true }
}

/// Two complete requests, one not run, one failed midway.
fn clean_record() -> Record {
    let mut claims = Claims::default();
    for n in [1u64, 2, 4] {
        claims.keys.insert(key(n.into()), format!("r{n}").into());
    }
    Record {
        calls: vec![
            call_record(1, Outcome::Complete, "the answer"),
            call_record(2, Outcome::Complete, "the answer"),
            call_record(3, Outcome::NotRun, ""),
            call_record(4, Outcome::Failed, "the an"),
        ],
        runs: vec![
            step_run("r1", "look"),
            step_run("r1", "pay"),
            step_run("r2", "look"),
            step_run("r2", "pay"),
            step_run("r4", "look"),
        ],
        claims: vec![claims],
        rules: PipelineRules {
            steps: vec!["look".into(), "pay".into()],
            single_run: ["pay".into()].into(),
        },
    }
}

#[test]
fn a_clean_record_has_no_findings() {
    assert_eq!(clean_record().audit(), vec![]);
}

#[test]
fn each_injected_fault_is_found() {
    type Inject = fn(&mut Record);
    let cases: [(&str, Inject, Finding); 9] = [
        ("no outcome", |r| r.calls[0].outcomes.clear(), Finding::NoOutcome(1)),
        (
            "duplicate outcome",
            |r| r.calls[0].outcomes.push(Outcome::Complete),
            Finding::DuplicateOutcome(1, 2),
        ),
        ("wrong text", |r| r.calls[1].text = "another answer".into(), Finding::WrongText(2)),
        ("truncated", |r| r.calls[1].text = "the an".into(), Finding::WrongText(2)),
        ("foreign text", |r| r.calls[3].text = "the xx".into(), Finding::ForeignText(4)),
        (
            "step not run",
            |r| r.runs.retain(|x| !(&*x.request == "r1" && &*x.step == "look")),
            Finding::StepNotRun("r1".into(), "look".into()),
        ),
        (
            "falsely not run",
            |r| r.runs.push(step_run("r3", "look")),
            Finding::FalseNotRun("r3".into(), "look".into()),
        ),
        (
            "run twice",
            |r| r.runs.push(step_run("r2", "pay")),
            Finding::RanTwice(key(2), "pay".into(), 2),
        ),
        (
            "run without the claim",
            |r| r.runs.push(step_run("r9", "pay")),
            Finding::Unclaimed("r9".into(), "pay".into()),
        ),
    ];
    for (name, inject, expected) in cases {
        let mut record = clean_record();
        inject(&mut record);
        assert_eq!(record.audit(), vec![expected], "{name}");
    }
}

#[test]
fn resuming_a_stream_does_not_count_as_a_second_run() {
    let mut record = clean_record();
    record.runs.push(StepRun { resumed: true, ..step_run("r2", "pay") });
    assert_eq!(record.audit(), vec![]);
}

#[test]
fn a_disconnected_call_without_an_outcome_is_not_a_finding() {
    let mut record = clean_record();
    record.calls[3].outcomes.clear();
    record.calls[3].disconnected = true;
    assert_eq!(record.audit(), vec![]);
}
