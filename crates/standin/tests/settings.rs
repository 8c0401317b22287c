//! Settings files: refused with file, line, column and the remedy, exit code 2.

#[path = "../../util/tests/support/settings.rs"]
mod support;

use support::{Case, examples_pass_and_bad_files_are_refused};

#[test]
fn the_examples_pass_and_bad_files_are_refused_with_their_place() {
    let program = env!("CARGO_BIN_EXE_pumicevale-standin");
    let cases = [
        Case { name: "unknown", from: "api:", to: "apis:", says: "unknown.yaml:2:1" },
        Case { name: "role", from: "role: encoder", to: "role: poet", says: "role.yaml:4:" },
        Case {
            name: "width",
            from: "role: encoder",
            to: "role: encoder, width: 0",
            says: "targets[0].width: must be 1",
        },
    ];
    examples_pass_and_bad_files_are_refused(program, &["standin.yaml"], &cases);
}
