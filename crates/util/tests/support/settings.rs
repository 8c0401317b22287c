//! Checks a program's settings files: used by the tests of each server program.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// One way to spoil a good file, and what the error must say.
pub struct Case {
    pub name: &'static str,
    pub from: &'static str,
    pub to: &'static str,
    pub says: &'static str,
}

fn check(program: &str, file: &Path) -> Output {
    let args = ["--check", "--settings"];
    Command::new(program).args(args).arg(file).output().expect("it ran")
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/processes").join(name)
}

/// The examples pass; each spoilt copy of the first is refused with exit code 2.
pub fn examples_pass_and_bad_files_are_refused(program: &str, examples: &[&str], cases: &[Case]) {
    for name in examples {
        let out = check(program, &example(name));
        assert!(out.status.success(), "{name}: {}", String::from_utf8_lossy(&out.stderr));
    }
    let good = std::fs::read_to_string(example(examples[0])).expect("an example");
    let folder = std::env::temp_dir().join(format!("pumicevale-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for c in cases {
        let text = good.replacen(c.from, c.to, 1);
        assert_ne!(text, good, "{}", c.name);
        let file = folder.join(format!("{}.yaml", c.name));
        std::fs::write(&file, text).expect("written");
        let out = check(program, &file);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{}: {error}", c.name);
        assert!(error.contains(c.says), "{}: {error}", c.name);
    }
}
