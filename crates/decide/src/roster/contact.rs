//! Which peers answer and which are silent, and which failure domains are cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::member::NodeId;
use model::{Name, Time};

/// Time for which an answer of a peer is taken to hold. Orders that wait at a peer behind a
/// cut are late by this, a look, and the time for a ping and for a survey.
const ANSWER_TTL: Duration = Duration::from_millis(120);
/// Time after which a silent peer is asked for a sign of life again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Silent peers of one failure domain, none of which answered since, that speak for a cut.
const CUT_THRESHOLD: usize = 2;

/// What is known of a peer's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It answered a moment ago, or is being asked.
    Responsive,
    /// It did not answer a moment ago.
    Silent,
    /// Nothing is known: it is to be asked.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Liveness {
    last_answer: Time,
    is_silent: bool,
    checked: Time,
    checking: bool,
}

/// What is known of all peers' answers. A silent peer stays silent until it answers.
#[derive(Debug, Default)]
pub(super) struct PeerLiveness {
    peers: BTreeMap<NodeId, Liveness>,
    /// Peers of a failure domain that fell silent since the last answer from there.
    silent_by_domain: BTreeMap<Name, BTreeSet<NodeId>>,
}

impl PeerLiveness {
    /// Forgets a peer of a failure domain.
    pub(super) fn remove(&mut self, id: &NodeId, domain: &Name) {
        self.peers.remove(id);
        if let Some(silent) = self.silent_by_domain.get_mut(domain) {
            silent.remove(id);
        }
    }

    /// Count of peers of which something is known.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Forgets all peers but these.
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

    pub(super) fn is_silent(&self, id: &NodeId) -> bool {
        self.peers.get(id).is_some_and(|h| h.is_silent)
    }

    /// Whether nobody in a failure domain seems to answer any more.
    pub(super) fn is_cut(&self, domain: &Name) -> bool {
        self.silent_by_domain.get(domain).is_some_and(|s| s.len() >= CUT_THRESHOLD)
    }

    /// Whether a peer may be asked for a sign of life by now.
    pub(super) fn is_check_due(&self, id: &NodeId, now: Time) -> bool {
        self.peers.get(id).is_none_or(|h| !h.checking && now.since(h.checked) >= RECHECK_INTERVAL)
    }

    /// A wait for a peer begins: until an answer could be there it counts as answering.
    pub(super) fn begin_wait(&mut self, id: &NodeId, now: Time) {
        let initial =
            Liveness { last_answer: now, is_silent: false, checked: now, checking: false };
        self.peers.entry(id.clone()).or_insert(initial);
    }

    /// What is known of a peer; if nothing is, it counts as being asked from now on.
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
