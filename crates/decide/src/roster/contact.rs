//! Which peers answer, which are silent, and which failure domains are partitioned off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::member::NodeId;
use model::{Name, Time};

/// Time for which an answer proves that a peer is reachable. Orders that wait at a peer behind a
/// partition are delayed by this, one polling interval, a ping timeout and a survey timeout.
const ANSWER_TTL: Duration = Duration::from_millis(120);
/// Interval between liveness checks of a silent peer.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Silent peers of one failure domain, with no answer from there since, that indicate a partition.
const CUT_THRESHOLD: usize = 2;

/// Reachability of a peer, judged by its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It answered recently, or is being checked.
    Responsive,
    /// It did not answer its last check.
    Silent,
    /// There is no recent answer: it must be checked.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Liveness {
    last_answer: Time,
    is_silent: bool,
    checked: Time,
    checking: bool,
}

/// Reachability of all peers. A silent peer stays silent until it answers.
#[derive(Debug, Default)]
pub(super) struct PeerLiveness {
    peers: BTreeMap<NodeId, Liveness>,
    /// Peers of each failure domain that fell silent since the last answer from there.
    silent_by_domain: BTreeMap<Name, BTreeSet<NodeId>>,
}

impl PeerLiveness {
    /// Removes a peer of a failure domain.
    pub(super) fn remove(&mut self, id: &NodeId, domain: &Name) {
        self.peers.remove(id);
        if let Some(silent) = self.silent_by_domain.get_mut(domain) {
            silent.remove(id);
        }
    }

    /// Number of peers with a recorded state.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Removes all peers except those for which `is_kept` holds.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        self.peers.retain(|id, _| is_kept(id));
        for silent in self.silent_by_domain.values_mut() {
            silent.retain(&is_kept);
        }
    }

    pub(super) fn mark_answered(&mut self, id: &NodeId, domain: Option<&Name>, now: Time) {
        let state = Liveness { last_answer: now, is_silent: false, checked: now, checking: false };
        self.peers.insert(id.clone(), state);
        if let Some(silent) = domain.and_then(|d| self.silent_by_domain.get_mut(d)) {
            silent.clear();
        }
    }

    pub(super) fn mark_silent(&mut self, id: &NodeId, domain: Option<&Name>, now: Time) {
        let state =
            Liveness { last_answer: Time::ZERO, is_silent: true, checked: now, checking: false };
        self.peers.insert(id.clone(), state);
        if let Some(domain) = domain {
            self.silent_by_domain.entry(domain.clone()).or_default().insert(id.clone());
        }
    }

    pub(super) fn excuse_silence(&mut self, id: &NodeId, now: Time) {
        if let Some(state) = self.peers.get_mut(id) {
            state.checking = false;
            state.last_answer = now;
        }
    }

    pub(super) fn is_silent(&self, id: &NodeId) -> bool {
        self.peers.get(id).is_some_and(|h| h.is_silent)
    }

    /// Whether a failure domain appears to be partitioned off.
    pub(super) fn is_cut(&self, domain: &Name) -> bool {
        self.silent_by_domain.get(domain).is_some_and(|s| s.len() >= CUT_THRESHOLD)
    }

    /// Whether a peer is due for a liveness check.
    pub(super) fn is_check_due(&self, id: &NodeId, now: Time) -> bool {
        self.peers.get(id).is_none_or(|h| !h.checking && now.since(h.checked) >= RECHECK_INTERVAL)
    }

    /// Records that a wait for a peer begins. The peer counts as responsive until an answer could
    /// have arrived.
    pub(super) fn begin_wait(&mut self, id: &NodeId, now: Time) {
        let initial =
            Liveness { last_answer: now, is_silent: false, checked: now, checking: false };
        self.peers.entry(id.clone()).or_insert(initial);
    }

    /// Reachability of a peer. `Unknown` also marks it as being checked, which the caller must then
    /// do.
    pub(super) fn reachability(&mut self, id: &NodeId, now: Time) -> Reachability {
        let unchecked =
            Liveness { last_answer: Time::ZERO, is_silent: false, checked: now, checking: false };
        let state = self.peers.entry(id.clone()).or_insert(unchecked);
        if state.is_silent && (state.checking || now.since(state.checked) < RECHECK_INTERVAL) {
            return Reachability::Silent;
        }
        if !state.is_silent && (state.checking || now.since(state.last_answer) < ANSWER_TTL) {
            return Reachability::Responsive;
        }
        state.checking = true;
        state.checked = now;
        Reachability::Unknown
    }
}
