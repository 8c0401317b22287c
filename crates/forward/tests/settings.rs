//! Node settings: mechanisms are on by default, and errors name the field and line.

use std::path::Path;

use forward::settings::Settings;
use model::forward::Policy;

const NODE: &str = "
name: n1
domain: a
address: 127.0.0.1
callers: 127.0.0.1:1
readiness: 127.0.0.1:2
peer_port: 3
store: 127.0.0.1:4
stop_ms: 6000
repeats: { ratio: 0.2, window_s: 10, slack: 20 }
";

fn policy(text: &str) -> Result<Policy, String> {
    let text = format!("{NODE}{text}");
    let parsed = util::settings::parse::<Settings>(Path::new("node.yaml"), &text);
    parsed.map(|s| s.policy).map_err(|e| e.to_string())
}

#[test]
fn mechanisms_are_on_by_default() {
    assert_eq!(policy(""), Ok(Policy::default()));
    let off = Policy { pooling: false, early_free: false, ..Policy::default() };
    assert_eq!(policy("policy: { pooling: false, early_free: false }"), Ok(off));
}

#[test]
fn unknown_mechanism_is_reported_with_its_line() {
    let error = policy("policy: { poling: false }").expect_err("no such mechanism");
    assert!(error.contains("poling") && error.contains("11"), "{error}");
}
