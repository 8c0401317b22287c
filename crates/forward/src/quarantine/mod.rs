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
use ends::{Ends, Work};
use spread::Pace;

/// Starts to tell peers, and to keep in the store what is held.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(spread::run(node.clone()));
    tokio::task::spawn_local(record::write(node.clone()));
    tokio::task::spawn_local(record::read(node.clone()));
}

/// Why a request is refused that is held.
pub const HELD: &str = "the targets that ran this request ended";
/// Who tells of what this node saw itself.
const OWN: &str = "own requests";
/// The same of what stands in the store.
const STORE: &str = "store";
/// Targets named in one line, at most.
const TOLD_MOST: usize = 8;

/// Requests under which targets ended, as this node knows them.
#[derive(Default)]
pub struct LocalQuarantine {
    machine: RefCell<Quarantine>,
    ends: Ends,
    /// Attempts that this node serves.
    open: RefCell<HashMap<Name, Fingerprint>>,
    pace: Pace,
    changed: Notify,
    /// A request is held, and may have to be written.
    held: Notify,
}

impl LocalQuarantine {
    /// Uses what is known for a moment.
    fn machine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.machine.borrow_mut())
    }

    /// The store came back from an older copy: what is held is written there again.
    pub fn restored(&self) {
        self.machine(Quarantine::clear_stored);
        self.held.notify_one();
    }

    /// Why a request is not to be sent; `None` if it may be.
    pub fn hold(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.hold(request, node.now()))
    }

    /// A request came, and is to be refused if it is held.
    pub fn comes(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.record_arrival(request, node.now()))
    }

    /// A request is about to be sent; whether it may be.
    pub fn sends(&self, node: &Node, id: &str, request: Fingerprint) -> bool {
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
    pub fn broke_off(&self, node: &Rc<Node>, target: &Target, request: Fingerprint) {
        self.ends.broke_off(node, target, vec![Work::Request(request)]);
    }

    /// The same of a call for pieces of these attempts.
    pub fn call_broke_off(&self, node: &Rc<Node>, target: &Target, pieces: &[PieceOrder]) {
        let attempts: BTreeSet<&Name> = pieces.iter().map(|p| &p.attempt).collect();
        let work = attempts.into_iter().map(|attempt| Work::Pieces(attempt.clone()));
        self.ends.broke_off(node, target, work.collect());
    }

    /// This node serves an attempt from now on.
    pub fn begins(&self, attempt: &str, request: Fingerprint) {
        self.open.borrow_mut().insert(attempt.into(), request);
    }

    /// The attempt is over.
    pub fn is_over(&self, attempt: &str) {
        self.open.borrow_mut().remove(attempt);
    }

    /// A send showed that a target has ended.
    pub fn seen_ended(&self, target: &Target, how: &'static str) {
        self.ends.seen(&target.id, how);
    }

    /// A target answered a request whole.
    pub fn answered(&self, node: &Node, request: Fingerprint) {
        if let Some(change) = self.machine(|q| q.record_answer(request, node.now())) {
            self.take(OWN, vec![(request, change)]);
            self.changed.notify_one();
        }
    }

    /// A target ended under this work.
    fn ended(&self, node: &Rc<Node>, target: &Target, work: Vec<Work>) {
        let (mut requests, mut attempts) = (Vec::new(), Vec::new());
        for work in work {
            match work {
                Work::Request(request) => requests.push(request),
                Work::Pieces(attempt) => attempts.push(attempt),
            }
        }
        self.ended_under(node, &target.id, &target.service, &requests);
        if !attempts.is_empty() {
            let (target, service) = (target.id.clone(), target.service.clone());
            let end = MakerEnd { target, service, attempts };
            self.maker_ended(node, &end);
            spread::tell_all(node, end);
        }
    }

    fn ended_under(&self, node: &Node, target: &TargetId, service: &Name, under: &[Fingerprint]) {
        let now = node.now();
        let changes = self.machine(|q| q.record_crash(target, service, under, now));
        self.take(OWN, changes);
        self.changed.notify_one();
    }

    /// A maker ended under pieces, some of which may be of attempts that this node serves.
    fn maker_ended(&self, node: &Node, end: &MakerEnd) {
        let own: Vec<Fingerprint> = {
            let open = self.open.borrow();
            end.attempts.iter().filter_map(|attempt| open.get(attempt).copied()).collect()
        };
        if !own.is_empty() {
            self.ended_under(node, &end.target, &end.service, &own);
        }
    }

    /// Takes what a peer tells; returns what this node knows beyond that.
    pub fn hear(&self, node: &Node, news: &QuarantineNews) -> QuarantineNews {
        news.makers.iter().for_each(|end| self.maker_ended(node, end));
        let now = node.now();
        let changes = self.machine(|q| q.merge(Some(&news.from), &news.suspects, now));
        self.take(&news.from.name, changes);
        self.changed.notify_one();
        let suspects = self.machine(|q| q.missing_from(&news.suspects, now));
        QuarantineNews { from: node.peers.id.clone(), suspects, makers: Vec::new() }
    }

    /// An operator lets a request through again.
    fn release(&self, from: &str, request: Fingerprint) {
        if self.machine(|q| q.release(request)) {
            self.take(from, vec![(request, Change::Released("operator"))]);
        }
    }

    /// Requests that are held.
    pub fn count_held(&self, node: &Node) -> usize {
        self.machine(|q| q.count_held(node.now()))
    }

    /// Tells what has changed, and whoever told it.
    fn take(&self, from: &str, changes: Changes) {
        for (request, change) in changes {
            let same = request.to_string();
            match change {
                Change::Held(hold) => {
                    self.held.notify_one();
                    let targets = self.machine(|q| q.crashed_targets(request, TOLD_MOST));
                    let left_ms = hold.remaining.map(|left| left.as_millis() as u64);
                    let (same, targets) = (&*same, &*targets);
                    Event::Held { same, from, ends: hold.crashes, targets, left_ms }.emit();
                }
                Change::Released(why) => Event::Released { same: &same, from, why }.emit(),
            }
        }
    }
}
