//! Quarantine of requests that crash the targets running them, on all nodes.
//!
//! A crash, the end of a target that did not announce it, counts against every request that the
//! target was running. After [`HOLD_THRESHOLD`] crashes a request is held, since it would destroy
//! the work of all other requests, target by target. The state of a request is a set of crashes
//! that only grows and whose entries are cleared one by one, so nodes may merge reports in any
//! order and any number of times.
//!
//! The same goes for the parts of prompts that requests share, since requests of which no two are
//! alike may have the part in common that crashes their targets. A part is held after more crashes
//! than a request, since that holds back all requests with it, and only if they came under several
//! requests.
//!
//! A complete answer on any node clears a request of all its crashes, because a request that
//! crashes its targets never gets one; so it does with its parts. A held request also clears all
//! requests that are not held of the crashes that they share with it. A held part clears requests
//! and parts, also of a hold if the part explains more crashes than they do: of all that a crashed
//! target was running, the fewest suspects that explain the crashes are the likely cause.

mod answered;
mod gossip;
mod record;
mod suspect;
mod verdict;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use model::forward::{Fingerprint, SuspectReport, TargetId};
use model::member::{Node, NodeId};
use model::{Name, Time};

use answered::Answered;
use gossip::replicas;
use suspect::Suspect;

pub use gossip::{Outgoing, SentVersions};
pub use suspect::Hold;
pub use verdict::{ConnectOutcome, Verdict, judge};

/// Number of crashes from which a request is held. One may be a coincidence, and so may two if
/// targets crash for unrelated reasons.
pub const HOLD_THRESHOLD: usize = 3;
/// Number of crashes from which a part of prompts is held.
pub const PART_HOLD_THRESHOLD: usize = 4;
/// Maximum parts named by one node for one crash.
const MAX_PARTS: usize = 64;
/// Time after which a part whose trial is due may be asked for again at a node that does not send it.
const TRIAL_RETRY_TIME: Duration = Duration::from_secs(1);
/// Maximum requests and parts remembered, at about 300 B each.
const MAX_SUSPECTS: usize = 4096;
/// Time for which a request that is not held is remembered after its last activity.
const SUSPECT_TTL: Duration = Duration::from_secs(10 * 60);
/// Time for which a held request is remembered after its last activity.
const HELD_TTL: Duration = Duration::from_secs(60 * 60);

/// What changed about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is now held, or held for longer.
    Held(Hold),
    /// It is no longer held, for this reason.
    Released(&'static str),
}

/// Changes by request.
pub type Changes = Vec<(Fingerprint, Change)>;

/// Suspected requests, as known to one node.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answered: Answered,
    /// Peers whose build does not support quarantine messages.
    unsupported: BTreeSet<NodeId>,
}

impl Quarantine {
    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspected requests, including held ones.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Number of requests held at `now`.
    pub fn count_held(&self, now: Time) -> usize {
        self.suspects.values().filter(|c| c.hold(now).is_some()).count()
    }

