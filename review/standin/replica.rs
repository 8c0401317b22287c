//! A sound replica. The last part of a request's path is the size of its answer or, below
//! [`STREAM`], the number of its events.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use crate::sys::{self, Receiving};
use crate::world::STREAM;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// Size from which a body is long.
const LONG_BYTES: usize = 100_000;
/// Every so many long requests, one is answered early: a share of 0.0294.
const EARLY_EVERY: usize = 34;
/// Time after an early answer in which nothing is read.
const READS_AFTER: Duration = Duration::from_millis(500);
/// How a replica's host receives: small windows, and segments of an Ethernet link.
const RECEIVING: Receiving = Receiving { buffer: 16_384, segment: 1460 };
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// What became of a request here.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    /// Bytes of the body that came, and whether they are all that the head announced.
    pub body_bytes: usize,
    pub is_body_whole: bool,
    /// Whether the whole answer was handed to the connection.
    pub answered: bool,
}

pub struct Replica {
    id: String,
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    is_early: AtomicBool,
    /// Long requests since then.
    long_requests: AtomicUsize,
}

/// The byte at a position of an answer.
pub fn byte_at(position: usize) -> u8 {
    b'a' + (position % 23) as u8
}

/// An event of a stream; all have the same size.
pub fn event(number: usize) -> String {
    format!("id: {number:04}\ndata: {}\n\n", "a word of the answer ".repeat(4))
}

/// The first events of a stream.
pub fn events(count: usize) -> Vec<u8> {
    (1..=count).map(event).collect::<String>().into_bytes()
}

/// An answer of this size.
pub fn content(size: usize) -> Vec<u8> {
    (0..size).map(byte_at).collect()
}

impl Replica {
    /// Starts a replica that records itself in the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback has ports");
        sys::set_receiving(&listener, RECEIVING).expect("a socket takes options");
        let address: SocketAddr = listener.local_addr().expect("bound");
        let replica = Arc::new(Replica {
            id: id.into(),
            record: record.clone(),
            runs: Mutex::default(),
            is_early: AtomicBool::new(false),
            long_requests: AtomicUsize::new(0),
        });
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        store.put("servers", id, &format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1}}"
        ));
        replica
    }

    /// Sets whether a part of the requests with long bodies is answered before they have been read;
    /// the connection is held open and the rest is read later.
    pub fn answer_early(&self, is_early: bool) {
        self.is_early.store(is_early, Ordering::Relaxed);
    }

    /// Whether this long request is to be answered early.
    fn takes_early(&self) -> bool {
        self.is_early.load(Ordering::Relaxed)
            && self.long_requests.fetch_add(1, Ordering::Relaxed) % EARLY_EVERY == EARLY_EVERY - 1
    }

    /// Whether it has answered a request early.
    pub fn has_early_runs(&self) -> bool {
        self.long_requests.load(Ordering::Relaxed) >= EARLY_EVERY
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some(mut request)) = http::read_head(&mut stream) {
            let is_own = request.header("expect-instance").is_none_or(|id| id == self.id);
            if is_own && request.length() >= LONG_BYTES && self.takes_early() {
                return self.run_early(&mut stream, &request);
            }
            if http::read_body(&mut stream, &mut request).is_err() {
                return;
            }
            let is_expected = request.header("expect-instance").is_none_or(|id| id == self.id);
            let answered = match (request.path(), request.header("attempt-id"), is_expected) {
                ("/healthz", ..) => stream.write_all(
                    format!(
                        "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    )
                    .as_bytes(),
                ),
                (_, _, false) => stream
                    .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"),
                (_, None, _) => stream.write_all(
                    b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                ),
                (path, Some(attempt), true) => self.run(&mut stream, &request, path, attempt),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        path: &str,
        attempt: &str,
    ) -> Result<()> {
        let size = path.rsplit('/').next().and_then(|s| s.parse().ok()).unwrap_or(0);
        let run = Run {
            attempt: attempt.into(),
            body_bytes: request.body.len(),
            is_body_whole: request.body.len() < LONG_BYTES
                || request.body == content(request.length()),
            answered: false,
        };
        self.runs.lock().expect("no panic").push(run);
        thread::sleep(WORK);
        let sent = if path.starts_with(STREAM) {
            self.write_stream(stream, attempt, size)
        } else {
            self.write_answer(stream, attempt, size)
        };
        let mut runs = self.runs.lock().expect("no panic");
        if let Some(run) = runs.iter_mut().rev().find(|r| r.attempt == attempt) {
            run.answered = sent.is_ok();
        }
        self.record.line(&format!(
            "replica {}: ran {attempt}, wrote an answer of size {size}: {}",
            self.id,
            sent.is_ok()
        ));
        sent
    }

    /// Answers a request after its head, and reads its body later, until it is whole or the
    /// connection ends.
    fn run_early(&self, stream: &mut TcpStream, request: &Message) {
        let attempt = request.header("attempt-id").unwrap_or("").to_string();
        let size = request.path().rsplit('/').next().and_then(|s| s.parse().ok()).unwrap_or(0);
        let answered = self.write_answer(stream, &attempt, size).is_ok();
        thread::sleep(READS_AFTER);
        let mut body = Vec::new();
        let mut buffer = [0; 4096];
        let mut end = "whole".to_string();
        while body.len() < request.length() {
            match stream.read(&mut buffer) {
                Ok(0) => end = "the connection was closed".into(),
                Ok(n) => {
                    body.extend_from_slice(&buffer[..n]);
                    continue;
                }
                Err(e) => end = e.to_string(),
            }
            break;
        }
        self.record.line(&format!(
            "replica {}: ran {attempt}, answered early, read {} of {} bytes of its body: {end}",
            self.id,
            body.len(),
            request.length()
        ));
        let is_body_whole = body == content(request.length());
        let run = Run { attempt, body_bytes: body.len(), is_body_whole, answered };
        self.runs.lock().expect("no panic").push(run);
    }

    fn head(&self, attempt: &str, more: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}\r\n{more}\r\n\r\n",
            self.id
        )
    }

    fn write_answer(&self, stream: &mut TcpStream, attempt: &str, size: usize) -> Result<()> {
        let head = self.head(attempt, &format!("Content-Length: {size}"));
        stream.write_all(&[head.into_bytes(), content(size)].concat())
    }

    fn write_stream(&self, stream: &mut TcpStream, attempt: &str, count: usize) -> Result<()> {
        let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
        stream.write_all(self.head(attempt, more).as_bytes())?;
        for number in 1..=count {
            let event = event(number);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
