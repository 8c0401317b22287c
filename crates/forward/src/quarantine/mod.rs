//! Quarantine of requests, and parts of prompts, that crash the targets that run them: detects
//! crashes, exchanges reports with the other nodes, and keeps what is held in the store.

mod attempts;
mod ends;
mod keys;
mod record;
mod spread;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use decide::quarantine::{Change, Changes, Hold, Quarantine};
use model::Name;
use model::forward::{Fingerprint, PieceOrder, QuarantineReport, Target, TargetId, WorkerCrash};
use tokio::sync::Notify;

use crate::events::Event;
use crate::links;
use crate::node::Node;
use attempts::Attempts;
use ends::{CrashChecks, Work};
pub use keys::RequestKeys;
use spread::PeerSends;

/// Starts the tasks that report to peers and that write and read held requests in the store.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(spread::run(node.clone()));
    tokio::task::spawn_local(record::write(node.clone()));
    tokio::task::spawn_local(record::read(node.clone()));
}

/// Reason given to callers whose request is held.
const HELD_REASON: &str = "the targets that ran this request ended";
/// Reason given to callers whose prompt has a part that is held.
const HELD_PART_REASON: &str = "the targets that ran a part of this prompt ended";
/// Source in log lines: requests of this node.
const OWN_REQUESTS: &str = "own requests";
/// Source in log lines: records in the store.
const FROM_STORE: &str = "store";
/// Maximum number of targets named in one log line.
const MAX_LOGGED_TARGETS: usize = 8;

/// Why a request must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason given to its caller.
    pub reason: &'static str,
    /// Time until its next trial; `None` if only an operator can release it.
    pub retry_after: Option<Duration>,
}

/// This node's view of the requests under which targets crashed.
#[derive(Default)]
pub struct LocalQuarantine {
    machine: RefCell<Quarantine>,
    crash_checks: CrashChecks,
    attempts: RefCell<Attempts>,
    peer_sends: PeerSends,
    changed: Notify,
    /// Signals that a held request may have to be written to the store.
    record_due: Notify,
}

