//! Requests that end the targets which run them: what shows that a target ended, and what nodes
//! tell each other of it.

mod ends;
mod record;
mod spread;

use std::cell::RefCell;
use std::rc::Rc;

use decide::quarantine::{Change, Changes, Hold, Quarantine};
use model::forward::{Fingerprint, QuarantineNews, Target};
use tokio::sync::Notify;

use crate::events::Event;
use crate::node::Node;
use ends::Ends;
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
    pace: Pace,
    changed: Notify,
}

impl LocalQuarantine {
    /// Uses what is known for a moment.
    fn machine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.machine.borrow_mut())
    }

    /// Why a request is not to be sent; `None` if it may be.
    pub fn hold(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.hold(request, node.now()))
    }

    /// A request came, and is to be refused if it is held.
    pub fn comes(&self, node: &Node, request: Fingerprint) -> Option<Hold> {
        self.machine(|q| q.comes(request, node.now()))
    }

    /// A request is about to be sent; whether it may be.
    pub fn sends(&self, node: &Node, id: &str, request: Fingerprint) -> bool {
        let Ok(let_through) = self.machine(|q| q.sends(request, node.now())) else {
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
        self.ends.broke_off(node, target, request);
    }

    /// A send showed that a target has ended.
    pub fn seen_ended(&self, target: &Target, how: &'static str) {
        self.ends.seen(&target.id, how);
    }

    /// A target answered a request whole.
    pub fn answered(&self, node: &Node, request: Fingerprint) {
        let change = self.machine(|q| q.answered(request, node.now()));
        self.take(OWN, change.map(|c| (request, c)).into_iter().collect());
    }

    /// A target ended under these requests of this node.
    fn ended(&self, node: &Node, target: &Target, requests: &[Fingerprint]) {
        let now = node.now();
        let changes = self.machine(|q| q.ended(&target.id, &target.service, requests, now));
        self.take(OWN, changes);
        self.changed.notify_one();
    }

    /// Takes what a peer tells; returns what this node knows beyond that.
    pub fn hear(&self, node: &Node, news: &QuarantineNews) -> QuarantineNews {
        let now = node.now();
        let changes = self.machine(|q| q.hear(Some(&news.from), &news.suspects, now));
        self.take(&news.from.name, changes);
        self.changed.notify_one();
        let suspects = self.machine(|q| q.beyond(&news.suspects, now));
        QuarantineNews { from: node.peers.id.clone(), suspects }
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
                    let targets = self.machine(|q| q.ends_of(request, TOLD_MOST));
                    let left_ms = hold.left.map(|left| left.as_millis() as u64);
                    let (same, targets) = (&*same, &*targets);
                    Event::Held { same, from, ends: hold.ends, targets, left_ms }.emit();
                }
                Change::Released(why) => Event::Released { same: &same, from, why }.emit(),
            }
        }
    }
}
