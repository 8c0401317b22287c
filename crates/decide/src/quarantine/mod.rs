//! Requests that end the targets which run them are held back by all nodes.
//!
//! A target that ended, and did not say before that it would, speaks against every request that
//! it ran. After [`HELD_FROM`] such ends a request is held: what ends whatever runs it would
//! take the work of all others with it, target by target. What is known of a request is a set of
//! ends that only grows and is cleared end by end, so that nodes may hear of it in any order, and
//! any number of times.
//!
//! A whole answer, anywhere, clears a request of all its ends: one that ends its targets never
//! gets one. So does another request that is held and ran at the same targets.

mod answered;
mod case;
mod ends;
mod news;
mod record;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use model::forward::{Fingerprint, SuspectNews, TargetId};
use model::member::NodeId;
use model::{Name, Time};

use answered::Answered;
use case::Case;

pub use case::Hold;
pub use ends::{Contact, Verdict, judge};
pub use news::{Told, Unsent};

/// Ends from which on a request is held. One may be chance, and two still are where targets end
/// for a reason of their own.
pub const HELD_FROM: usize = 3;
/// Requests remembered at most: 300 B each.
const CASES_MOST: usize = 4096;
/// Time for which a request that is not held is remembered after its last end.
const SUSPECTED_FOR: Duration = Duration::from_secs(10 * 60);
/// Time for which a held one is remembered after it last came.
const HELD_FOR: Duration = Duration::from_secs(60 * 60);

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
    cases: HashMap<Fingerprint, Case>,
    answered: Answered,
    /// Peers whose build knows no such messages.
    strangers: BTreeSet<NodeId>,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Count of requests of which anything is known.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Count of requests that are held.
    pub fn count_held(&self, now: Time) -> usize {
        self.cases.values().filter(|c| c.hold(now).is_some()).count()
    }

    /// Why a request is not to be sent; `None` if it may be.
    pub fn hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        self.cases.get(&request)?.hold(now)
    }

    /// A request came and is refused, if it is held.
    pub fn comes(&mut self, request: Fingerprint, now: Time) -> Option<Hold> {
        let case = self.cases.get_mut(&request)?;
        case.comes(now);
        case.hold(now)
    }

    /// A request is about to be sent. One that was held for long enough is let through, and held
    /// on until it shows how that ends. Returns whether it is such a one.
    pub fn sends(&mut self, request: Fingerprint, now: Time) -> Result<bool, Hold> {
        let Some(case) = self.cases.get_mut(&request) else {
            return Ok(false);
        };
        match case.hold(now) {
            Some(hold) => Err(hold),
            None => Ok(case.sends(now)),
        }
    }

    /// Targets whose ends speak against a request, so many at most.
    pub fn ends_of(&self, request: Fingerprint, most: usize) -> Vec<Name> {
        let case = self.cases.get(&request);
        let ends = case.into_iter().flat_map(Case::standing);
        ends.take(most).map(|target| target.name.clone()).collect()
    }

    /// A target answered a request whole.
    pub fn answered(&mut self, request: Fingerprint, now: Time) -> Option<Change> {
        self.answered.note(request, now);
        let case = self.cases.get_mut(&request)?;
        let was_held = case.is_held();
        case.clear_all();
        was_held.then_some(Change::Released("answered"))
    }

    /// A target ended under these requests.
    pub fn ended(
        &mut self,
        target: &TargetId,
        service: &Name,
        requests: &[Fingerprint],
        now: Time,
    ) -> Changes {
        let mut grown = Vec::new();
        for request in requests {
            if self.answered.has(*request, now) {
                continue;
            }
            let Some(case) = self.case(*request, service, now) else {
                continue;
            };
            if case.ended(target, now) {
                grown.push(*request);
            }
        }
        self.weigh(grown, now)
    }

    /// Takes what another node knows, or the store if it is none; returns what changed.
    pub fn hear(&mut self, from: Option<&NodeId>, news: &[SuspectNews], now: Time) -> Changes {
        let mut changes = Vec::new();
        let mut grown = Vec::new();
        for suspect in news {
            let request = suspect.request;
            let is_cleared = self.answered.has(request, now);
            let Some(case) = self.case(request, &suspect.service, now) else {
                continue;
            };
            let was_held = case.is_held();
            if case.hear(suspect, now) {
                grown.push(request);
            }
            if let Some(from) = from.filter(|_| !case.knows_more(suspect)) {
                case.tellings.knows(from);
            }
            if is_cleared {
                case.clear_all();
            }
            if was_held && !case.is_held() {
                changes.push((request, Change::Released("answered elsewhere")));
            }
        }
        changes.extend(self.weigh(grown, now));
        changes
    }

    /// An operator lets a request through again; returns whether it was held.
    pub fn release(&mut self, request: Fingerprint) -> bool {
        let Some(case) = self.cases.get_mut(&request) else {
            return false;
        };
        let was_held = case.is_held();
        case.clear_all();
        was_held
    }

    /// Forgets what has not come for long. What was held is released first, so that it goes from
    /// the store too.
    pub fn expire(&mut self, now: Time) -> Changes {
        let mut changes = Vec::new();
        for (request, case) in &mut self.cases {
            if case.is_held() && now.since(case.last()) >= HELD_FOR {
                case.clear_all();
                case.comes(now);
                changes.push((*request, Change::Released("not asked for")));
            }
        }
        self.cases.retain(|_, c| c.is_held() || now.since(c.last()) < SUSPECTED_FOR);
        changes
    }

    /// Those whose ends grew may be held by now, which clears others that ran at the same targets.
    fn weigh(&mut self, grown: Vec<Fingerprint>, now: Time) -> Changes {
        let mut changes = Vec::new();
        for request in grown {
            let Some(hold) = self.hold(request, now) else {
                continue;
            };
            changes.push((request, Change::Held(hold)));
            let ends: Vec<TargetId> = self.cases[&request].standing().cloned().collect();
            for case in self.cases.values_mut().filter(|c| !c.is_held()) {
                case.clear(&ends);
            }
        }
        changes
    }

    /// The case of a request; `None` if no more of them can be remembered.
    fn case(&mut self, request: Fingerprint, service: &Name, now: Time) -> Option<&mut Case> {
        if !self.cases.contains_key(&request) && self.cases.len() >= CASES_MOST {
            let weakest = self.cases.iter().filter(|(_, c)| !c.is_held());
            let weakest = weakest.min_by_key(|(_, c)| (c.standing().count(), c.last()));
            let weakest = weakest.map(|(request, _)| *request)?;
            self.cases.remove(&weakest);
        }
        Some(self.cases.entry(request).or_insert_with(|| Case::new(service.clone(), now)))
    }
}
