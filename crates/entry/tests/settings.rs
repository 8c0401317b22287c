//! Invalid settings files are rejected with exit code 2 and the file, line, column and remedy.

#[path = "../../util/tests/support/settings.rs"]
mod support;

use support::{Case, check_settings_files};

#[test]
fn examples_are_valid_and_errors_name_their_position() {
    let program = env!("CARGO_BIN_EXE_pumicevale-entry");
    let cases = [
        Case { name: "unknown", from: "near:", to: "nearby:", expected: "unknown.yaml:3:1" },
        Case {
            name: "type",
            from: "callers: 127.0.0.1:7200",
            to: "callers: [1]",
            expected: "type.yaml:4:",
        },
        Case {
            name: "address",
            from: "callers: 127.0.0.1:7200",
            to: "callers: localhost:80",
            expected: "not an IP address and port",
        },
        Case {
            name: "name",
            from: "name: hall-a-1",
            to: "name: Hall A",
            expected: "name: a name uses",
        },
    ];
    check_settings_files(program, &["entry-hall-a.yaml", "entry-hall-b.yaml"], &cases);
}
