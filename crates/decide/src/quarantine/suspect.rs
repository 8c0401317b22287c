//! State of one suspected request.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{CrashReport, Fingerprint, HeldRecord, SuspectReport, TargetId};
use model::{Name, Time};

use super::gossip::GossipState;
use super::{HOLD_THRESHOLD, PART_HOLD_THRESHOLD};

/// How long a request is held before its first and its second trial. The cause of the crashes may
/// have been fixed, or may not have been the request. After both trials it is held until an
/// operator releases it or it has not arrived for an hour.
const HOLD_DURATIONS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];
/// Maximum crashes remembered per request.
const MAX_CRASHES: usize = 16;
/// Crashes under the same request that count against a part of its prompt: a single request that
/// crashes its targets must not hold back all others that share its parts.
const MAX_CRASHES_PER_REQUEST: usize = 2;
/// Interval at which peers are reminded that a held request still arrives.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Number of targets that crashed while running it.
    pub crashes: usize,
    /// Time until its next trial; `None` if only an operator can release it.
    pub remaining: Option<Duration>,
}

/// A target that ended without announcing it while running the request.
#[derive(Debug, Clone)]
struct Crash {
    target: TargetId,
    at: Time,
    /// The request is not the cause.
    cleared: bool,
    /// For a part, a request with it that the target was running.
    under: Option<Fingerprint>,
}

/// A request, or a part of prompts, under which targets crashed.
#[derive(Debug)]
pub(super) struct Suspect {
    service: Name,
    is_part: bool,
    crashes: Vec<Crash>,
    trials: u32,
    last_trial: Time,
    last_arrival: Time,
    announced: Time,
    /// Whether the store has a record of it.
    pub(super) is_stored: bool,
    pub(super) gossip: GossipState,
}

impl Suspect {
    pub(super) fn new(service: Name, now: Time) -> Self {
        Suspect {
            service,
            is_part: false,
            crashes: Vec::new(),
            trials: 0,
            last_trial: Time::ZERO,
            last_arrival: now,
            announced: now,
            is_stored: false,
            gossip: GossipState::default(),
        }
    }

    /// Targets whose crashes count against it.
    pub(super) fn active_crashes(&self) -> impl Iterator<Item = &TargetId> {
        self.crashes.iter().filter(|e| !e.cleared).map(|e| &e.target)
    }

    /// Whether it is a part of prompts.
    pub(super) fn is_part(&self) -> bool {
        self.is_part
    }

    fn threshold(&self) -> usize {
        if self.is_part { PART_HOLD_THRESHOLD } else { HOLD_THRESHOLD }
    }

    /// Number of crashes that count against it.
    pub(super) fn count_crashes(&self) -> usize {
        let active = || self.crashes.iter().filter(|e| !e.cleared);
        if !self.is_part {
            return active().count();
        }
        let mut by_request: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        for request in active().filter_map(|e| e.under) {
            *by_request.entry(request).or_default() += 1;
        }
        let of_unknown = active().filter(|e| e.under.is_none()).count();
        let of_known = by_request.into_values().map(|n| n.min(MAX_CRASHES_PER_REQUEST));
        of_unknown + of_known.sum::<usize>()
    }

    /// Whether enough crashes count against it to hold it, even if its next trial is due.
    pub(super) fn is_held(&self) -> bool {
        self.count_crashes() >= self.threshold()
    }

    /// Whether all nodes must know of it: it is held, or was and some nodes may still hold it.
    pub(super) fn is_global(&self) -> bool {
        self.crashes.len() >= self.threshold()
    }

    pub(super) fn hold(&self, now: Time) -> Option<Hold> {
        if !self.is_held() {
            return None;
        }
        let crashes = self.active_crashes().count();
        let Some(duration) = HOLD_DURATIONS.get(self.trials as usize) else {
            return Some(Hold { crashes, remaining: None });
        };
        let last = self.crashes.iter().filter(|e| !e.cleared).map(|e| e.at).max();
        let since = last.unwrap_or_default().max(self.last_trial);
        let remaining = duration.saturating_sub(now.since(since));
        (!remaining.is_zero()).then_some(Hold { crashes, remaining: Some(remaining) })
    }

    /// Time of its last crash or arrival.
    pub(super) fn last_activity(&self) -> Time {
        let last_crash = self.crashes.iter().map(|e| e.at).max().unwrap_or_default();
        last_crash.max(self.last_arrival)
    }

