//! Node settings: mechanisms are on by default, and errors name the field and line.

use std::path::Path;

use forward::settings::Settings;
use model::forward::Policy;
use util::settings::Check;

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

fn memory_mb(host: &str) -> Result<u32, String> {
    let text = format!("{NODE}host: {{ cpu_share: 0.5, link_mbps: 200{host} }}\n");
    let parsed = util::settings::parse::<Settings>(Path::new("node.yaml"), &text);
    let settings = parsed.map_err(|e| e.to_string())?;
    settings.check().map_err(|e| format!("{e:?}"))?;
    Ok(settings.host.memory_mb)
}

#[test]
fn memory_of_a_host_is_that_of_the_smallest_unless_told() {
    assert_eq!(memory_mb(""), Ok(120));
    assert_eq!(memory_mb(", memory_mb: 512"), Ok(512));
    let error = memory_mb(", memory_mb: 20").expect_err("too little");
    assert!(error.contains("host.memory_mb"), "{error}");
}
