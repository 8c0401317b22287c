//! Requests that end the targets which run them are held back by all nodes.
//!
//! A target that ended, and did not say before that it would, speaks against every request that
//! it ran. After [`HOLD_THRESHOLD`] such ends a request is held: what ends whatever runs it would
//! take the work of all others with it, target by target. What is known of a request is a set of
//! ends that only grows and is cleared end by end, so that nodes may hear of it in any order, and
//! any number of times.
//!
//! A whole answer, anywhere, clears a request of all its ends: one that ends its targets never
//! gets one. So does another request that is held and ran at the same targets.

mod answered;
mod gossip;
mod record;
mod suspect;
mod verdict;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use model::forward::{Fingerprint, SuspectNews, TargetId};
use model::member::NodeId;
use model::{Name, Time};

use answered::Answered;
use suspect::Suspect;

pub use gossip::{Outgoing, SentVersions};
pub use suspect::Hold;
pub use verdict::{ConnectOutcome, Verdict, judge};

/// Ends from which on a request is held. One may be chance, and two still are where targets end
/// for a reason of their own.
pub const HOLD_THRESHOLD: usize = 3;
/// Requests remembered at most: 300 B each.
const MAX_SUSPECTS: usize = 4096;
/// Time for which a request that is not held is remembered after its last end.
const SUSPECT_TTL: Duration = Duration::from_secs(10 * 60);
/// Time for which a held one is remembered after it last came.
const HELD_TTL: Duration = Duration::from_secs(60 * 60);

/// What changed about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is held from now on, or for longer.
    Held(Hold),
    /// It is held no more, and why.
    Released(&'static str),
}

/// Changes by request.
pub type Changes = Vec<(Fingerprint, Change)>;

/// Requests under which targets ended, as one node knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answered: Answered,
    /// Peers whose build knows no such messages.
    unsupported: BTreeSet<NodeId>,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Count of requests of which anything is known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Count of requests that are held.
    pub fn count_held(&self, now: Time) -> usize {
        self.suspects.values().filter(|c| c.hold(now).is_some()).count()
    }

    /// Why a request is not to be sent; `None` if it may be.
    pub fn hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        self.suspects.get(&request)?.hold(now)
    }

    /// A request came and is refused, if it is held.
    pub fn record_arrival(&mut self, request: Fingerprint, now: Time) -> Option<Hold> {
        let suspect = self.suspects.get_mut(&request)?;
        suspect.record_arrival(now);
        suspect.hold(now)
    }

    /// A request is about to be sent. One that was held for long enough is let through, and held
    /// on until it shows how that ends. Returns whether it is such a one.
    pub fn try_send(&mut self, request: Fingerprint, now: Time) -> Result<bool, Hold> {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return Ok(false);
        };
        match suspect.hold(now) {
            Some(hold) => Err(hold),
            None => Ok(suspect.record_send(now)),
        }
    }

    /// Targets whose ends speak against a request, so many at most.
    pub fn crashed_targets(&self, request: Fingerprint, limit: usize) -> Vec<Name> {
        let suspect = self.suspects.get(&request);
        let crashed = suspect.into_iter().flat_map(Suspect::active_crashes);
        crashed.take(limit).map(|target| target.name.clone()).collect()
    }

    /// A target answered a request whole.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) -> Option<Change> {
        self.answered.note(request, now);
        let suspect = self.suspects.get_mut(&request)?;
        let was_held = suspect.is_held();
        suspect.clear_all();
        was_held.then_some(Change::Released("answered"))
    }

    /// A target ended under these requests.
    pub fn record_crash(
        &mut self,
        target: &TargetId,
        service: &Name,
        requests: &[Fingerprint],
        now: Time,
    ) -> Changes {
        let mut updated = Vec::new();
        for request in requests {
            if self.answered.has(*request, now) {
                continue;
            }
            let Some(suspect) = self.suspect_mut(*request, service, now) else {
                continue;
            };
            if suspect.record_crash(target, now) {
                updated.push(*request);
            }
        }
        self.update_holds(updated, now)
    }

    /// Takes what another node knows, or the store if it is none; returns what changed.
    pub fn merge(&mut self, from: Option<&NodeId>, news: &[SuspectNews], now: Time) -> Changes {
        let mut changes = Vec::new();
        let mut updated = Vec::new();
        for report in news {
            let request = report.request;
            let is_cleared = self.answered.has(request, now);
            let Some(suspect) = self.suspect_mut(request, &report.service, now) else {
                continue;
            };
            let was_held = suspect.is_held();
            if suspect.merge(report, now) {
                updated.push(request);
            }
            if let Some(from) = from.filter(|_| !suspect.is_ahead_of(report)) {
                suspect.gossip.mark_acked(from);
            }
            if is_cleared {
                suspect.clear_all();
            }
            if was_held && !suspect.is_held() {
                changes.push((request, Change::Released("answered elsewhere")));
            }
        }
        changes.extend(self.update_holds(updated, now));
        changes
    }

    /// An operator lets a request through again; returns whether it was held.
    pub fn release(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let was_held = suspect.is_held();
        suspect.clear_all();
        was_held
    }

    /// Forgets what has not come for long. What was held is released first, so that it goes from
    /// the store too.
    pub fn expire(&mut self, now: Time) -> Changes {
        let mut changes = Vec::new();
        for (request, suspect) in &mut self.suspects {
            if suspect.is_held() && now.since(suspect.last_activity()) >= HELD_TTL {
                suspect.clear_all();
                suspect.record_arrival(now);
                changes.push((*request, Change::Released("not asked for")));
            }
        }
        self.suspects.retain(|_, c| c.is_held() || now.since(c.last_activity()) < SUSPECT_TTL);
        changes
    }

    /// Those whose ends grew may be held by now, which clears others that ran at the same targets.
    fn update_holds(&mut self, updated: Vec<Fingerprint>, now: Time) -> Changes {
        let mut changes = Vec::new();
        for request in updated {
            let Some(hold) = self.hold(request, now) else {
                continue;
            };
            changes.push((request, Change::Held(hold)));
            let crashed: Vec<TargetId> =
                self.suspects[&request].active_crashes().cloned().collect();
            for suspect in self.suspects.values_mut().filter(|c| !c.is_held()) {
                suspect.clear(&crashed);
            }
        }
        changes
    }

    /// The case of a request; `None` if no more of them can be remembered.
    fn suspect_mut(
        &mut self,
        request: Fingerprint,
        service: &Name,
        now: Time,
    ) -> Option<&mut Suspect> {
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_SUSPECTS {
            let weakest = self.suspects.iter().filter(|(_, c)| !c.is_held());
            let weakest =
                weakest.min_by_key(|(_, c)| (c.active_crashes().count(), c.last_activity()));
            let weakest = weakest.map(|(request, _)| *request)?;
            self.suspects.remove(&weakest);
        }
        Some(self.suspects.entry(request).or_insert_with(|| Suspect::new(service.clone(), now)))
    }
}
