//! The guarantees of the in-process fault tests over separate processes that are killed, frozen and
//! continued, with the store unavailable for a while. Assertions are on invariants, never on speed.
//! Each role is this test binary run again on a loopback address of its own, so that no port is
//! shared with another process.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use audit::{CallRecord, Record, StepRun};
use common::{TestRequest, client, new_key, rules};
use hyper::Method;
use model::claim::Claims;
use model::object::Spec;
use model::outcome::Outcome;
use model::store::Listing;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use standin::journal::RunRecord;

/// Environment variables of a child process for its role and its settings file.
const ROLE: &str = "PUMICEVALE_TEST_ROLE";
const FILE: &str = "PUMICEVALE_TEST_FILE";

/// Entry point of a child process, which runs its role and never returns. Does nothing in the test
/// run itself.
#[test]
fn role() {
    let (Ok(role), Ok(file)) = (std::env::var(ROLE), std::env::var(FILE)) else {
        return;
    };
    let settings = PathBuf::from(file);
    let result = match role.as_str() {
        "entry" => entry::Entry::main(entry::args::Args { settings, check: false }),
        "control" => control::Control::main(control::args::Args { settings, check: false }),
        _ => standin::run::main(standin::args::Args { settings, check: false }),
    };
    std::process::exit(i32::from(result.is_err()));
}

struct Process {
    child: Child,
    role: &'static str,
    file: PathBuf,
}

