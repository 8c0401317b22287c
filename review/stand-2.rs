//! Stand-ins for the cases of this review: the platform's store, links to it, servers and clients,
//! all in one process; the nodes run as processes of their own. Usage: stand CASE NODE RECORD.
//! `TROUBLE=0` leaves out the disruption. Exit status: 0 held, 1 broken, 2 could not run.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DRAIN_MS: u64 = 2000;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 4 {
        eprintln!("usage: stand CASE NODE RECORD");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let world = World::new(PathBuf::from(&args[2]));
    world.note(&format!("case {}, trouble {}", args[1], if trouble { "on" } else { "off" }));
    let end = match args[1].as_str() {
        "drain" => drain(&world, trouble),
        "gone" => gone(&world, trouble),
        other => Err(format!("no case {other}")),
    };
    let code = match end {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            world.note(&format!("could not run: {e}"));
            2
        }
    };
    world.note(&format!("exit status {code}"));
    world.stop();
    let text = world.record.lock().unwrap().clone();
    let mut lines: Vec<(u128, String)> = text;
    lines.sort_by_key(|(at, _)| *at);
    let mut out = String::new();
    for (at, line) in lines {
        let _ = writeln!(out, "{:>10.3} {line}", at as f64 / 1e6);
    }
    if std::fs::write(&args[3], out).is_err() {
        std::process::exit(2);
    }
    std::process::exit(code);
}

// ---------------------------------------------------------------- world

struct World {
    begun: Instant,
    subnet: (u8, u8),
    port: u16,
    folder: PathBuf,
    program: PathBuf,
    record: Mutex<Vec<(u128, String)>>,
    nodes: Mutex<Vec<Node>>,
    stopped: AtomicBool,
}

impl World {
    fn new(program: PathBuf) -> Arc<World> {
        let pid = std::process::id();
        let subnet = (((pid >> 8) & 0x7f) as u8 + 64, (pid & 0xff) as u8);
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        let _ = std::fs::create_dir_all(&folder);
        let mut world = World {
            begun: Instant::now(),
            subnet,
            port: 0,
            folder,
            program,
            record: Mutex::default(),
            nodes: Mutex::default(),
            stopped: AtomicBool::new(false),
        };
        let ip = world.ip(1);
        world.port = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr()).map_or(27100, |a| a.port());
        Arc::new(world)
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, last)
    }

    fn micros(&self) -> u128 {
        self.begun.elapsed().as_micros()
    }

    fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn note(&self, line: &str) {
        self.record.lock().unwrap().push((self.micros(), line.to_string()));
    }

    fn stop(&self) {
        self.stopped.store(true, SeqCst);
        for node in self.nodes.lock().unwrap().iter_mut() {
            node.end();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- nodes

struct Node {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").arg("-c").arg(format!("kill {signal} {}", child.id())).status();
        }
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn log_text(&self) -> String {
        std::fs::read(&self.log).map_or(String::new(), |b| String::from_utf8_lossy(&b).into_owned())
    }

    /// Where the node last said that it reads the store's state from.
    fn source(&self) -> String {
        let text = self.log_text();
        let line = text.lines().rev().find(|l| l.contains("\"event\":\"source\""));
        line.and_then(|l| l.split("\"from\":\"").nth(1)?.split('"').next().map(str::to_string))
            .unwrap_or_default()
    }
}

impl Node {
    /// Whether the node's last word on the store's list of servers is that the store did not answer.
    fn missed_store(&self) -> bool {
        let text = self.log_text();
        let of_store = |l: &&str| l.contains("\"event\":\"store\"") && l.contains("\"kind\":\"targets\"");
        text.lines().rev().find(of_store).is_some_and(|l| l.contains("\"reachable\":false"))
    }
}

/// Starts a node with settings in the form that the deploy file's template gives them.
fn start_node(w: &World, name: &str, last: u8, zone: &str, store: SocketAddr, seeds: &[u8], first: bool) -> Result<Node, String> {
    let ip = w.ip(last);
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{}:8628\"", w.ip(*s))).collect();
    let text = format!(
        "name: \"{name}\"\ndomain: \"{zone}\"\naddress: \"{ip}\"\ncallers: \"{ip}:8625\"\nreadiness: \"{ip}:8621\"\npeer_port: {port}\nseeds: [ {seeds} ]\nstore: \"{store}\"\nstop_ms: 8000\nregions: {{ \"hall-a\": \"kol-east\", \"hall-b\": \"kol-east\", \"hall-c\": \"kol-east\" }}\nhost: {{ cpu_share: 0.25, link_mbps: 1000.0, memory_mb: 260 }}\n{first}descriptors: 4100\nrepeats:\n  ratio: 0.2\n  window_s: 10\n  slack: 58\n",
        port = w.port,
        seeds = seeds.join(","),
        first = if first { "first_start: true\n" } else { "" },
    );
    let settings = w.folder.join(format!("{name}.yaml"));
    let log = w.folder.join(format!("{name}.log"));
    std::fs::write(&settings, text).map_err(|e| e.to_string())?;
    let mut node = Node { ip, settings, log, child: None };
    spawn(w, &mut node)?;
    Ok(node)
}

