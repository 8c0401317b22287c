//! Settings files: refused with file, line, column and the remedy, exit code 2.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn check(file: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_pumicevale-standin");
    let args = ["--check", "--settings"];
    Command::new(program).args(args).arg(file).output().expect("it ran")
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/processes").join(name)
}

fn refused(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("pumicevale-standin-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join(format!("{name}.yaml"));
    std::fs::write(&file, text).expect("written");
    let out = check(&file);
    assert_eq!(out.status.code(), Some(2), "{name}");
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn the_examples_pass_and_bad_files_are_refused_with_their_place() {
    for name in ["standin.yaml"] {
        let out = check(&example(name));
        assert!(out.status.success(), "{name}: {}", String::from_utf8_lossy(&out.stderr));
    }
    let good = std::fs::read_to_string(example("standin.yaml")).expect("an example");
    let cases = [
        ("unknown", "api:", "apis:", "unknown.yaml:2:1"),
        ("role", "role: encoder", "role: poet", "role.yaml:4:"),
        ("width", "role: encoder", "role: encoder, width: 0", "targets[0].width: must be 1"),
    ];
    for (name, from, to, says) in cases {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good, "{name}");
        let error = refused(name, &text);
        assert!(error.contains(says), "{name}: {error}");
    }
}
