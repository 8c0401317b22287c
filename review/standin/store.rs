//! The platform's metadata store: lists and watches of objects.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    log: Vec<(u64, String, String)>,
}

/// A store whose objects are only ever added or replaced.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback has ports");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Store { address, state: Mutex::default(), changed: Condvar::new() });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        state.objects.insert((kind.into(), name.into()), object.clone());
        state.log.push((revision, kind.into(), object));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some(request)) = http::read(&mut stream) {
            let body = if request.first.starts_with("GET ") {
                self.answer(request.path())
            } else {
                "{}".into()
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> String {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.trim_start_matches("/objects/").split('/').next().unwrap_or("");
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let mut state = self.state.lock().expect("no panic");
        let Some(since) = field("watch") else {
            let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
            let items: Vec<&str> = of_kind.map(|(_, o)| o.as_str()).collect();
            return format!(
                "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
                items.join(","),
                state.revision
            );
        };
        let until = Instant::now() + Duration::from_millis(field("waitMs").unwrap_or(0));
        loop {
            let news = state.log.iter().filter(|(at, k, _)| *at > since && k == kind);
            let events: Vec<String> =
                news.map(|(_, _, o)| format!("{{\"gone\":false,\"object\":{o}}}")).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}
