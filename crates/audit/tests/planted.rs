//! The auditor finds one planted fault of each kind, and nothing in a clean record.

use audit::{CallRecord, Finding, Record, Rules, StepRun};
use model::claim::Claims;
use model::key::Key;
use model::outcome::Outcome;

fn key(n: u128) -> Key {
    Key::new(1_700_000_000_000, n << 40)
}

fn seen(call: u64, end: Outcome, text: &str) -> CallRecord {
    CallRecord {
        call,
        request: Some(format!("r{call}").into()),
        key: Some(key(call.into())),
        outcomes: vec![end],
        broken: false,
        text: text.into(),
        expected_text: "the answer".into(),
    }
}

fn ran(request: &str, step: &str) -> StepRun {
    StepRun { request: request.into(), step: step.into(), resumed: false, done: true }
}

/// Two complete requests, one refused, one failed half way.
fn clean() -> Record {
    let mut claims = Claims::default();
    for n in [1u64, 2, 4] {
        claims.keys.insert(key(n.into()), format!("r{n}").into());
    }
    Record {
        calls: vec![
            seen(1, Outcome::Complete, "the answer"),
            seen(2, Outcome::Complete, "the answer"),
            seen(3, Outcome::NotRun, ""),
            seen(4, Outcome::Failed, "the an"),
        ],
        runs: vec![
            ran("r1", "look"),
            ran("r1", "pay"),
            ran("r2", "look"),
            ran("r2", "pay"),
            ran("r4", "look"),
        ],
        claims: vec![claims],
        rules: Rules { steps: vec!["look".into(), "pay".into()], once: ["pay".into()].into() },
    }
}

#[test]
fn a_clean_record_has_no_findings() {
    assert_eq!(clean().audit(), vec![]);
}

#[test]
fn each_planted_fault_is_found() {
    type Plant = fn(&mut Record);
    let cases: [(&str, Plant, Finding); 9] = [
        ("lost", |r| r.calls[0].outcomes.clear(), Finding::Lost(1)),
        (
            "doubled",
            |r| r.calls[0].outcomes.push(Outcome::Complete),
            Finding::DuplicateOutcome(1, 2),
        ),
        ("misdelivered", |r| r.calls[1].text = "another answer".into(), Finding::WrongText(2)),
        ("cut short", |r| r.calls[1].text = "the an".into(), Finding::WrongText(2)),
        ("spliced", |r| r.calls[3].text = "the xx".into(), Finding::ForeignText(4)),
        (
            "unfounded",
            |r| r.runs.retain(|x| !(&*x.request == "r1" && &*x.step == "look")),
            Finding::StepNotRun("r1".into(), "look".into()),
        ),
        (
            "untruly not run",
            |r| r.runs.push(ran("r3", "look")),
            Finding::FalseNotRun("r3".into(), "look".into()),
        ),
        (
            "run twice",
            |r| r.runs.push(ran("r2", "pay")),
            Finding::RanTwice(key(2), "pay".into(), 2),
        ),
        (
            "run without the claim",
            |r| r.runs.push(ran("r9", "pay")),
            Finding::Unclaimed("r9".into(), "pay".into()),
        ),
    ];
    for (name, plant, want) in cases {
        let mut record = clean();
        plant(&mut record);
        assert_eq!(record.audit(), vec![want], "{name}");
    }
}

#[test]
fn reading_the_rest_of_a_stream_is_no_second_run() {
    let mut record = clean();
    record.runs.push(StepRun { resumed: true, ..ran("r2", "pay") });
    assert_eq!(record.audit(), vec![]);
}

#[test]
fn a_broken_connection_is_not_a_lost_request() {
    let mut record = clean();
    record.calls[3].outcomes.clear();
    record.calls[3].broken = true;
    assert_eq!(record.audit(), vec![]);
}
