//! Nodes of the project: processes with the command of `deploy/system.toml` and the settings that
//! `platform/node.yaml` yields for a small deployment.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::sys;

/// `run` of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/pumicevale-node";
/// Bounds of the site: `graceS`, in seconds.
pub const GRACE_S: u64 = 8;

/// A node's process, killed on drop.
pub struct Node {
    pub name: String,
    pub callers: SocketAddrV4,
    readiness: SocketAddrV4,
    settings: PathBuf,
    child: Child,
}

/// Hosts of this process: loopback addresses that no other run uses at the same time.
fn host(number: usize) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 1 + (id >> 8) as u8 % 250, id as u8, 10 + number as u8)
}

/// A port that is free on all hosts.
fn common_port(hosts: &[Ipv4Addr]) -> u16 {
    loop {
        let port = TcpListener::bind((hosts[0], 0))
            .and_then(|l| l.local_addr())
            .expect("loopback has ports")
            .port();
        let is_free = |h: &Ipv4Addr| {
            TcpListener::bind((*h, port)).is_ok() && UdpSocket::bind((*h, port)).is_ok()
        };
        if hosts.iter().all(is_free) {
            return port;
        }
    }
}

/// Starts one node in each zone.
pub fn start(zones: &[&str], store: &Store, folder: &Path) -> Vec<Node> {
    let hosts: Vec<Ipv4Addr> = (0..zones.len()).map(host).collect();
    let mut ports: Vec<u16> = Vec::new();
    while ports.len() < 4 {
        let port = common_port(&hosts);
        if !ports.contains(&port) {
            ports.push(port);
        }
    }
    let seeds: Vec<String> = hosts.iter().map(|h| format!("\"{h}:{}\"", ports[3])).collect();
    let started = zones.iter().zip(&hosts).map(|(zone, host)| {
        let name = format!("edge-{zone}-1");
        let address = |port| SocketAddrV4::new(*host, port);
        let (callers, readiness) = (address(ports[0]), address(ports[1]));
        let text = format!(
            "name: \"{name}\"\ndomain: \"{zone}\"\naddress: \"{host}\"\ncallers: \"{callers}\"\nreadiness: \"{readiness}\"\npeer_port: {}\nseeds: [ {} ]\nstore: \"{}\"\nstop_ms: {GRACE_S}000\nregions: {{ \"dar-a\": \"dar\",\"dar-b\": \"dar\",\"dar-c\": \"dar\" }}\nhost: {{ cpu_share: 0.5, link_mbps: 200.0 }}\nfirst_start: true\ndescriptors: 8192\nrepeats:\n  ratio: 0.2\n  window_s: 10\n  slack: 176\nevacuations: true\ncold: {{ overrun: 1.5, slack: 5 }}\n",
            ports[2], seeds.join(","), store.address
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the temporary folder is writable");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the temporary folder is writable");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("PUMICEVALE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .spawn()
            .expect("the node was built");
        Node { name, callers, readiness, settings, child }
    });
    started.collect()
}

impl Node {
    /// Waits until the node says that it is ready; false after 20 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n")?;
            Ok(http::read(&mut stream)?.is_some_and(|answer| answer.status() == 200))
        };
        ask().unwrap_or(false)
    }

    pub fn signal(&self, signal: i32) {
        sys::signal(self.child.id(), signal);
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().expect("our own child")?;
        Some(status.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
