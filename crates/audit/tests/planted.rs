//! The auditor finds one planted fault of each kind, and nothing in a clean record.

use audit::{Finding, Ran, Record, Rules, Seen};
use model::claim::Claims;
use model::key::Key;
use model::outcome::Outcome;

fn key(n: u128) -> Key {
    Key::new(1_700_000_000_000, n << 40)
}

fn seen(call: u64, end: Outcome, text: &str) -> Seen {
    Seen {
        call,
        request: Some(format!("r{call}").into()),
        key: Some(key(call.into())),
        ends: vec![end],
        broken: false,
        text: text.into(),
        want: "the answer".into(),
    }
}

fn ran(request: &str, step: &str) -> Ran {
    Ran { request: request.into(), step: step.into(), resumed: false, done: true }
}

/// Two complete requests, one refused, one failed half way.
fn clean() -> Record {
    let mut claims = Claims::default();
    for n in [1u64, 2, 4] {
        claims.keys.insert(key(n.into()), format!("r{n}").into());
    }
    Record {
        seen: vec![
            seen(1, Outcome::Complete, "the answer"),
            seen(2, Outcome::Complete, "the answer"),
            seen(3, Outcome::NotRun, ""),
            seen(4, Outcome::Failed, "the an"),
        ],
        ran: vec![
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
        ("lost", |r| r.seen[0].ends.clear(), Finding::Lost(1)),
        ("doubled", |r| r.seen[0].ends.push(Outcome::Complete), Finding::Doubled(1, 2)),
        ("misdelivered", |r| r.seen[1].text = "another answer".into(), Finding::WrongText(2)),
        ("cut short", |r| r.seen[1].text = "the an".into(), Finding::WrongText(2)),
        ("spliced", |r| r.seen[3].text = "the xx".into(), Finding::ForeignText(4)),
        (
            "unfounded",
            |r| r.ran.retain(|x| !(&*x.request == "r1" && &*x.step == "look")),
            Finding::Unfounded("r1".into(), "look".into()),
        ),
        (
            "untruly not run",
            |r| r.ran.push(ran("r3", "look")),
            Finding::UntrulyNotRun("r3".into(), "look".into()),
        ),
        ("run twice", |r| r.ran.push(ran("r2", "pay")), Finding::RanTwice(key(2), "pay".into(), 2)),
        (
            "run without the claim",
            |r| r.ran.push(ran("r9", "pay")),
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
    record.ran.push(Ran { resumed: true, ..ran("r2", "pay") });
    assert_eq!(record.audit(), vec![]);
}

#[test]
fn a_broken_connection_is_not_a_lost_request() {
    let mut record = clean();
    record.seen[3].ends.clear();
    record.seen[3].broken = true;
    assert_eq!(record.audit(), vec![]);
}
