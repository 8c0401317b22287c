//! `explain` finds how a request ended from the nodes' logs alone.

use std::path::PathBuf;
use std::process::{Command, Output};

fn write_log(name: &str, lines: &[&str]) -> PathBuf {
    let file = std::env::temp_dir().join(format!("pumicevale-{}-{name}.log", std::process::id()));
    std::fs::write(&file, lines.join("\n")).expect("the temporary folder is writable");
    file
}

fn explain(id: &str, files: &[PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicevale"));
    command.arg("explain").arg(id).args(files).output().expect("the program was built")
}

const NODE_LOG: &[&str] = &[
    r#"2026-12-02T10:00:00.100 INFO  {"at_ms":90,"node":"a","event":"target","target":"i-1","service":"s","state":"ready"}"#,
    r#"2026-12-02T10:00:01.000 INFO  {"at_ms":990,"node":"a","event":"stage","id":"r1","stage":0,"service":"encode","pieces":2,"made":true,"took_ms":700}"#,
    r#"2026-12-02T10:00:01.001 INFO  {"at_ms":991,"node":"a","event":"chosen","id":"r1","target":"i-1","by":"home","left_ms":400,"targets_age_ms":1200}"#,
    r#"2026-12-02T10:00:01.300 INFO  {"at_ms":1290,"node":"a","event":"ejected","target":"i-1","why":"no connection"}"#,
    r#"2026-12-02T10:00:01.300 INFO  {"at_ms":1290,"node":"a","event":"evacuation","domain":"hall-a","state":"began","revision":9,"from":"store","age_ms":12}"#,
    r#"2026-12-02T10:00:01.301 INFO  {"at_ms":1291,"node":"a","event":"attempt","id":"r1","target":"i-1","ran":"no","why":"no connection","after_ms":300}"#,
    r#"2026-12-02T10:00:01.302 INFO  {"at_ms":1292,"node":"a","event":"request","id":"r1","status":503,"outcome":"not_run","why":"no target","target":"i-1","stages_ms":700,"first_ms":0,"took_ms":1002}"#,
    r#"2026-12-02T10:00:01.400 INFO  {"at_ms":1390,"node":"a","event":"request","id":"r2","status":200,"outcome":"streamed","why":"","target":"i-2","stages_ms":20,"first_ms":50,"took_ms":90}"#,
];

#[test]
fn lines_of_several_nodes_are_merged_in_time_order_with_a_cause() {
    let other = [
        r#"2026-12-02T10:00:00.900 INFO  {"at_ms":5,"node":"b","event":"stage","id":"r1","stage":1,"service":"rank","pieces":1,"made":true,"took_ms":100}"#,
        r#"2026-12-02T10:00:00.901 INFO  {"at_ms":6,"node":"b","event":"#,
        "a line that is no event",
    ];
    let out = explain("r1", &[write_log("one", NODE_LOG), write_log("two", &other)]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success());
    let events: Vec<&str> = text.lines().filter_map(|l| l.split_whitespace().nth(2)).collect();
    assert_eq!(
        events[..7],
        ["stage", "stage", "chosen", "ejected", "evacuation", "attempt", "request"],
        "{text}"
    );
    assert!(text.contains("targets_age_ms=1200"), "age of the target view: {text}");
    assert!(text.contains("given up before it ran: no target"), "{text}");
    assert!(text.contains("slowest stage was 0 at encode with 700 ms"), "{text}");
    assert!(!text.contains("r2"), "lines of another request: {text}");
    assert!(String::from_utf8_lossy(&out.stderr).contains("1 lines could not be read"));
}

#[test]
fn each_outcome_is_described() {
    let cases = [
        ("streamed", "answered with 200"),
        ("refused", "refused with 200 before it ran: W"),
        ("caller_left", "its caller left"),
        ("broken_off", "broken off after part of its answer: W"),
        ("failed", "its target answered with 200: W"),
        ("unknown", "may have run, and brought no answer: W"),
    ];
    for (outcome, words) in cases {
        let line = format!(
            r#"2026-12-02T10:00:01.302 INFO  {{"at_ms":1,"node":"a","event":"request","id":"r","status":200,"outcome":"{outcome}","why":"W","target":"","stages_ms":1,"first_ms":1,"took_ms":1}}"#
        );
        let out = explain("r", &[write_log(outcome, &[&line])]);
        let text = String::from_utf8_lossy(&out.stdout);
        assert!(text.contains(words), "{outcome}: {text}");
    }
}

#[test]
fn region_of_the_last_target_and_allowed_regions_are_printed() {
    let cases = [
        (
            r#","region":"south","allowed":["south","west"]"#,
            "; sent to region south, allowed in south, west",
        ),
        (r#","region":"south","allowed":[]"#, "; sent to region south, any was allowed"),
        (r#","region":"","allowed":[]"#, "first event after 1 ms\n"),
        ("", "first event after 1 ms\n"),
    ];
    for (n, (fields, words)) in cases.into_iter().enumerate() {
        let chosen = format!(
            r#"2026-12-02T10:00:01.301 INFO  {{"at_ms":1,"node":"a","event":"chosen","id":"r","target":"i-1"{fields}}}"#
        );
        let end = r#"2026-12-02T10:00:01.302 INFO  {"at_ms":2,"node":"a","event":"request","id":"r","status":200,"outcome":"answered","why":"","target":"i-1","stages_ms":1,"first_ms":1,"took_ms":1}"#;
        let out = explain("r", &[write_log(&format!("region-{n}"), &[&chosen, end])]);
        let text = String::from_utf8_lossy(&out.stdout);
        assert!(text.contains(words), "{fields}: {text}");
    }
}

#[test]
fn version_that_served_a_request_is_printed_with_its_reason() {
    let cases = [
        (r#""side":"trial","share":0.02,"#, "at version v2, on trial with 2.0 % of the requests"),
        (
            r#""side":"serving","share":0.5,"#,
            "at version v2, while another one is on trial with 50.0 %",
        ),
        (r#""side":"left_trial","share":0.02,"#, "at version v2, since the one on trial failed it"),
        ("", "at version v2\n"),
    ];
    for (n, (side, words)) in cases.into_iter().enumerate() {
        let chosen = format!(
            r#"2026-12-02T10:00:01.001 INFO  {{"at_ms":1,"node":"a","event":"chosen","id":"r","target":"i-1","version":"v2",{side}"by":"home"}}"#
        );
        let phase = r#"2026-12-02T10:00:01.200 INFO  {"at_ms":2,"node":"b","event":"rollout_phase","service":"s","version":"v2","phase":"share","share":0.5,"why":"judge","age_ms":900}"#;
        let end = r#"2026-12-02T10:00:01.302 INFO  {"at_ms":3,"node":"a","event":"request","id":"r","status":200,"outcome":"answered","why":"","target":"i-1","stages_ms":1,"first_ms":1,"took_ms":1}"#;
        let out = explain("r", &[write_log(&format!("version-{n}"), &[&chosen, phase, end])]);
        let text = String::from_utf8_lossy(&out.stdout);
        assert!(text.contains(words), "{side}: {text}");
        assert!(
            text.contains("rollout_phase"),
            "rollout events while the request was open: {text}"
        );
    }
}

#[test]
fn unknown_id_and_missing_file_are_errors() {
    let out = explain("r9", &[write_log("none", NODE_LOG)]);
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("no line of request \"r9\""));
    let out = explain("r1", &[PathBuf::from("missing.log")]);
    assert!(String::from_utf8_lossy(&out.stderr).contains("could not open missing.log"));
}
