//! Invalid settings files exit with code 2 and name file, line, column and remedy.

#[path = "../../util/tests/support/settings.rs"]
mod support;

use support::{Case, check_settings_files};

#[test]
fn example_passes_and_invalid_files_are_rejected_with_their_location() {
    let program = env!("CARGO_BIN_EXE_pumicevale-standin");
    let cases = [
        Case { name: "unknown", from: "api:", to: "apis:", expected: "unknown.yaml:2:1" },
        Case { name: "role", from: "role: encoder", to: "role: poet", expected: "role.yaml:4:" },
        Case {
            name: "width",
            from: "role: encoder",
            to: "role: encoder, width: 0",
            expected: "targets[0].width: must be 1",
        },
    ];
    check_settings_files(program, &["standin.yaml"], &cases);
}
