//! The command line against a stand-in of the Object API, and its exit codes.

use std::path::PathBuf;
use std::process::{Command, Output};

use standin::faults::ApiFaults;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pumicevale")).args(args).output().expect("it ran")
}

fn output_text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pumicevale-cli-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("d.yaml");
    std::fs::write(&file, content).expect("written");
    file
}

#[test]
fn invalid_file_exits_with_2_and_its_location() {
    let file = write_file("bad", "kind: Workspace\nname: w\nspec:\n  deadlin: 5\n");
    let out = run(&["validate", "-f", file.to_str().expect("a path")]);
    assert_eq!(out.status.code(), Some(2), "{}", output_text(&out));
    assert!(output_text(&out).contains("d.yaml:4:3"), "{}", output_text(&out));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_succeed_and_a_lost_write_is_read_back() {
    let (_stopper, stop) = util::stop::channel();
    let (at, api, _) = standin::run::start_api("127.0.0.1:0", stop).await.expect("started");
    let store = at.to_string();
    let f = write_file("good", "kind: Workspace\nname: w\nspec: {deadline: 100}\n");
    let f = f.to_str().expect("a path").to_string();
    let call = move |args: Vec<String>| async move {
        tokio::task::spawn_blocking(move || {
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            run(&args)
        })
        .await
        .expect("it ran")
    };
    let args = |list: &[&str]| -> Vec<String> {
        list.iter().map(|a| (*a).to_string()).chain(["--store".into(), store.clone()]).collect()
    };
    let out = call(args(&["diff", "-f", &f])).await;
    assert!(output_text(&out).contains("+ Workspace/w"), "{}", output_text(&out));
    api.set_faults(ApiFaults { lose: 1, ..ApiFaults::default() });
    let out = call(args(&["apply", "-f", &f])).await;
    assert!(
        out.status.success() && output_text(&out).contains("1 objects written"),
        "{}",
        output_text(&out)
    );
    let out = call(args(&["apply", "-f", &f])).await;
    assert!(output_text(&out).contains("0 objects written"), "{}", output_text(&out));
    let out = call(args(&["get", "workspace", "w"])).await;
    assert!(output_text(&out).contains("deadline: 100"), "{}", output_text(&out));
    let out = call(args(&["get", "gadget"])).await;
    assert!(
        !out.status.success() && output_text(&out).contains("is not one of"),
        "{}",
        output_text(&out)
    );
    let out = call(args(&["drain", "h1", "--reason", "taken back"])).await;
    assert!(out.status.success(), "{}", output_text(&out));
    let out = call(args(&["drain", "h1", "--undo"])).await;
    assert!(output_text(&out).contains("deleted"), "{}", output_text(&out));
    let out = call(args(&["drain", "h1", "--undo"])).await;
    assert!(
        !out.status.success() && output_text(&out).contains("not being drained"),
        "{}",
        output_text(&out)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_conflict_names_author_and_change() {
    let (_stopper, stop) = util::stop::channel();
    let (at, _, _) = standin::run::start_api("127.0.0.1:0", stop).await.expect("started");
    let remote = cli::Remote::new(&at.to_string()).expect("an address");
    let spec = |host: &str| {
        model::object::Spec::Drain(model::object::Drain {
            host: host.into(),
            reason: String::new(),
        })
    };
    remote.write("Drain", "d", 0, Some(&spec("theirs"))).await.expect("written");
    let error = remote.write("Drain", "d", 0, Some(&spec("ours"))).await.expect_err("raced");
    let error = format!("{error:#}");
    assert!(error.contains("was version 0, is now 1") && error.contains("theirs"), "{error}");
}
