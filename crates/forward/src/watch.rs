//! Follows rules and targets in the store: a list, then watches from its revision on.

use std::rc::Rc;
use std::time::Duration;

use model::forward::Target;
use util::http::{CallError, Client};

use crate::border::{Change, Kind, Page};
use crate::events::Event;
use crate::node::Node;
use crate::peers;

/// Time that a watch waits at the store.
const WATCH_MS: u64 = 5_000;
/// Time beyond that before a watch is given up.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);
/// Time for a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// First wait after a failed call.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest wait after a failed call.
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Time after an outage during which vanished entries are doubted.
const DOUBT: Duration = Duration::from_secs(6);
/// Times that a page is asked for again while the store is busy.
const PAGE_TRIES: u32 = 12;
/// Longest wait before a page is asked for again.
const PAGE_PAUSE: Duration = Duration::from_millis(600);
/// Status of a call beyond the store's rate.
const BUSY: u16 = 429;
/// Status of a watch whose history is gone.
const GONE: u16 = 410;

/// Why a step of following failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum FollowError {
    /// {0}
    Call(#[from] CallError),
    /// {0}
    Malformed(#[from] crate::border::Malformed),
}

/// Starts following both kinds.
pub fn start(node: &Rc<Node>) {
    for kind in [Kind::Rules, Kind::Targets] {
        tokio::task::spawn_local(Follower::new(node.clone(), kind).run());
    }
    tokio::task::spawn_local(expire(node.clone()));
}

/// Forgets, in time, targets whose entries vanished.
async fn expire(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let now = node.now();
        node.fleet(|f| f.expire(now));
    }
}

struct Follower {
    node: Rc<Node>,
    client: Client,
    kind: Kind,
    failures: u32,
}

impl Follower {
    fn new(node: Rc<Node>, kind: Kind) -> Self {
        let client = Client::new(RETRY_LONGEST);
        Follower { node, client, kind, failures: 0 }
    }

    fn name(&self) -> &'static str {
        match self.kind {
            Kind::Rules => "rules",
            Kind::Targets => "targets",
        }
    }

    async fn run(mut self) {
        loop {
            match self.list().await {
                Ok(at) => self.watch(at).await,
                Err(e) => {
                    self.failed(&e.to_string()).await;
                    self.borrow().await;
                }
            }
        }
    }

    /// A node that starts while it cannot reach the store takes its peers' targets.
    async fn borrow(&self) {
        let node = &self.node;
        if self.kind == Kind::Rules || node.knows_targets() {
            return;
        }
        let peers = node.peers.roster(|r| r.sound());
        let chosen = node.rng(|r| r.below(peers.len()));
        let Some(peer) = peers.get(chosen) else {
            return;
        };
        let snapshot = peers::snapshot(node, peer.entry).await;
        if let Some(snapshot) = snapshot.filter(|s| !s.targets.is_empty()) {
            let now = node.now();
            node.fleet(|f| f.replace(snapshot.targets, now, true));
            node.know_targets();
        }
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            Event::Store { kind: self.name(), reachable: true, why: "" }.emit();
        }
        self.failures = 0;
        self.node.store_answered(true);
    }

    async fn failed(&mut self, why: &str) {
        if self.failures == 0 {
            Event::Store { kind: self.name(), reachable: false, why }.emit();
        }
        self.node.store_answered(false);
        let bound = RETRY_FIRST * 2u32.pow(self.failures.min(4));
        let jitter = self.node.rng(|r| r.jitter(bound.min(RETRY_LONGEST)));
        self.failures += 1;
        // A new client drops connections that hang behind a cut.
        self.client = Client::new(RETRY_LONGEST);
        tokio::time::sleep(RETRY_FIRST / 2 + jitter).await;
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<String, CallError> {
        self.node.metrics.store_call(self.name());
        let store = self.node.settings().store.to_string();
        self.client.text(&store, path, timeout).await
    }

    /// Reads a page, again while the store is busy: after a restart of all nodes their
    /// lists come together, and a list begun anew would only add to them.
    async fn get_page(&self, path: &str) -> Result<String, CallError> {
        for _ in 0..PAGE_TRIES {
            match self.get(path, LIST_TIMEOUT).await {
                Err(e) if e.status() == Some(BUSY) => {
                    let pause = self.node.rng(|r| r.jitter(PAGE_PAUSE));
                    tokio::time::sleep(pause).await;
                }
                end => return end,
            }
        }
        self.get(path, LIST_TIMEOUT).await
    }

    /// Reads the whole list; returns the revision to watch from.
    async fn list(&mut self) -> Result<u64, FollowError> {
        let node = self.node.clone();
        let mut changes = Vec::new();
        let mut after = None;
        let mut at = None;
        loop {
            let path = node.dialect.list(self.kind, after.as_ref());
            let body = self.get_page(&path).await?;
            let page = node.dialect.page(self.kind, body.as_bytes())?;
            warn(&page);
            // Changes between two pages are seen again from the first revision on.
            at.get_or_insert(page.at);
            changes.extend(page.changes);
            match page.more {
                Some(name) => after = Some(name),
                None => break,
            }
        }
        let in_doubt = node.store_in_doubt(DOUBT);
        self.answered();
        match self.kind {
            Kind::Rules => self.apply(changes),
            Kind::Targets => {
                let targets: Vec<Target> = changes.into_iter().filter_map(target_of).collect();
                let now = node.now();
                node.fleet(|f| f.replace(targets, now, in_doubt));
                node.know_targets();
            }
        }
        Ok(at.unwrap_or_default())
    }

    /// Watches until a call fails or the history is gone.
    async fn watch(&mut self, mut at: u64) {
        loop {
            let path = self.node.dialect.watch(self.kind, at, WATCH_MS);
            let timeout = Duration::from_millis(WATCH_MS) + WATCH_SLACK;
            let body = match self.get(&path, timeout).await {
                Ok(body) => body,
                Err(e) if e.status() == Some(GONE) => return,
                Err(e) => return self.failed(&e.to_string()).await,
            };
            match self.node.dialect.changes(self.kind, body.as_bytes()) {
                Ok(page) => {
                    warn(&page);
                    self.answered();
                    at = page.at.max(at);
                    self.apply(page.changes);
                }
                Err(e) => return self.failed(&e.to_string()).await,
            }
        }
    }

    fn apply(&self, changes: Vec<Change>) {
        let now = self.node.now();
        let in_doubt = self.node.store_in_doubt(DOUBT);
        for change in changes {
            match change {
                Change::Rules(rules) => {
                    self.node.adopt(*rules, "store");
                }
                Change::Target(target) => {
                    let state = if target.draining { "draining" } else { "ready" };
                    let (id, service) = (target.id.clone(), target.service.clone());
                    if self.node.fleet(|f| f.upsert(target)) {
                        Event::Target { target: &id, service: &service, state }.emit();
                    }
                }
                Change::Gone(name) if self.kind == Kind::Targets => {
                    self.node.fleet(|f| f.vanish(&name, now, in_doubt));
                    Event::Target { target: &name, service: "", state: "gone" }.emit();
                }
                // Rules are never taken back, only replaced.
                Change::Gone(_) => {}
            }
        }
    }
}

fn warn(page: &Page) {
    for m in &page.malformed {
        log::warn!("store: {m}");
    }
}

fn target_of(change: Change) -> Option<Target> {
    match change {
        Change::Target(target) => Some(target),
        _ => None,
    }
}