    /// Why a request must not be sent; `None` if it may be.
    pub fn hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        self.suspects.get(&request)?.hold(now)
    }

    /// Why a part must not be sent by the node `me`; `None` if it may be. Trials of a part, which many
    /// requests share, are sent by its first replica only.
    pub fn part_hold(
        &self,
        part: Fingerprint,
        me: &Name,
        peers: impl FnOnce() -> Vec<Node>,
        now: Time,
    ) -> Option<Hold> {
        let suspect = self.suspects.get(&part).filter(|suspect| suspect.is_held())?;
        if let Some(hold) = suspect.hold(now) {
            return Some(hold);
        }
        let peers = peers();
        let peers = self.supporting(&peers);
        let sends_trials = replicas(part, me, &peers).first().is_some_and(Option::is_none);
        let crashes = suspect.active_crashes().count();
        (!sends_trials).then_some(Hold { crashes, remaining: Some(TRIAL_RETRY_TIME) })
    }

    /// Records the arrival of a request; returns why it is refused if it is held.
    pub fn record_arrival(&mut self, request: Fingerprint, now: Time) -> Option<Hold> {
        let suspect = self.suspects.get_mut(&request)?;
        suspect.record_arrival(now);
        suspect.hold(now)
    }

    /// Records that a request is about to be sent. If its hold time has passed this is a trial, and
    /// the request is held again until the outcome is known. Returns whether it is a trial, or
    /// the hold if the request must not be sent.
    pub fn try_send(&mut self, request: Fingerprint, now: Time) -> Result<bool, Hold> {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return Ok(false);
        };
        match suspect.hold(now) {
            Some(hold) => Err(hold),
            None => Ok(suspect.record_send(now)),
        }
    }

    /// Whether a fingerprint is known to be that of a part of prompts.
    pub fn is_part(&self, key: Fingerprint) -> bool {
        self.suspects.get(&key).is_some_and(Suspect::is_part)
    }

    /// Up to `limit` targets whose crashes count against a request.
    pub fn crashed_targets(&self, request: Fingerprint, limit: usize) -> Vec<Name> {
        let suspect = self.suspects.get(&request);
        let crashed = suspect.into_iter().flat_map(Suspect::active_crashes);
        crashed.take(limit).map(|target| target.name.clone()).collect()
    }

    /// Records a complete answer, which clears the request.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) -> Option<Change> {
        self.answered.record(request, now);
        let suspect = self.suspects.get_mut(&request)?;
        let was_held = suspect.is_held();
        suspect.clear_all();
        was_held.then_some(Change::Released("answered"))
    }

    /// Records that a target crashed while running these requests.
    pub fn record_crash(
        &mut self,
        target: &TargetId,
        service: &Name,
        requests: &[Fingerprint],
        now: Time,
    ) -> Changes {
        let crashes = requests.iter().map(|request| (*request, None));
        self.record_crashes(target, service, crashes, now)
    }

    /// Records that a target crashed while running requests with these parts, each with one of those
    /// requests.
    pub fn record_part_crash(
        &mut self,
        target: &TargetId,
        service: &Name,
        parts: &[(Fingerprint, Fingerprint)],
        now: Time,
    ) -> Changes {
        let crashes = parts.iter().take(MAX_PARTS).map(|(part, request)| (*part, Some(*request)));
        self.record_crashes(target, service, crashes, now)
    }

    /// Records the crash of a target against requests and parts; each part comes with a request.
    fn record_crashes(
        &mut self,
        target: &TargetId,
        service: &Name,
        crashes: impl Iterator<Item = (Fingerprint, Option<Fingerprint>)>,
        now: Time,
    ) -> Changes {
        let mut updated = Vec::new();
        for (key, under) in crashes {
            if self.answered.has(key, now) {
                continue;
            }
            let Some(suspect) = self.suspect_mut(key, service, now) else {
                continue;
            };
            if suspect.record_crash(target, under, now) {
                updated.push(key);
            }
        }
        self.update_holds(updated, now)
    }

    /// Merges reports of another node, or of the store if `from` is `None`; returns what changed.
    pub fn merge(
        &mut self,
        from: Option<&NodeId>,
        reports: &[SuspectReport],
        now: Time,
    ) -> Changes {
        let mut changes = Vec::new();
        let mut updated = Vec::new();
        for report in reports {
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

    /// Releases a request on behalf of an operator; returns whether it was held.
    pub fn release(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let was_held = suspect.is_held();
        suspect.clear_all();
        was_held
    }

    /// Forgets requests without recent activity. Held ones are released first, so that their
    /// records are removed from the store too.
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

    /// Reports which requests and parts with new crashes are now held, and clears others of the
    /// crashes that these account for.
    fn update_holds(&mut self, mut updated: Vec<Fingerprint>, now: Time) -> Changes {
        let mut changes = Vec::new();
        let crashes = |of: &Fingerprint| self.suspects.get(of).map_or(0, Suspect::count_crashes);
        updated.sort_by_cached_key(|key| std::cmp::Reverse(crashes(key)));
        for key in updated {
            // A part that was reported before may account for its crashes by now.
            let Some(hold) = self.hold(key, now) else {
                continue;
            };
            changes.push((key, Change::Held(hold)));
            changes.extend(self.clear_explained(key));
        }
        changes
    }

    /// Clears suspects of the crashes that a held request or part accounts for; returns those that
    /// are no longer held.
    fn clear_explained(&mut self, cause: Fingerprint) -> Changes {
        let mut changes = Vec::new();
        let is_part = self.suspects[&cause].is_part();
        let crashed: Vec<TargetId> = self.suspects[&cause].active_crashes().cloned().collect();
        for (key, suspect) in self.suspects.iter_mut().filter(|(key, _)| **key != cause) {
            let was_held = suspect.is_held();
            let is_explained = if is_part {
                !was_held || suspect.is_explained_by(&crashed)
            } else {
                !was_held && !suspect.is_part()
            };
            if is_explained {
                suspect.clear(&crashed);
            }
            if was_held && !suspect.is_held() {
                changes.push((*key, Change::Released("a part of prompts explains it")));
            }
        }
        changes
    }

    /// The state of a request, created if missing; `None` if the limit is reached and all are held.
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
