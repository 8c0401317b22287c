//! Which peers answer and which are silent, and which failure domains are cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::member::NodeId;
use model::{Name, Time};

/// Time for which an answer of a peer is taken to hold. Orders that wait at a peer behind a
/// cut are late by this, a look, and the time for a ping and for a survey.
const ANSWER_KEPT: Duration = Duration::from_millis(120);
/// Time after which a silent peer is asked for a sign of life again.
const RECHECK: Duration = Duration::from_millis(500);
/// Silent peers of one failure domain, none of which answered since, that speak for a cut.
const CUT_FROM: usize = 2;

/// What is known of a peer's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It answered a moment ago, or is being asked.
    Answers,
    /// It did not answer a moment ago.
    Silent,
    /// Nothing is known: it is to be asked.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    answered: Time,
    silent: bool,
    asked: Time,
    asking: bool,
}

/// What is known of all peers' answers. A silent peer stays silent until it answers.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    heard: BTreeMap<NodeId, Heard>,
    /// Peers of a failure domain that fell silent since the last answer from there.
    silent: BTreeMap<Name, BTreeSet<NodeId>>,
}

impl Contacts {
    /// Forgets a peer of a failure domain.
    pub(super) fn forget(&mut self, id: &NodeId, domain: &Name) {
        self.heard.remove(id);
        if let Some(silent) = self.silent.get_mut(domain) {
            silent.remove(id);
        }
    }

    /// Count of peers of which something is known.
    pub(super) fn len(&self) -> usize {
        self.heard.len()
    }

    /// Forgets all peers but these.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        self.heard.retain(|id, _| is_kept(id));
        for silent in self.silent.values_mut() {
            silent.retain(&is_kept);
        }
    }

    pub(super) fn answered(&mut self, id: &NodeId, domain: Option<&Name>, now: Time) {
        let heard = Heard { answered: now, silent: false, asked: now, asking: false };
        self.heard.insert(id.clone(), heard);
        if let Some(silent) = domain.and_then(|d| self.silent.get_mut(d)) {
            silent.clear();
        }
    }

    pub(super) fn silent(&mut self, id: &NodeId, domain: Option<&Name>, now: Time) {
        let heard = Heard { answered: Time::ZERO, silent: true, asked: now, asking: false };
        self.heard.insert(id.clone(), heard);
        if let Some(domain) = domain {
            self.silent.entry(domain.clone()).or_default().insert(id.clone());
        }
    }

    pub(super) fn is_silent(&self, id: &NodeId) -> bool {
        self.heard.get(id).is_some_and(|h| h.silent)
    }

    /// Whether nobody in a failure domain seems to answer any more.
    pub(super) fn is_cut(&self, domain: &Name) -> bool {
        self.silent.get(domain).is_some_and(|s| s.len() >= CUT_FROM)
    }

    /// Whether a peer may be asked for a sign of life by now.
    pub(super) fn is_check_due(&self, id: &NodeId, now: Time) -> bool {
        self.heard.get(id).is_none_or(|h| !h.asking && now.since(h.asked) >= RECHECK)
    }

    /// A wait for a peer begins: until an answer could be there it counts as answering.
    pub(super) fn begin_wait(&mut self, id: &NodeId, now: Time) {
        let fresh = Heard { answered: now, silent: false, asked: now, asking: false };
        self.heard.entry(id.clone()).or_insert(fresh);
    }

    /// What is known of a peer; if nothing is, it counts as being asked from now on.
    pub(super) fn contact(&mut self, id: &NodeId, now: Time) -> Contact {
        let never = Heard { answered: Time::ZERO, silent: false, asked: now, asking: false };
        let heard = self.heard.entry(id.clone()).or_insert(never);
        if heard.silent && (heard.asking || now.since(heard.asked) < RECHECK) {
            return Contact::Silent;
        }
        if !heard.silent && (heard.asking || now.since(heard.answered) < ANSWER_KEPT) {
            return Contact::Answers;
        }
        heard.asking = true;
        heard.asked = now;
        Contact::Unknown
    }
}
