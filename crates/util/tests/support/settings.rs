//! Checks of a program's settings files, shared by the tests of all server programs.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Replacement that makes a valid file invalid, and the expected error text.
pub struct Case {
    pub name: &'static str,
    pub from: &'static str,
    pub to: &'static str,
    pub expected: &'static str,
}

fn check(program: &str, file: &Path) -> Output {
    let args = ["--check", "--settings"];
    Command::new(program).args(args).arg(file).output().expect("the program runs")
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/processes").join(name)
}

/// All examples are valid; each modified copy of the first is rejected with exit code 2.
pub fn check_settings_files(program: &str, examples: &[&str], cases: &[Case]) {
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
        std::fs::write(&file, text).expect("the file is written");
        let out = check(program, &file);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{}: {error}", c.name);
        assert!(error.contains(c.expected), "{}: {error}", c.name);
    }
}
