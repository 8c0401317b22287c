//! Links of this node to the targets: probes them when several targets fail, and finds peers to
//! send requests through while they are lost (see [`decide::links`]).

mod ask;
mod probe;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use decide::delay::Witness;
use decide::links::{Contact, LinkPeer, LinkPeers, Links, is_unproven};
use model::forward::Allowed;
use model::member::NodeId;
use model::{Name, Time};
use tokio::sync::{Notify, watch};

use crate::events::Event;
use crate::node::Node;
use crate::peers::UnsupportedPeers;

pub use ask::answer_query;
pub use probe::reaches_others;

/// Interval at which links that are lost or silent are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// State of this node's links, and what peers said of theirs.
#[derive(Default)]
pub struct LocalLinks {
    machine: RefCell<Links>,
    peers: RefCell<LinkPeers>,
    /// Peers whose build does not send requests on behalf of others.
    unsupported_peers: UnsupportedPeers,
    /// Whether peers are being asked.
    is_asking: watch::Sender<bool>,
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

    /// Whether no target can be reached.
    pub fn is_lost(&self) -> bool {
        self.machine(|m| m.is_lost())
    }

    /// Whether recent failures of targets may be due to the links.
    pub fn is_suspect(&self) -> bool {
        self.machine(|m| m.is_suspect())
    }

    /// Whether the links were lost at any time since `since`, or may be now.
    pub fn was_lost_since(&self, since: Time) -> bool {
        self.machine(|m| m.was_lost_since(since))
    }

    /// Share of the requests to send over the links, not through peers.
    pub fn share(&self, now: Time) -> f64 {
        self.machine(|m| m.share(now))
    }

    /// Records that a target could not be reached, or that its connection broke or fell silent.
    pub fn record_failure(&self, target: &Name, now: Time) {
        self.machine(|m| m.record_failure(target, now));
        if self.is_suspect() {
            self.failed.notify_one();
        }
    }

    /// Waits until it is known whether the links are lost, unless a target answered recently.
    pub async fn wait_for_verdict(&self, now: Time) {
        if !self.machine(|m| m.was_answered(now)) {
            self.wait_for_round().await;
        }
    }

    /// Waits for the end of a round of probes that is due or in progress.
    async fn wait_for_round(&self) {
        let mut rounds = self.rounds.subscribe();
        if self.is_suspect() {
            let _ = tokio::time::timeout(CHECK_INTERVAL * 2, rounds.changed()).await;
        }
    }

    /// The peer to send a request through; `tried` are left out. Waits for the answers of peers that
    /// are being asked if none is known to reach the targets.
    pub async fn choose_peer(
        &self,
        node: &Node,
        allowed: &Allowed,
        tried: &[NodeId],
    ) -> Option<LinkPeer> {
        let known = self.choose_known_peer(node, allowed, tried);
        if known.is_some() {
            return known;
        }
        // An error means that the node ends.
        let _ = self.is_asking.subscribe().wait_for(|is_asking| !is_asking).await;
        self.choose_known_peer(node, allowed, tried)
    }

    fn choose_known_peer(
        &self,
        node: &Node,
        allowed: &Allowed,
        tried: &[NodeId],
    ) -> Option<LinkPeer> {
        let settings = node.settings();
        if !settings.policy.proxying {
            return None;
        }
        let (domain, now) = (settings.domain.clone(), node.now());
        let map = node.peers.roster(|r| r.map());
        let mut peers = self.peers.borrow_mut();
        node.rng(|rng| peers.choose(&map, &domain, allowed, tried, now, rng))
    }

    /// Records that a peer did not serve a request.
    pub fn record_peer_failure(&self, id: &NodeId, now: Time) {
        self.peers.borrow_mut().record_failure(id, now);
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
            log_state(&node, &[], None, Duration::ZERO);
        }
        if node.intake.is_overrun(&node) {
            ask::ask_peers(&node).await;
        }
        let has_candidate = node.links.peers.borrow().has_candidate(node.now());
        node.intake.set_yielding(&node, has_candidate);
        let count_silent = |since| node.fleet(|f| f.count_silent(since));
        if node.links.machine(|m| m.begin_round(count_silent, node.now())) {
            // Peers are asked meanwhile, so that requests can go through them at once.
            tokio::join!(run_probes(&node), ask::ask_peers(&node));
            end_round(&node);
        }
    }
}

/// Probes some targets and applies the result.
async fn run_probes(node: &Node) {
    let begun = node.now();
    let failing = node.links.machine(|m| m.failing().clone());
    let (contacts, ()) =
        tokio::join!(probe::contact_targets(node, &failing), probe::connect_any_peer(node));
    let now = node.now();
    let witness = node.delay_witness(begun);
    let has_peer = node.links.peers.borrow().has_candidate(now);
    let is_unproven = is_unproven(witness, node.links.is_lost(), has_peer);
    if node.links.machine(|m| m.end_round(&contacts, is_unproven, now)) {
        apply_state(node);
        log_state(node, &contacts, Some(witness), now.since(begun));
    }
}

/// Records an answer to a request whose connection was opened after `opened`.
pub fn record_answer(node: &Node, opened: Time) {
    if node.links.machine(|m| m.record_answer(opened, node.now())) {
        apply_state(node);
        log_state(node, &[], None, Duration::ZERO);
    }
}

fn end_round(node: &Node) {
    node.links.rounds.send_modify(|rounds| *rounds += 1);
}

/// Applies a change of the state to what depends on it.
fn apply_state(node: &Node) {
    let is_lost = node.links.is_lost();
    node.peers.roster(|r| r.set_links_lost(is_lost));
    if !is_lost {
        node.fleet(|f| f.forgive_failures());
    }
}

fn log_state(node: &Node, contacts: &[Contact], witness: Option<Witness>, took: Duration) {
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
        witness: witness.map(Witness::as_str),
        peers: node.peers.roster(|r| r.count()) - 1,
        took_ms: took.as_millis() as u64,
    }
    .emit();
}
