//! Invalid settings files are rejected with exit code 2 and the file, line, column and remedy.

#[path = "../../util/tests/support/settings.rs"]
mod support;

use support::{Case, check_settings_files};

#[test]
fn examples_are_valid_and_errors_name_their_position() {
    let program = env!("CARGO_BIN_EXE_pumicevale-control");
    let cases = [
        Case { name: "unknown", from: "links:", to: "link:", expected: "unknown.yaml:5:1" },
        Case {
            name: "address",
            from: "address: 127.0.0.1:7201",
            to: "address: 127.0.0.1",
            expected: "address.yaml:3:",
        },
        Case {
            name: "any",
            from: "address: 127.0.0.1:7201",
            to: "address: 0.0.0.0:7201",
            expected: "can't be 0.0.0.0",
        },
        Case {
            name: "lease",
            from: "store: 127.0.0.1:7000",
            to: "store: 127.0.0.1:7000\nlease_period: 5",
            expected: "lease_period: must be 500",
        },
    ];
    check_settings_files(program, &["control-hall-a.yaml", "control-hall-b.yaml"], &cases);
}
