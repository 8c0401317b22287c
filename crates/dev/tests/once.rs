//! The quick start, run as a program.

use std::process::Command;

#[test]
fn once_prints_the_answer_and_exits_0() {
    let out = Command::new(env!("CARGO_BIN_EXE_pumicevale-dev")).arg("--once").output();
    let out = out.expect("it ran");
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success(), "{text}\n{}", String::from_utf8_lossy(&out.stderr));
    for part in ["জল সরবরাহ", "generate", "manifest", "deadline 4000 ms"] {
        assert!(text.contains(part), "{part} is missing: {text}");
    }
}