impl Process {
    fn start(role: &'static str, file: PathBuf) -> Process {
        let child = Command::new(std::env::current_exe().expect("this program"))
            .args(["role", "--exact", "--nocapture", "--test-threads=1"])
            .env(ROLE, role)
            .env(FILE, &file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        Process { child, role, file }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("a child process");
        if signal == Signal::SIGSTOP {
            self.await_stopped();
        }
    }

    /// Waits until every thread is stopped. SIGSTOP is asynchronous: a thread on another core keeps
    /// running until it is interrupted.
    fn await_stopped(&self) {
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped =
            |stat: String| stat.rsplit(") ").next().is_some_and(|s| s.starts_with('T'));
        loop {
            let threads = std::fs::read_dir(&tasks).expect("a child process");
            let mut stats = threads.filter_map(|t| {
                std::fs::read_to_string(t.expect("a readable folder").path().join("stat")).ok()
            });
            if stats.all(is_stopped) {
                return;
            }
            std::thread::yield_now();
        }
    }

    /// Kills the process with SIGKILL and starts it again with the same settings.
    fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        *self = Process::start(self.role, self.file.clone());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Nine nodes in three failure domains, with one process per component.
struct Fleet {
    folder: PathBuf,
    base: u8,
    store: Process,
    targets: Vec<(SocketAddr, Process)>,
    controls: Vec<Process>,
    entries: Vec<Process>,
}

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const NODES: usize = 9;

impl Fleet {
    /// Loopback address of one component; the second byte is derived from the id of this process,
    /// so that concurrent test runs use different addresses.
    fn ip(&self, component: usize) -> String {
        format!("127.{}.7.{}", self.base, component + 1)
    }

    fn write(&self, name: &str, text: String) -> PathBuf {
        let file = self.folder.join(name);
        std::fs::write(&file, text).expect("written");
        file
    }

    fn caller_address(&self, node: usize) -> SocketAddr {
        format!("{}:7000", self.ip(10 + node)).parse().expect("an address")
    }

    fn store_address(&self) -> SocketAddr {
        format!("{}:7000", self.ip(0)).parse().expect("an address")
    }

    fn start() -> Fleet {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("pumicevale-test-{pid}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let base = 10 + (pid % 240) as u8;
        let file = folder.join("store.yaml");
        std::fs::write(&file, format!("api: 127.{base}.7.1:7000\n")).expect("written");
        let store = Process::start("standin", file);
        let mut fleet = Fleet {
            folder,
            base,
            store,
            targets: Vec::new(),
            controls: Vec::new(),
            entries: Vec::new(),
        };
        for node in 0..NODES {
            fleet.start_node(node);
        }
        fleet
    }

    fn start_node(&mut self, node: usize) {
        let (name, domain) = (format!("n{node}"), DOMAINS[node % 3]);
        let (ip, store) = (self.ip(10 + node), self.store_address());
        let near: Vec<&str> = DOMAINS.iter().copied().filter(|d| *d != domain).collect();
        let seeds: Vec<String> = (0..NODES)
            .filter(|n| n % 3 == node % 3 && *n < 6)
            .map(|n| format!("\"{}:7001\"", self.ip(10 + n)))
            .collect();
        let links: Vec<String> = (0..3)
            .filter(|n| *n != node % 3)
            .map(|n| format!("\"{}:7001\"", self.ip(10 + n)))
            .collect();
        let control = format!(
            "name: {name}\ndomain: {domain}\naddress: {ip}:7001\nentry: {ip}:7002\n\
             seeds: [{}]\nlinks: [{}]\nstore: {store}\nstore_rate: 50\n\
             lease_period: 2000\npoll_period: 500\n",
            seeds.join(", "),
            links.join(", ")
        );
        let entry = format!(
            "name: {name}\ndomain: {domain}\nnear: [{}]\ncallers: {ip}:7000\npeers: {ip}:7002\n\
             control: {ip}:7001\nstore: {store}\nbalancer_lag: 100\n",
            near.join(", ")
        );
        let control = self.write(&format!("control-{node}.yaml"), control);
        let entry = self.write(&format!("entry-{node}.yaml"), entry);
        self.controls.push(Process::start("control", control));
        self.entries.push(Process::start("entry", entry));
    }

    /// Starts the declared targets, applies the declarations and waits until they are in force.
    async fn apply(&mut self) {
        let mut declarations = common::declarations();
        let mut component = 30;
        for d in &mut declarations {
            let Spec::Pool(pool) = &mut d.spec else {
                continue;
            };
            for t in &mut pool.targets {
                let address = format!("{}:7000", self.ip(component));
                component += 1;
                let role = format!("{:?}", pool.role).to_lowercase();
                let text = format!(
                    "targets:\n  - {{ name: {}, address: \"{address}\", role: {role}, \
                     models: [m@v1], fenced: {} }}\n",
                    t.name, pool.fenced
                );
                let file = self.write(&format!("{}.yaml", t.name), text);
                let process = Process::start("standin", file);
                self.targets.push((address.parse().expect("an address"), process));
                t.address = address.into();
            }
        }
        self.wait_answering(self.store_address(), "/calls").await;
        let remote = cli::Remote::new(&self.store_address().to_string()).expect("an address");
        let written = cli::cmd::write_all(&remote, declarations).await.expect("written");
        cli::cmd::wait_in_force(&remote, &written, Duration::from_secs(60))
            .await
            .expect("in force");
        for node in 0..NODES {
            self.wait_answering(self.caller_address(node), "/readyz").await;
        }
    }

    async fn wait_answering(&self, at: SocketAddr, path: &str) {
        for _ in 0..1200 {
            let wait = Duration::from_secs(1);
            if client().text(&at.to_string(), path, wait).await.is_ok() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{at}{path} does not answer");
    }

    /// Replaces the faults of a target.
    async fn set_faults(&self, target: &str, faults: &serde_json::Value) {
        let file = format!("{target}.yaml");
        let (at, _) = self
            .targets
            .iter()
            .find(|(_, p)| p.file.ends_with(&file))
            .expect("a target of that name");
        let (client, wait) = (client(), Duration::from_secs(10));
        let at = at.to_string();
        let call = client.json::<_, ()>(&at, Method::POST, "/faults", Some(faults), wait);
        call.await.expect("faults are set");
    }

    /// Sends `n` pairs of orders that share a key to two nodes each, and `n` summary requests.
    async fn send_load(&self, call: u64, n: u64) -> (Vec<CallRecord>, Vec<CallRecord>) {
        let mut orders = Vec::new();
        let mut minutes = Vec::new();
        for i in 0..n {
            let k = new_key();
            for j in 0..2 {
                let to = self.caller_address(((i + j * 4) as usize) % NODES);
                let request = TestRequest::order(call + i * 2 + j, k);
                orders.push(tokio::spawn(async move { request.send(&client(), to).await }));
            }
            let to = self.caller_address((i as usize + 2) % NODES);
            let request = TestRequest::minutes(call + i, i % 2 == 0);
            minutes.push(tokio::spawn(async move { request.send(&client(), to).await }));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut seen = (Vec::new(), Vec::new());
        for o in orders {
            seen.0.push(o.await.expect("sent"));
        }
        for m in minutes {
            seen.1.push(m.await.expect("sent"));
        }
        seen
    }

    /// Record for the auditor: the runs of all targets and the claims in the store.
    async fn record(&self, pipeline: &str, calls: Vec<CallRecord>) -> Record {
        let mut runs = Vec::new();
        for (at, _) in &self.targets {
            let journal: Vec<RunRecord> = read(at, "/journal").await;
            runs.extend(journal.into_iter().map(|r| StepRun {
                request: r.attempt.request,
                step: r.step,
                resumed: r.resumed,
                completed: r.done,
            }));
        }
        let listing: Listing = read(&self.store_address(), "/v1/claim").await;
        let values = listing.objects.into_iter().filter_map(|o| o.value);
        let claims = values.filter_map(|v| serde_json::from_value::<Claims>(v).ok()).collect();
        Record { calls, runs, claims, rules: rules(pipeline) }
    }
}

async fn read<T: serde::de::DeserializeOwned>(at: &SocketAddr, path: &str) -> T {
    let (client, at) = (client(), at.to_string());
    let wait = Duration::from_secs(10);
    client.json::<(), T>(&at, Method::GET, path, None, wait).await.expect("an answer")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(Path::new(&self.folder));
    }
}

fn outcomes(seen: &[CallRecord], expected: Outcome) -> usize {
    seen.iter().filter(|s| s.outcomes.first() == Some(&expected)).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_process_kills_freezes_and_a_store_outage() {
    if std::env::var(ROLE).is_ok() {
        return;
    }
    let mut fleet = Fleet::start();
    fleet.apply().await;
    let (mut orders, mut minutes) = fleet.send_load(0, 20).await;
    assert_eq!(outcomes(&minutes, Outcome::Complete), 20, "before any fault");

    // Connections are cut: an engine's in mid-stream, a payment's after it ran.
    for (target, faults) in [("eng-1", json!({ "cut": 3 })), ("pay-1", json!({ "drop": true }))] {
        fleet.set_faults(target, &faults).await;
    }
    let batch = fleet.send_load(500, 10).await;
    let complete = outcomes(&batch.1, Outcome::Complete);
    assert_eq!(complete, 10, "cut streams are resumed: {:#?}", batch.1);
    assert!(outcomes(&batch.0, Outcome::Unknown) > 10, "lost payments are unknown");
    orders.extend(batch.0);
    minutes.extend(batch.1);
    for target in ["eng-1", "pay-1"] {
        fleet.set_faults(target, &json!({})).await;
    }

    // An entry process is killed during requests and started again.
    let batch = {
        let load = fleet.send_load(1000, 20);
        tokio::pin!(load);
        tokio::select! {
            _ = &mut load => unreachable!("the load takes longer"),
            () = tokio::time::sleep(Duration::from_millis(30)) => {}
        }
        let pid = Pid::from_raw(fleet.entries[4].child.id() as i32);
        kill(pid, Signal::SIGKILL).expect("a child process");
        load.await
    };
    orders.extend(batch.0);
    minutes.extend(batch.1);
    fleet.entries[4].restart();
    fleet.wait_answering(fleet.caller_address(4), "/readyz").await;

    // Every control process of one failure domain is frozen and its leases expire.
    for node in [0, 3, 6] {
        fleet.controls[node].signal(Signal::SIGSTOP);
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let batch = fleet.send_load(2000, 10).await;
    assert_eq!(
        outcomes(&batch.1, Outcome::Complete),
        10,
        "the data path does not depend on control"
    );
    orders.extend(batch.0);
    minutes.extend(batch.1);
    for node in [0, 3, 6] {
        fleet.controls[node].signal(Signal::SIGCONT);
    }

    // The store is frozen: repeatable work continues, and orders reported as not run did not run.
    fleet.store.signal(Signal::SIGSTOP);
    let batch = fleet.send_load(3000, 6).await;
    assert_eq!(
        outcomes(&batch.1, Outcome::Complete),
        6,
        "repeatable work does not depend on the store"
    );
    assert_eq!(outcomes(&batch.0, Outcome::Complete), 0, "no order completes without a claim");
    orders.extend(batch.0);
    minutes.extend(batch.1);
    fleet.store.signal(Signal::SIGCONT);

    // Every control process is killed: restarted nodes rejoin and apply a change.
    for c in &mut fleet.controls {
        c.restart();
    }
    let remote = cli::Remote::new(&fleet.store_address().to_string()).expect("an address");
    let change = common::declarations().into_iter().filter(|d| &*d.name == "limited");
    let changed: Vec<_> = change
        .map(|mut d| {
            if let Spec::Workspace(w) = &mut d.spec {
                w.deadline += 1;
            }
            d
        })
        .collect();
    let written = cli::cmd::write_all(&remote, changed).await.expect("written");
    cli::cmd::wait_in_force(&remote, &written, Duration::from_secs(60)).await.expect("in force");

    // A graceful stop with open requests.
    let batch = {
        let load = fleet.send_load(4000, 10);
        tokio::pin!(load);
        tokio::select! {
            _ = &mut load => unreachable!("the load takes longer"),
            () = tokio::time::sleep(Duration::from_millis(20)) => {}
        }
        let pid = Pid::from_raw(fleet.entries[2].child.id() as i32);
        kill(pid, Signal::SIGTERM).expect("a child process");
        load.await
    };
    let cut = batch.1.iter().filter(|s| s.disconnected && !s.text.is_empty()).count();
    assert_eq!(cut, 0, "a graceful stop cuts off no stream");
    orders.extend(batch.0);
    minutes.extend(batch.1);

    let complete = outcomes(&orders, Outcome::Complete);
    assert!(complete >= 30, "most orders complete outside the faults: {complete}");
    assert_eq!(fleet.record("order", orders).await.audit(), vec![]);
    assert_eq!(fleet.record("minutes", minutes).await.audit(), vec![]);
}