fn spawn(w: &World, node: &mut Node) -> Result<(), String> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(&node.log);
    let log = log.map_err(|e| e.to_string())?;
    let child = Command::new(&w.program)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("PUMICEVALE_CONFIG", &node.settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("node did not start: {e}"))?;
    node.child = Some(child);
    Ok(())
}

fn wait_ready(w: &World) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(20);
    let addresses: Vec<SocketAddr> =
        w.nodes.lock().unwrap().iter().map(|n| SocketAddr::from((n.ip, 8621))).collect();
    for address in addresses {
        while get(address, "/readyz") != Some(200) {
            if Instant::now() > until {
                return Err("a node did not become ready".into());
            }
            sleep(50);
        }
    }
    Ok(())
}

fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    send(address, &head, 1000).ok().and_then(|a| a.status())
}

// ---------------------------------------------------------------- HTTP

struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines.into_iter().find(|(n, _)| n.trim().eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }

    fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }
}

/// Reads one message with a length or in chunks; `None` at the end of the connection.
fn read_message(s: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(n) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break n + 4;
        }
        fill(s, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut message = Message { head, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let n = loop {
                if let Some(n) = buffer.windows(2).position(|w| w == b"\r\n") {
                    break n;
                }
                fill(s, buffer)?;
            };
            let size = usize::from_str_radix(String::from_utf8_lossy(&buffer[..n]).trim(), 16).ok()?;
            while buffer.len() < n + 2 + size + 2 {
                fill(s, buffer)?;
            }
            message.body.extend_from_slice(&buffer[n + 2..n + 2 + size]);
            buffer.drain(..n + 2 + size + 2);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        fill(s, buffer)?;
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

fn fill(s: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut more = [0; 8192];
    match s.read(&mut more) {
        Ok(n) if n > 0 => {
            buffer.extend_from_slice(&more[..n]);
            Some(())
        }
        _ => None,
    }
}

/// Sends a request over a new connection and reads the answer.
fn send(address: SocketAddr, request: &str, ms: u64) -> Result<Message, String> {
    let mut s = TcpStream::connect_timeout(&address, Duration::from_millis(1000)).map_err(|e| format!("connect: {:?}", e.kind()))?;
    let _ = s.set_nodelay(true);
    let _ = s.set_read_timeout(Some(Duration::from_millis(ms)));
    s.write_all(request.as_bytes()).map_err(|e| format!("write: {:?}", e.kind()))?;
    read_message(&mut s, &mut Vec::new()).ok_or_else(|| "no answer".into())
}

fn listen(w: &Arc<World>, address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<(SocketAddr, Arc<AtomicBool>), String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("bind: {e}"))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    let open = Arc::new(AtomicBool::new(true));
    let (flag, w, serve) = (open.clone(), w.clone(), Arc::new(serve));
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while flag.load(SeqCst) && !w.stopped.load(SeqCst) {
            match listener.accept() {
                Ok((s, _)) => {
                    let _ = s.set_nonblocking(false);
                    let _ = s.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(s));
                }
                Err(_) => thread::sleep(Duration::from_micros(500)),
            }
        }
    });
    Ok((at, open))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    log: Vec<(u64, String, String)>,
}

struct Store {
    state: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    fn start(w: &Arc<World>) -> Result<(Arc<Store>, SocketAddr), String> {
        let store = Arc::new(Store { state: Mutex::default(), changed: Condvar::new() });
        let serving = store.clone();
        let (at, _) = listen(w, SocketAddr::from((w.ip(200), 0)), move |s| serving.serve(s))?;
        Ok((store, at))
    }

    fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut st = self.state.lock().unwrap();
        st.revision += 1;
        let at = st.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{at},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{{}}}}"
        );
        st.objects.insert((kind.into(), name.into()), object.clone());
        st.log.push((at, kind.into(), format!("{{\"object\":{object},\"gone\":false}}")));
        drop(st);
        self.changed.notify_all();
    }


    fn delete(&self, kind: &str, name: &str) -> bool {
        let mut st = self.state.lock().unwrap();
        let Some(object) = st.objects.remove(&(kind.to_string(), name.to_string())) else {
            return false;
        };
        st.revision += 1;
        let at = st.revision;
        st.log.push((at, kind.into(), format!("{{\"object\":{object},\"gone\":true}}")));
        drop(st);
        self.changed.notify_all();
        true
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let st = self.state.lock().unwrap();
        let of_kind = st.objects.iter().filter(|((k, n), _)| k == kind && after.is_none_or(|a| n.as_str() > a));
        let items: Vec<&str> = of_kind.map(|(_, o)| o.as_str()).collect();
        format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), st.revision)
    }

    fn watch(&self, kind: &str, from: u64, wait: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut st = self.state.lock().unwrap();
        loop {
            let events: Vec<&str> =
                st.log.iter().filter(|(at, k, _)| *at > from && k == kind).map(|(_, _, e)| e.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), st.revision);
            }
            st = self.changed.wait_timeout(st, left).unwrap().0;
        }
    }

    fn serve(&self, mut s: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(m) = read_message(&mut s, &mut buffer) {
            let mut words = m.head.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
            let (kind, name) = (parts.next().unwrap_or(""), parts.next());
            let fields: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
            let (status, body) = match (method, name) {
                ("GET", None) => match fields.get("watch") {
                    Some(from) => {
                        let wait = fields.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                        (200, self.watch(kind, from.parse().unwrap_or(0), wait))
                    }
                    None => {
                        thread::sleep(Duration::from_millis(4));
                        (200, self.list(kind, fields.get("sinceRevision").copied()))
                    }
                },
                ("DELETE", Some(name)) => (if self.delete(kind, name) { 200 } else { 404 }, "{}".into()),
                ("POST", None) => {
                    let text = String::from_utf8_lossy(&m.body).into_owned();
                    let name = text.split("\"name\":\"").nth(1).and_then(|t| t.split('"').next()).unwrap_or("x").to_string();
                    self.put(kind, &name, "{}");
                    (200, "{}".into())
                }
                _ => (404, "{}".into()),
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if s.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// One node's way to the store, which can be cut: nothing passes either way, new connections
/// included, and nothing is closed.
struct Link {
    at: SocketAddr,
    cut: Arc<AtomicBool>,
    cuts: Arc<AtomicU64>,
}

impl Link {
    fn start(w: &Arc<World>, last: u8, to: SocketAddr) -> Result<Link, String> {
        let (cut, cuts) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (c, n) = (cut.clone(), cuts.clone());
        let (at, _) = listen(w, SocketAddr::from((w.ip(last), 0)), move |near| {
            let born = n.load(SeqCst);
            while c.load(SeqCst) {
                sleep(10_000);
            }
            let Ok(far) = TcpStream::connect(to) else { return };
            let _ = far.set_nodelay(true);
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
            let n2 = n.clone();
            let back = thread::spawn(move || pump(far2, near2, &n2, born));
            pump(near, far, &n, born);
            let _ = back.join();
        })?;
        Ok(Link { at, cut, cuts })
    }

    fn cut(&self) {
        self.cuts.fetch_add(1, SeqCst);
        self.cut.store(true, SeqCst);
    }

    fn heal(&self) {
        self.cut.store(false, SeqCst);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cuts: &AtomicU64, born: u64) {
    let mut buffer = [0; 16 << 10];
    loop {
        let n = from.read(&mut buffer).unwrap_or(0);
        if cuts.load(SeqCst) != born {
            // What a cut held up never arrives, and neither side hears of it.
            sleep(120_000);
            return;
        }
        if n == 0 || to.write_all(&buffer[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

// ---------------------------------------------------------------- servers

struct Server {
    id: String,
    service: String,
    zone: String,
    at: SocketAddr,
    open: Arc<AtomicBool>,
}

type Arrivals = Arc<Mutex<Vec<(u64, String, String)>>>;

/// A sound server: works on what it is sent for `work_ms` and answers 200.
fn start_server(w: &Arc<World>, id: &str, last: u8, service: &str, zone: &str, work_ms: u64, arrivals: &Arrivals) -> Result<Server, String> {
    let (arrivals, world, name) = (arrivals.clone(), w.clone(), id.to_string());
    let (at, open) = listen(w, SocketAddr::from((w.ip(last), 0)), move |mut s| {
        let mut buffer = Vec::new();
        while let Some(m) = read_message(&mut s, &mut buffer) {
            if m.head.starts_with("GET /healthz") {
                let _ = s.write_all(format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                continue;
            }
            if m.header("expect-instance").is_some_and(|e| e != name) {
                let _ = s.write_all(format!("HTTP/1.1 421 X\r\nInstance-Id: {name}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes());
                continue;
            }
            let attempt = m.header("attempt-id").unwrap_or("").to_string();
            arrivals.lock().unwrap().push((world.ms(), name.clone(), attempt.clone()));
            sleep(work_ms);
            let body = format!("done by {name}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: 3e1b.{name}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if s.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })?;
    Ok(Server { id: id.into(), service: service.into(), zone: zone.into(), at, open })
}

impl Server {
    fn write_entry(&self, store: &Store, state: &str) {
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":1}}",
            self.service, self.at, self.zone
        );
        store.put("servers", &self.id, &spec);
    }
}

// ---------------------------------------------------------------- clients

struct Sent {
    at: u64,
    id: String,
    end: String,
}

/// Sends a request every `every_ms` to one node until told to stop; ids begin with the node's number.
fn start_clients(w: &Arc<World>, number: usize, node: Ipv4Addr, every_ms: u64, path: &'static str, sent: &Arc<Mutex<Vec<Sent>>>, stop: &Arc<AtomicBool>) {
    let (w, sent, stop) = (w.clone(), sent.clone(), stop.clone());
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    thread::spawn(move || {
        while !stop.load(SeqCst) {
            let (w, sent) = (w.clone(), sent.clone());
            let id = format!("{number:02x}{:014x}", NEXT.fetch_add(1, SeqCst));
            thread::spawn(move || {
                let request = format!(
                    "POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"
                );
                let at = w.ms();
                let end = match send(SocketAddr::from((node, 8625)), &request, 3000) {
                    Ok(m) => format!("status {}", m.status().unwrap_or(0)),
                    Err(e) => e,
                };
                sent.lock().unwrap().push(Sent { at, id, end });
            });
            sleep(every_ms);
        }
    });
}

// ---------------------------------------------------------------- case: drain

const NODES: [(&str, &str); 9] = [
    ("edge-hall-a-1", "hall-a"),
    ("edge-hall-a-2", "hall-a"),
    ("edge-hall-a-3", "hall-a"),
    ("edge-hall-a-4", "hall-a"),
    ("edge-hall-b-1", "hall-b"),
    ("edge-hall-b-2", "hall-b"),
    ("edge-hall-c-1", "hall-c"),
    ("edge-hall-c-2", "hall-c"),
    ("edge-hall-c-3", "hall-c"),
];

fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!("{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeoutMs\":1500,\"sloMs\":300,\"priority\":2,\"service\":\"board-api\",\"maxAttempts\":{attempts},\"anonymous\":false,\"resumable\":false}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"board-api\",\"healthPath\":\"/healthz\",\"maxConnections\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"ward\",\"apiKeys\":[\"key-1\"]}}]}}",
        route("board-fetch", "/fetch/", "non_idempotent", 1),
        route("notice-post", "/post/", "idempotent", 2),
    )
}

/// Nine nodes as at parabaas-boards. Twice: the node of hall-c that reads the store stands still, a second
/// one 1.2 s later, each for 3.5 s, and one of nine servers announces that it leaves just after the first.
/// The third node of hall-c is disturbed in no way.
fn drain(w: &Arc<World>, trouble: bool) -> Result<bool, String> {
    let (store, store_at) = Store::start(w)?;
    store.put("config", "main", &config(3));
    let arrivals = Arrivals::default();
    let mut servers = Vec::new();
    let zones = ["hall-a", "hall-b", "hall-c"];
    for i in 0..9_u8 {
        let server = start_server(w, &format!("i-{i:08x}"), 100 + i, "board-api", zones[i as usize % 3], 60, &arrivals)?;
        server.write_entry(&store, "ready");
        servers.push(server);
    }
    for (i, (name, zone)) in NODES.iter().enumerate() {
        let node = start_node(w, name, 1 + i as u8, zone, store_at, &[1, 5, 7], true)?;
        w.nodes.lock().unwrap().push(node);
    }
    wait_ready(w)?;
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    for (i, node) in w.nodes.lock().unwrap().iter().enumerate() {
        // The zone's clients at its three nodes; fewer elsewhere.
        let every = if i >= 6 { 12 } else { 500 };
        start_clients(w, i, node.ip, every, "/fetch/x", &sent, &stop);
    }
    sleep(10_000);
    let mut drained: Vec<(String, u64)> = Vec::new();
    let mut out: Vec<(usize, u64, u64)> = Vec::new();
    let mut fresh = 9_u8;
    let mut frozen_before = None;
    for round in 0..2 {
        let sources: Vec<String> = w.nodes.lock().unwrap()[6..].iter().map(Node::source).collect();
        let relay = sources.iter().position(|s| s == "store").ok_or("hall-c has no node that reads the store")?;
        let others: Vec<usize> = (0..3).filter(|i| *i != relay).collect();
        let frozen = others.iter().copied().find(|i| Some(*i) != frozen_before).unwrap_or(others[0]);
        frozen_before = Some(frozen);
        let (relay, frozen) = (6 + relay, 6 + frozen);
        // The new one starts first, then the old one leaves.
        for _ in 0..1 {
            let server = start_server(w, &format!("i-{fresh:08x}"), 100 + fresh, "board-api", "hall-c", 60, &arrivals)?;
            server.write_entry(&store, "ready");
            servers.push(server);
            fresh += 1;
        }
        sleep(50);
        let begun = w.ms();
        let signal = |node: usize, signal: &str, what: &str| {
            if trouble {
                w.nodes.lock().unwrap()[node].signal(signal);
                w.note(&format!("round {round}: {} {what}", NODES[node].0));
            }
        };
        signal(relay, "-STOP", "stands still");
        sleep(20);
        let server = &servers[round];
        server.write_entry(&store, "draining");
        drained.push((server.id.clone(), w.ms()));
        w.note(&format!("round {round}: the store has taken that {} is draining", server.id));
        sleep(1180);
        signal(frozen, "-STOP", "stands still");
        sleep(2300);
        signal(relay, "-CONT", "goes on");
        sleep(1200);
        signal(frozen, "-CONT", "goes on");
        if trouble {
            let end = w.ms() + 3000;
            out.push((relay, begun, end));
            out.push((frozen, begun, end));
        }
        sleep(800);
        store.delete("servers", &servers[round].id);
        servers[round].open.store(false, SeqCst);
        w.note(&format!("round {round}: {} ends", servers[round].id));
        sleep(7000);
    }
    judge_drain(w, &NODES, &sent, &stop, &arrivals, &drained, &out)
}

/// Whether no request through a machine in touch reached a server more than `drainMs` after the store
/// had taken that it leaves.
fn judge_drain(
    w: &World,
    names: &[(&str, &str)],
    sent: &Mutex<Vec<Sent>>,
    stop: &AtomicBool,
    arrivals: &Arrivals,
    drained: &[(String, u64)],
    out: &[(usize, u64, u64)],
) -> Result<bool, String> {
    stop.store(true, SeqCst);
    sleep(3500);
    let sent = sent.lock().unwrap();
    let mut by_end: BTreeMap<String, usize> = BTreeMap::new();
    for s in sent.iter() {
        *by_end.entry(s.end.clone()).or_default() += 1;
    }
    w.note(&format!("sent {}: {by_end:?}", sent.len()));
    let ends: HashMap<&str, (&str, u64)> = sent.iter().map(|s| (s.id.as_str(), (s.end.as_str(), s.at))).collect();
    let arrivals = arrivals.lock().unwrap();
    w.note(&format!("arrived at servers: {}", arrivals.len()));
    if by_end.get("status 200").copied().unwrap_or(0) < sent.len() / 2 {
        return Err("most requests were not answered".into());
    }
    let mut late = 0;
    for (at, server, id) in arrivals.iter() {
        let Some((_, taken)) = drained.iter().find(|(d, _)| d == server) else { continue };
        if *at <= *taken + DRAIN_MS {
            continue;
        }
        let number = usize::from_str_radix(&id[..2], 16).unwrap_or(0);
        let is_out = out.iter().any(|(n, from, to)| *n == number && at >= from && at <= to);
        let (end, sent_at) = ends.get(id.as_str()).copied().unwrap_or(("?", 0));
        w.note(&format!(
            "{} request {id}, sent at {:.3} through {}, reached {server} at {:.3}, {} ms after the store took its leaving; {end}",
            if is_out { "(out of touch)" } else { "LATE" },
            sent_at as f64 / 1e3,
            names[number].0,
            *at as f64 / 1e3,
            at - taken
        ));
        late += usize::from(!is_out);
    }
    w.note(&format!("{late} requests through machines in touch reached a server more than {DRAIN_MS} ms after its leaving was acknowledged"));
    Ok(late == 0)
}

// ---------------------------------------------------------------- case: gone

/// Nine nodes as at parabaas-boards. Both nodes of hall-b lose their ways to the store for a while: the
/// one that reads it for 3 s, the other for 5.5 s from a second later on. Over 6 s after that, the first
/// one loses its way again, and the entry of one of nine servers, which never said that it leaves,
/// goes from the store. The other node is disturbed in no way since its own cut.
fn gone(w: &Arc<World>, trouble: bool) -> Result<bool, String> {
    let (store, store_at) = Store::start(w)?;
    store.put("config", "main", &config(3));
    let arrivals = Arrivals::default();
    let mut servers = Vec::new();
    let zones = ["hall-a", "hall-b", "hall-c"];
    for i in 0..9_u8 {
        let server = start_server(w, &format!("i-{i:08x}"), 100 + i, "board-api", zones[i as usize % 3], 60, &arrivals)?;
        server.write_entry(&store, "ready");
        servers.push(server);
    }
    let mut links = Vec::new();
    for (i, (name, zone)) in NODES.iter().enumerate() {
        let link = Link::start(w, 150 + i as u8, store_at)?;
        let node = start_node(w, name, 1 + i as u8, zone, link.at, &[1, 5, 7], true)?;
        w.nodes.lock().unwrap().push(node);
        links.push(link);
    }
    wait_ready(w)?;
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    for (i, node) in w.nodes.lock().unwrap().iter().enumerate() {
        start_clients(w, i, node.ip, if i == 4 || i == 5 { 20 } else { 200 }, "/fetch/x", &sent, &stop);
    }
    sleep(8000);
    let mut left: Vec<(String, u64)> = Vec::new();
    let mut out = Vec::new();
    for round in 0..2 {
        let reader = (4..6).find(|i| w.nodes.lock().unwrap()[*i].source() == "store");
        let reader = reader.ok_or("hall-b has no node that reads the store")?;
        let other = 9 - reader;
        if trouble {
            let begun = w.ms();
            links[reader].cut();
            w.note(&format!("round {round}: {} loses its way to the store", NODES[reader].0));
            sleep(1000);
            links[other].cut();
            w.note(&format!("round {round}: {} loses its way to the store", NODES[other].0));
            sleep(2000);
            links[reader].heal();
            w.note(&format!("round {round}: {} reaches the store again", NODES[reader].0));
            sleep(3500);
            links[other].heal();
            w.note(&format!("round {round}: {} reaches the store again", NODES[other].0));
            out.push((reader, begun, w.ms() + 3000));
            out.push((other, begun, w.ms() + 3000));
        } else {
            sleep(6500);
        }
        sleep(6500);
        let nodes = w.nodes.lock().unwrap();
        w.note(&format!("round {round}: {} reads from {}", NODES[reader].0, nodes[reader].source()));
        let last = if nodes[other].missed_store() { "failed" } else { "answered" };
        w.note(&format!("round {round}: {} reads from {}; its last call to the store: {last}", NODES[other].0, nodes[other].source()));
        drop(nodes);
        let begun = w.ms();
        if trouble {
            links[reader].cut();
            w.note(&format!("round {round}: {} loses its way to the store once more", NODES[reader].0));
        }
        sleep(50);
        let leaving = &servers[round..=round];
        for server in leaving {
            store.delete("servers", &server.id);
            left.push((server.id.clone(), w.ms()));
            w.note(&format!("round {round}: the entry of {} is gone from the store; it serves on for 5 s", server.id));
        }
        sleep(5000);
        for server in leaving {
            server.open.store(false, SeqCst);
            w.note(&format!("round {round}: {} ends", server.id));
        }
        sleep(450);
        if trouble {
            links[reader].heal();
            w.note(&format!("round {round}: {} reaches the store again", NODES[reader].0));
            out.push((reader, begun, w.ms() + 3000));
        }
        sleep(7000);
    }
    judge_drain(w, &NODES, &sent, &stop, &arrivals, &left, &out)
}
