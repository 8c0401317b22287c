//! A replica, sound unless it was told to fail. The last part of a request's path is the size of its answer or, below
//! [`STREAM`], the number of its events.

use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use crate::world::STREAM;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// What became of a request here.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    /// Body of the request.
    pub body: String,
    /// Whether the whole answer was handed to the connection.
    pub answered: bool,
}

/// How a replica fails while its health check is good: each request does its work, and a part of
/// them then ends with this status, without `Not-Executed`.
struct Failing {
    status: u16,
    until: Instant,
    requests: usize,
}

pub struct Replica {
    id: String,
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    failing: Mutex<Option<Failing>>,
}

/// Of how many requests in a row of a failing replica how many fail: a share of 0.45.
const FAILED_OF: (usize, usize) = (9, 20);

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
        let address: SocketAddr = listener.local_addr().expect("bound");
        let replica = Arc::new(Replica {
            id: id.into(),
            record: record.clone(),
            runs: Mutex::default(),
            failing: Mutex::default(),
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

    /// Fails a part of the requests from now on with this status.
    pub fn fail_for(&self, status: u16, time: Duration) {
        let failing = Failing { status, until: Instant::now() + time, requests: 0 };
        *self.failing.lock().expect("no panic") = Some(failing);
    }

    /// Status with which the request that has just done its work fails.
    fn failure(&self) -> Option<u16> {
        let mut failing = self.failing.lock().expect("no panic");
        let failing = failing.as_mut().filter(|f| Instant::now() < f.until)?;
        let (failed, of) = FAILED_OF;
        let number = failing.requests % of;
        failing.requests += 1;
        ((number + 1) * failed / of > number * failed / of).then_some(failing.status)
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some(request)) = http::read(&mut stream) {
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
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let run = Run { attempt: attempt.into(), body, answered: false };
        self.runs.lock().expect("no panic").push(run);
        thread::sleep(WORK);
        if let Some(status) = self.failure() {
            self.record
                .line(&format!("replica {}: ran {attempt}, then fails it with {status}", self.id));
            return stream.write_all(
                format!("HTTP/1.1 {status} Failed\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}\r\nContent-Length: 0\r\n\r\n", self.id).as_bytes(),
            );
        }
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
