//! Quarantine of requests that crash the targets that run them: detects crashes, exchanges reports
//! with the other nodes, and keeps held requests in the store.

mod attempts;
mod ends;
mod keys;
mod record;
mod spread;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

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
pub const HELD_REASON: &str = "the targets that ran this request ended";
/// Source in log lines: requests of this node.
const OWN_REQUESTS: &str = "own requests";
/// Source in log lines: records in the store.
const FROM_STORE: &str = "store";
/// Maximum number of targets named in one log line.
const MAX_LOGGED_TARGETS: usize = 8;

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

    /// Returns the hold on a request; `None` if it may be sent.
    pub fn hold(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.hold(request, node.now()))
    }

    /// Records that a request arrived. It must be refused if a hold is returned.
    pub fn record_arrival(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.record_arrival(request, node.now()))
    }

    /// Returns whether a request may be sent now. Logs the send if it is the single trial of a
    /// held request.
    pub fn try_send(&self, node: &Node, id: &str, request: Fingerprint) -> bool {
        let Ok(is_trial) = self.machine(|q| q.try_send(request, node.now())) else {
            return false;
        };
        if is_trial {
            Event::LetThrough { id, same: &request.to_string() }.emit();
            self.changed.notify_one();
        }
        true
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
    pub fn request_answered(&self, node: &Node, request: Fingerprint) {
        if let Some(change) = self.machine(|q| q.record_answer(request, node.now())) {
            self.handle_changes(OWN_REQUESTS, vec![(request, change)]);
            self.changed.notify_one();
        }
    }

    /// Records that a target crashed under this work. A crash under pieces is also reported to the
    /// peers.
    fn target_crashed(&self, node: &Rc<Node>, target: &Target, work: Vec<Work>) {
        let (mut requests, mut attempts) = (Vec::new(), Vec::new());
        for work in work {
            match work {
                Work::Request(keys) => requests.push(keys.request),
                Work::Pieces(attempt) => attempts.push(attempt),
            }
        }
        self.record_crash(node, &target.id, &target.service, &requests);
        if !attempts.is_empty() {
            let (target, service) = (target.id.clone(), target.service.clone());
            let crash = WorkerCrash { target, service, attempts };
            self.worker_crashed(node, &crash);
            spread::broadcast_crash(node, crash);
        }
    }

    fn record_crash(
        &self,
        node: &Node,
        target: &TargetId,
        service: &Name,
        requests: &[Fingerprint],
    ) {
        let now = node.now();
        let changes = self.machine(|q| q.record_crash(target, service, requests, now));
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
            self.record_crash(node, &crash.target, &crash.service, &requests);
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
                    let (same, targets) = (&*same, &*targets);
                    Event::Held { same, from, ends: hold.crashes, targets, left_ms }.emit();
                }
                Change::Released(why) => Event::Released { same: &same, from, why }.emit(),
            }
        }
    }
}
