//! Links of this node to the targets: probes them when several targets fail, and keeps their state
//! (see [`decide::links`]).

mod probe;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use decide::links::{Contact, LinkState, Links};
use model::{Name, Time};
use tokio::sync::{Notify, watch};

use crate::events::Event;
use crate::node::Node;

/// Interval at which links that are lost or silent are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// State of this node's links.
#[derive(Default)]
pub struct LocalLinks {
    machine: RefCell<Links>,
    /// Wakes the task that probes, after failures.
    failed: Notify,
    /// Counts the rounds of probes that have ended.
    rounds: watch::Sender<u64>,
}

impl LocalLinks {
    /// Runs `f` on the state machine.
    fn machine<T>(&self, f: impl FnOnce(&mut Links) -> T) -> T {
        f(&mut self.machine.borrow_mut())
    }

    /// Records an answer to a request whose connection was opened after `opened`.
    pub fn record_answer(&self, opened: Time, now: Time) {
        self.machine(|m| m.record_answer(opened, now));
    }

    /// Records that a target could not be reached, or that its connection broke or fell silent.
    pub fn record_failure(&self, target: &Name, now: Time) {
        self.machine(|m| m.record_failure(target, now));
        if self.machine(|m| m.is_suspect()) {
            self.failed.notify_one();
        }
    }
}

/// Starts the task that probes the links.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(run(node.clone()));
}

async fn run(node: Rc<Node>) {
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.links.failed.notified()).await;
        if node.links.machine(|m| m.end_return(node.now())) {
            log_state(&node, &[], Duration::ZERO);
        }
        let count_silent = |since| node.fleet(|f| f.count_silent(since));
        if node.links.machine(|m| m.begin_round(count_silent, node.now())) {
            run_round(&node).await;
        }
    }
}

/// Probes some targets and applies the result.
async fn run_round(node: &Rc<Node>) {
    let begun = node.now();
    let failing = node.links.machine(|m| m.failing().clone());
    let contacts = probe::contact_targets(node, &failing).await;
    let now = node.now();
    let changed = node.links.machine(|m| m.end_round(&contacts, begun, now));
    if changed {
        log_state(node, &contacts, now.since(begun));
    }
    node.links.rounds.send_modify(|rounds| *rounds += 1);
}

fn log_state(node: &Node, contacts: &[Contact], took: Duration) {
    let now = node.now();
    let (state, failing, age) =
        node.links.machine(|m| (m.state(), m.failing().len(), m.answer_age(now)));
    let count = |contact| contacts.iter().filter(|c| **c == contact).count();
    Event::Links {
        state: state.as_str(),
        failing,
        probed: contacts.len(),
        unreachable: count(Contact::Unreachable),
        silent: count(Contact::Silent),
        answer_age_ms: age.map(|age| age.as_millis() as u64),
        peers: node.peers.roster(|r| r.count()) - 1,
        took_ms: took.as_millis() as u64,
    }
    .emit();
    node.metrics.set_links_lost(state == LinkState::Lost);
}
