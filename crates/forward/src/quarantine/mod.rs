//! Requests that end the targets which run them: what shows that a target ended, and what nodes
//! tell each other of it.

mod ends;
mod record;
mod spread;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use decide::quarantine::{Change, Changes, Hold, Quarantine};
use model::Name;
use model::forward::{Fingerprint, MakerEnd, PieceOrder, QuarantineNews, Target, TargetId};
use tokio::sync::Notify;

use crate::events::Event;
use crate::node::Node;
use ends::{CrashChecks, Work};
use spread::PeerSends;

/// Starts to tell peers, and to keep in the store what is held.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(spread::run(node.clone()));
    tokio::task::spawn_local(record::write(node.clone()));
    tokio::task::spawn_local(record::read(node.clone()));
}

/// Why a request is refused that is held.
pub const HELD_REASON: &str = "the targets that ran this request ended";
/// Who tells of what this node saw itself.
const OWN_REQUESTS: &str = "own requests";
/// The same of what stands in the store.
const FROM_STORE: &str = "store";
/// Targets named in one line, at most.
const MAX_LOGGED_TARGETS: usize = 8;

/// Requests under which targets ended, as this node knows them.
#[derive(Default)]
pub struct LocalQuarantine {
    machine: RefCell<Quarantine>,
    crash_checks: CrashChecks,
    /// Attempts that this node serves.
    open_attempts: RefCell<HashMap<Name, Fingerprint>>,
    peer_sends: PeerSends,
    changed: Notify,
    /// A request is held, and may have to be written.
    record_due: Notify,
}

impl LocalQuarantine {
    /// Uses what is known for a moment.
    fn machine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.machine.borrow_mut())
    }

    /// The store came back from an older copy: what is held is written there again.
    pub fn store_restored(&self) {
        self.machine(Quarantine::clear_stored);
        self.record_due.notify_one();
    }

    /// Why a request is not to be sent; `None` if it may be.
    pub fn hold(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.hold(request, node.now()))
    }

    /// A request came, and is to be refused if it is held.
    pub fn record_arrival(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.record_arrival(request, node.now()))
    }

    /// A request is about to be sent; whether it may be.
    pub fn try_send(&self, node: &Node, id: &str, request: Fingerprint) -> bool {
        let Ok(let_through) = self.machine(|q| q.try_send(request, node.now())) else {
            return false;
        };
        if let_through {
            Event::LetThrough { id, same: &request.to_string() }.emit();
            self.changed.notify_one();
        }
        true
    }

    /// A request that a target may have begun broke off there without a whole answer.
    pub fn request_interrupted(&self, node: &Rc<Node>, target: &Target, request: Fingerprint) {
        self.crash_checks.start_check(node, target, vec![Work::Request(request)]);
    }

    /// The same of a call for pieces of these attempts.
    pub fn call_interrupted(&self, node: &Rc<Node>, target: &Target, pieces: &[PieceOrder]) {
        let attempts: BTreeSet<&Name> = pieces.iter().map(|p| &p.attempt).collect();
        let work = attempts.into_iter().map(|attempt| Work::Pieces(attempt.clone()));
        self.crash_checks.start_check(node, target, work.collect());
    }

    /// This node serves an attempt from now on.
    pub fn attempt_started(&self, attempt: &str, request: Fingerprint) {
        self.open_attempts.borrow_mut().insert(attempt.into(), request);
    }

    /// The attempt is over.
    pub fn attempt_ended(&self, attempt: &str) {
        self.open_attempts.borrow_mut().remove(attempt);
    }

    /// A send showed that a target has ended.
    pub fn crash_observed(&self, target: &Target, how: &'static str) {
        self.crash_checks.record_evidence(&target.id, how);
    }

    /// A target answered a request whole.
    pub fn request_answered(&self, node: &Node, request: Fingerprint) {
        if let Some(change) = self.machine(|q| q.record_answer(request, node.now())) {
            self.handle_changes(OWN_REQUESTS, vec![(request, change)]);
            self.changed.notify_one();
        }
    }

    /// A target ended under this work.
    fn target_crashed(&self, node: &Rc<Node>, target: &Target, work: Vec<Work>) {
        let (mut requests, mut attempts) = (Vec::new(), Vec::new());
        for work in work {
            match work {
                Work::Request(request) => requests.push(request),
                Work::Pieces(attempt) => attempts.push(attempt),
            }
        }
        self.record_crash(node, &target.id, &target.service, &requests);
        if !attempts.is_empty() {
            let (target, service) = (target.id.clone(), target.service.clone());
            let crash = MakerEnd { target, service, attempts };
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

    /// A maker ended under pieces, some of which may be of attempts that this node serves.
    fn worker_crashed(&self, node: &Node, crash: &MakerEnd) {
        let requests: Vec<Fingerprint> = {
            let open = self.open_attempts.borrow();
            crash.attempts.iter().filter_map(|attempt| open.get(attempt).copied()).collect()
        };
        if !requests.is_empty() {
            self.record_crash(node, &crash.target, &crash.service, &requests);
        }
    }

    /// Takes what a peer tells; returns what this node knows beyond that.
    pub fn merge_report(&self, node: &Node, report: &QuarantineNews) -> QuarantineNews {
        report.makers.iter().for_each(|crash| self.worker_crashed(node, crash));
        let now = node.now();
        let changes = self.machine(|q| q.merge(Some(&report.from), &report.suspects, now));
        self.handle_changes(&report.from.name, changes);
        self.changed.notify_one();
        let suspects = self.machine(|q| q.missing_from(&report.suspects, now));
        QuarantineNews { from: node.peers.id.clone(), suspects, makers: Vec::new() }
    }

    /// An operator lets a request through again.
    fn release(&self, from: &str, request: Fingerprint) {
        if self.machine(|q| q.release(request)) {
            self.handle_changes(from, vec![(request, Change::Released("operator"))]);
        }
    }

    /// Requests that are held.
    pub fn count_held(&self, node: &Node) -> usize {
        self.machine(|q| q.count_held(node.now()))
    }

    /// Tells what has changed, and whoever told it.
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