    pub(super) fn record_arrival(&mut self, now: Time) {
        self.last_arrival = now;
        if now.since(self.announced) >= REANNOUNCE_INTERVAL {
            self.announced = now;
            self.gossip.mark_changed();
        }
    }

    /// Records that it is sent. If it was held this is a trial, which is gossiped immediately.
    /// Returns whether it was held.
    pub(super) fn record_send(&mut self, now: Time) -> bool {
        self.last_arrival = now;
        let was_held = self.is_held();
        if was_held {
            self.trials += 1;
            self.last_trial = now;
            self.gossip.mark_changed();
        }
        was_held
    }

    /// Records that a target crashed while running it, as a part in the request `under`; returns
    /// whether that is new.
    pub(super) fn record_crash(
        &mut self,
        target: &TargetId,
        under: Option<Fingerprint>,
        now: Time,
    ) -> bool {
        self.is_part |= under.is_some();
        let is_new = self.add(Crash { target: target.clone(), at: now, cleared: false, under });
        if is_new {
            self.gossip.mark_changed();
        }
        is_new
    }

    fn add(&mut self, crash: Crash) -> bool {
        if let Some(end) = self.crashes.iter_mut().find(|e| e.target == crash.target) {
            let is_new = crash.cleared && !end.cleared;
            end.cleared |= crash.cleared;
            return is_new;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let Some(old) = self.crashes.iter().position(|e| e.cleared) else {
                return false;
            };
            self.crashes.remove(old);
        }
        self.crashes.push(crash);
        true
    }

    /// Whether all crashes that count against it, and more, are among these.
    pub(super) fn is_explained_by(&self, crashed: &[TargetId]) -> bool {
        let mut own = self.active_crashes();
        own.all(|target| crashed.contains(target)) && self.active_crashes().count() < crashed.len()
    }

    /// Clears it of the crashes of these targets.
    pub(super) fn clear(&mut self, targets: &[TargetId]) {
        let mut has_changed = false;
        for end in self.crashes.iter_mut().filter(|e| !e.cleared && targets.contains(&e.target)) {
            end.cleared = true;
            has_changed = true;
        }
        if has_changed {
            self.is_stored &= self.is_held();
            self.gossip.mark_changed();
        }
    }

    /// Clears it of all crashes so far and resets its trials.
    pub(super) fn clear_all(&mut self) {
        self.trials = 0;
        let all: Vec<TargetId> = self.active_crashes().cloned().collect();
        self.clear(&all);
    }

    /// Its record for the store; `since` is the Unix time in milliseconds from which it is held.
    pub(super) fn to_record(&self, request: Fingerprint, since: u64) -> HeldRecord {
        let targets = self.active_crashes().cloned().collect();
        let service = self.service.clone();
        HeldRecord { request, is_part: self.is_part, service, targets, since }
    }

    /// Merges the report of another node; returns whether anything was new.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: Time) -> bool {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        let mut is_new = false;
        self.is_part |= report.is_part;
        for CrashReport { target, age_ms, cleared, under } in report.crashes.clone() {
            is_new |= self.add(Crash { target, at: ago(age_ms), cleared, under });
        }
        if report.tries > self.trials {
            self.trials = report.tries;
            self.last_trial = ago(report.tried_ms);
            is_new = true;
        }
        self.last_arrival = self.last_arrival.max(ago(report.received_ms));
        if is_new {
            self.gossip.mark_received(now);
        }
        is_new
    }

    /// The report of what this node knows of it.
    pub(super) fn to_report(&self, request: Fingerprint, now: Time) -> SuspectReport {
        let age = |at: Time| now.since(at).as_millis() as u64;
        let end = |e: &Crash| CrashReport {
            target: e.target.clone(),
            age_ms: age(e.at),
            cleared: e.cleared,
            under: e.under,
        };
        SuspectReport {
            request,
            is_part: self.is_part,
            service: self.service.clone(),
            crashes: self.crashes.iter().map(end).collect(),
            tries: self.trials,
            tried_ms: age(self.last_trial),
            received_ms: age(self.last_arrival),
        }
    }

    /// Whether this node knows anything that a report lacks.
    pub(super) fn is_ahead_of(&self, report: &SuspectReport) -> bool {
        let is_missing = |e: &Crash| {
            let known = report.crashes.iter().find(|n| n.target == e.target);
            known.is_none_or(|n| e.cleared && !n.cleared)
        };
        self.crashes.iter().any(is_missing) || self.trials > report.tries
    }
}
