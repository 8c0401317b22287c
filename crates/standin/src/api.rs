//! Stand-in of the Object API and the host list over HTTP.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use model::Name;
use model::store::Written;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use store::HostState;
use tokio::sync::Notify;
use util::http::{Body, Handler, json, read_json, text};

use crate::faults::ApiFaults;
use crate::objects::{MAX_VALUE_BYTES, Objects, PutError};

/// Largest request body; above the value limit, so that larger values are rejected by size.
const MAX_BODY_BYTES: usize = MAX_VALUE_BYTES * 2;

/// Numbers of calls received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and lists, also under a fault.
    pub reads: u64,
    /// Writes and deletions, rejected ones included.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    snapshot: Option<Objects>,
    faults: ApiFaults,
    calls: Calls,
    hosts: BTreeMap<Name, bool>,
}

/// Object API and host list with an HTTP handler.
#[derive(Debug, Default)]
pub struct Api {
    state: Mutex<State>,
    changed: Notify,
}

enum WriteOutcome {
    Responded(Response<Body>),
    Lost,
}

impl Api {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Api::default())
    }

    /// Replaces the active faults; `stale` takes a snapshot for later reads.
    pub fn set_faults(&self, faults: ApiFaults) {
        let mut s = self.lock();
        s.snapshot = faults.stale.then(|| s.objects.clone());
        s.faults = faults;
    }

    /// Numbers of calls received so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Values of all objects of a kind that are not deleted, for audits.
    pub fn dump(&self, kind: &str) -> Vec<Value> {
        let listing = self.lock().objects.list(kind);
        listing.objects.into_iter().filter_map(|o| o.value).collect()
    }

    /// Adds or updates a host in the host list.
    pub fn set_host(&self, host: &str, leaving: bool) {
        self.lock().hosts.insert(host.into(), leaving);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn read(&self, kind: &str, name: Option<&str>) -> Response<Body> {
        let mut s = self.lock();
        s.calls.reads += 1;
        let objects = s.snapshot.as_ref().unwrap_or(&s.objects);
        match name {
            Some(n) => json(StatusCode::OK, &objects.get(kind, n)),
            None => json(StatusCode::OK, &objects.list(kind)),
        }
    }

    async fn watch(&self, kind: &str, revision: u64, wait: Duration) -> Response<Body> {
        {
            let mut s = self.lock();
            s.calls.watches += 1;
            if s.faults.drop {
                return json(StatusCode::OK, &s.objects.since(kind, u64::MAX));
            }
        }
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let listing = self.lock().objects.since(kind, revision);
            let over = tokio::time::Instant::now() >= deadline;
            if !listing.objects.is_empty() || over {
                return json(StatusCode::OK, &listing);
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    fn write(&self, kind: &str, name: &str, expect: u64, value: Option<Value>) -> WriteOutcome {
        let mut s = self.lock();
        s.calls.writes += 1;
        let result = s.objects.put(kind, name, expect, value);
        let lost = s.faults.lose > 0;
        s.faults.lose = s.faults.lose.saturating_sub(1);
        drop(s);
        self.changed.notify_waiters();
        if lost {
            return WriteOutcome::Lost;
        }
        WriteOutcome::Responded(match result {
            Ok(version) => json(StatusCode::OK, &Written { version }),
            Err(PutError::VersionMismatch(v)) => {
                text(StatusCode::CONFLICT, format!("version is {v}"))
            }
            Err(PutError::TooLarge(n)) => {
                text(StatusCode::PAYLOAD_TOO_LARGE, format!("{n} bytes, {MAX_VALUE_BYTES} at most"))
            }
        })
    }

    async fn object(&self, request: Request<Incoming>, kind: &str, name: &str) -> Response<Body> {
        let method = request.method().clone();
        let expect = query(&request, "expect").and_then(|v| v.parse().ok());
        let value = match method {
            Method::PUT => match read_json(request, MAX_BODY_BYTES).await {
                Ok(v) => Some(v),
                Err(e) => return text(StatusCode::BAD_REQUEST, e),
            },
            Method::DELETE => None,
            _ => return self.read(kind, Some(name)),
        };
        let Some(expect) = expect else {
            return text(StatusCode::BAD_REQUEST, "a write needs ?expect=VERSION");
        };
        match self.write(kind, name, expect, value) {
            WriteOutcome::Responded(response) => response,
            WriteOutcome::Lost => std::future::pending().await,
        }
    }

    fn hosts(&self) -> Response<Body> {
        let s = self.lock();
        let hosts: Vec<HostState> =
            s.hosts.iter().map(|(h, l)| HostState { host: h.clone(), leaving: *l }).collect();
        json(StatusCode::OK, &hosts)
    }
}

fn query(request: &Request<Incoming>, key: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(k, _)| *k == key).map(|(_, v)| v.to_string()).next()
}

impl Handler for Api {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_string();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["faults"]) => match read_json(request, MAX_BODY_BYTES).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    return json(StatusCode::OK, &());
                }
                Err(e) => return text(StatusCode::BAD_REQUEST, e),
            },
            (&Method::GET, ["calls"]) => return json(StatusCode::OK, &self.calls()),
            (&Method::PUT, ["hosts", host]) => {
                let leaving = query(&request, "leaving").as_deref() == Some("true");
                self.set_host(host, leaving);
                return json(StatusCode::OK, &());
            }
            _ => {}
        }
        let faults = self.lock().faults.clone();
        if faults.down {
            return text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        if faults.slow > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow)).await;
        }
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["hosts"]) => self.hosts(),
            (&Method::GET, ["v1", kind]) => {
                let revision = query(&request, "watch").and_then(|v| v.parse().ok());
                let wait = query(&request, "wait").and_then(|v| v.parse().ok()).unwrap_or(0);
                match revision {
                    Some(r) => self.watch(kind, r, Duration::from_millis(wait)).await,
                    None => self.read(kind, None),
                }
            }
            (_, ["v1", kind, name]) => {
                let (kind, name) = (kind.to_string(), name.to_string());
                self.object(request, &kind, &name).await
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
