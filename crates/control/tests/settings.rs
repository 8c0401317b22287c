//! Settings files: refused with file, line, column and the remedy, exit code 2.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn check(file: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_pumicevale-control");
    let args = ["--check", "--settings"];
    Command::new(program).args(args).arg(file).output().expect("it ran")
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/processes").join(name)
}

fn refused(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("pumicevale-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join(format!("{name}.yaml"));
    std::fs::write(&file, text).expect("written");
    let out = check(&file);
    assert_eq!(out.status.code(), Some(2), "{name}");
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn the_examples_pass_and_bad_files_are_refused_with_their_place() {
    for name in ["control-hall-a.yaml", "control-hall-b.yaml"] {
        let out = check(&example(name));
        assert!(out.status.success(), "{name}: {}", String::from_utf8_lossy(&out.stderr));
    }
    let good = std::fs::read_to_string(example("control-hall-a.yaml")).expect("an example");
    let cases = [
        ("unknown", "links:", "link:", "unknown.yaml:5:1"),
        ("address", "address: 127.0.0.1:7201", "address: 127.0.0.1", "address.yaml:3:"),
        ("any", "address: 127.0.0.1:7201", "address: 0.0.0.0:7201", "can't be 0.0.0.0"),
        (
            "lease",
            "store: 127.0.0.1:7000",
            "store: 127.0.0.1:7000\nlease_period: 5",
            "lease_period: must be 500",
        ),
    ];
    for (name, from, to, says) in cases {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good, "{name}");
        let error = refused(name, &text);
        assert!(error.contains(says), "{name}: {error}");
    }
}
