//! Settings files: refused with file, line, column and the remedy, exit code 2.

#[path = "../../util/tests/support/settings.rs"]
mod support;

use support::{Case, check_settings_files};

#[test]
fn the_examples_pass_and_bad_files_are_refused_with_their_place() {
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
