//! Settings files: refused with file, line, column and the remedy, exit code 2.

#[path = "../../util/tests/support/settings.rs"]
mod support;

use support::{Case, check_settings_files};

#[test]
fn the_examples_pass_and_bad_files_are_refused_with_their_place() {
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