impl LocalQuarantine {
    /// Runs `f` on the state machine.
    fn machine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.machine.borrow_mut())
    }

    /// Schedules all held requests to be written again after the store was restored from an older
    /// copy.
    pub fn store_restored(&self) {
        self.machine(Quarantine::clear_stored);
        self.record_due.notify_one();
    }

    /// Why a request must not be sent; `None` if it may be.
    pub fn refusal(&self, node: &Node, keys: &RequestKeys) -> Option<Refusal> {
        let hold = self.machine(|q| q.hold(keys.request, node.now()));
        self.refusal_for(node, keys, hold)
    }

    /// Records that a request arrived; returns why it must be refused.
    pub fn record_arrival(&self, node: &Node, keys: &RequestKeys) -> Option<Refusal> {
        let now = node.now();
        let hold = self.machine(|q| {
            keys.parts.iter().for_each(|part| _ = q.record_arrival(*part, now));
            q.record_arrival(keys.request, now)
        });
        self.refusal_for(node, keys, hold)
    }

    fn refusal_for(&self, node: &Node, keys: &RequestKeys, hold: Option<Hold>) -> Option<Refusal> {
        if let Some(Hold { remaining: retry_after, .. }) = hold {
            return Some(Refusal { reason: HELD_REASON, retry_after });
        }
        let now = node.now();
        let peers = || node.peers.roster(|r| r.peers());
        let mut parts = keys.parts.iter();
        let hold = parts.find_map(|part| {
            self.machine(|q| q.part_hold(*part, &node.peers.id.name, peers, now))
        })?;
        Some(Refusal { reason: HELD_PART_REASON, retry_after: hold.remaining })
    }

    /// Records that a request is about to be sent, unless it must not be. Logs the send if it is the
    /// single trial of a held request or part.
    pub fn try_send(&self, node: &Node, id: &str, keys: &RequestKeys) -> Result<(), Refusal> {
        if let Some(refusal) = self.refusal(node, keys) {
            return Err(refusal);
        }
        for key in keys.all() {
            if self.machine(|q| q.try_send(key, node.now())) == Ok(true) {
                Event::LetThrough { id, same: &key.to_string() }.emit();
                self.changed.notify_one();
            }
        }
        Ok(())
    }

    /// Checks a target that may have begun a request and did not answer it completely.
    pub fn request_interrupted(&self, node: &Rc<Node>, target: &Target, keys: &RequestKeys) {
        self.crash_checks.start_check(node, target, vec![Work::Request(keys.clone())]);
    }

    /// Checks a target that may have begun a call for these pieces and did not answer it
    /// completely.
    pub fn call_interrupted(&self, node: &Rc<Node>, target: &Target, pieces: &[PieceOrder]) {
        let attempts: BTreeSet<&Name> = pieces.iter().map(|p| &p.attempt).collect();
        let work = attempts.into_iter().map(|attempt| Work::Pieces(attempt.clone()));
        self.crash_checks.start_check(node, target, work.collect());
    }

    /// Registers an attempt that this node serves.
    pub fn attempt_started(&self, attempt: &str, request: Fingerprint) {
        self.attempts.borrow_mut().start(attempt.into(), request);
    }

    /// Records that an attempt has finished.
    pub fn attempt_ended(&self, node: &Node, attempt: &str) {
        self.attempts.borrow_mut().end(&attempt.into(), node.now());
    }

    /// Records that a target refused a connection, which is evidence of a crash if this node reaches
    /// others.
    pub fn refusal_observed(&self, node: &Rc<Node>, target: &Target) {
        if self.crash_checks.is_checking(&target.id) {
            let (node, target) = (node.clone(), target.clone());
            tokio::task::spawn_local(async move {
                if links::reaches_others(&node, &target).await {
                    node.quarantine.crash_observed(&target, "refused");
                }
            });
        }
    }

    /// Records evidence from a send that a target has crashed.
    pub fn crash_observed(&self, target: &Target, how: &'static str) {
        self.crash_checks.record_evidence(&target.id, how);
    }

    /// Records that a target answered a request completely.
    pub fn request_answered(&self, node: &Node, keys: &RequestKeys) {
        for key in keys.all() {
            if let Some(change) = self.machine(|q| q.record_answer(key, node.now())) {
                self.handle_changes(OWN_REQUESTS, vec![(key, change)]);
                self.changed.notify_one();
            }
        }
    }

    /// Records that a target crashed under this work. A crash under pieces is also reported to the
    /// peers.
    fn target_crashed(&self, node: &Rc<Node>, target: &Target, work: Vec<Work>) {
        let (mut requests, mut parts, mut attempts) = (Vec::new(), BTreeMap::new(), Vec::new());
        for work in work {
            match work {
                Work::Request(keys) => {
                    requests.push(keys.request);
                    parts.extend(keys.parts.into_iter().map(|part| (part, keys.request)));
                }
                Work::Pieces(attempt) => attempts.push(attempt),
            }
        }
        let parts = Vec::from_iter(parts);
        self.record_crash(node, &target.id, &target.service, &requests, &parts);
        if !attempts.is_empty() {
            let (target, service) = (target.id.clone(), target.service.clone());
            let crash = WorkerCrash { target, service, attempts };
            self.worker_crashed(node, &crash);
            spread::broadcast_crash(node, crash);
        }
    }

    /// Records a crash under requests and parts of prompts, each part with one of those requests.
    fn record_crash(
        &self,
        node: &Node,
        target: &TargetId,
        service: &Name,
        requests: &[Fingerprint],
        parts: &[(Fingerprint, Fingerprint)],
    ) {
        let now = node.now();
        let mut changes = self.machine(|q| q.record_crash(target, service, requests, now));
        changes.extend(self.machine(|q| q.record_part_crash(target, service, parts, now)));
        self.handle_changes(OWN_REQUESTS, changes);
        self.changed.notify_one();
    }

    /// Records a worker's crash under pieces, some of which may belong to attempts of this node.
    fn worker_crashed(&self, node: &Node, crash: &WorkerCrash) {
        let requests: Vec<Fingerprint> = {
            let known = self.attempts.borrow();
            crash.attempts.iter().filter_map(|attempt| known.request(attempt)).collect()
        };
        if !requests.is_empty() {
            self.record_crash(node, &crash.target, &crash.service, &requests, &[]);
        }
    }

    /// Merges a peer's report; returns the suspects that the report lacks.
    pub fn merge_report(&self, node: &Node, report: &QuarantineReport) -> QuarantineReport {
        report.worker_crashes.iter().for_each(|crash| self.worker_crashed(node, crash));
        let now = node.now();
        let changes = self.machine(|q| q.merge(Some(&report.from), &report.suspects, now));
        self.handle_changes(&report.from.name, changes);
        self.changed.notify_one();
        let suspects = self.machine(|q| q.missing_from(&report.suspects, now));
        QuarantineReport { from: node.peers.id.clone(), suspects, worker_crashes: Vec::new() }
    }

    /// Releases a request on behalf of an operator.
    fn release(&self, from: &str, request: Fingerprint) {
        if self.machine(|q| q.release(request)) {
            self.handle_changes(from, vec![(request, Change::Released("operator"))]);
        }
    }

    /// Number of requests that are held.
    pub fn count_held(&self, node: &Node) -> usize {
        self.machine(|q| q.count_held(node.now()))
    }

    /// Logs changes with their source, and wakes the writer if a request is held.
    fn handle_changes(&self, from: &str, changes: Changes) {
        for (request, change) in changes {
            let same = request.to_string();
            match change {
                Change::Held(hold) => {
                    self.record_due.notify_one();
                    let targets = self.machine(|q| q.crashed_targets(request, MAX_LOGGED_TARGETS));
                    let left_ms = hold.remaining.map(|left| left.as_millis() as u64);
                    let part = self.machine(|q| q.is_part(request));
                    let (same, targets) = (&*same, &*targets);
                    Event::Held { same, part, from, ends: hold.crashes, targets, left_ms }.emit();
                }
                Change::Released(why) => Event::Released { same: &same, from, why }.emit(),
            }
        }
    }
}
