//! State of one suspected request.

use std::time::Duration;

use model::forward::{CrashReport, Fingerprint, HeldRecord, SuspectReport, TargetId};
use model::{Name, Time};

use super::HOLD_THRESHOLD;
use super::gossip::GossipState;

/// How long a request is held before its first and its second trial. The cause of the crashes may
/// have been fixed, or may not have been the request. After both trials it is held until an
/// operator releases it or it has not arrived for an hour.
const HOLD_DURATIONS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];
/// Maximum crashes remembered per request.
const MAX_CRASHES: usize = 16;
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
}

/// A request under which targets crashed.
#[derive(Debug)]
pub(super) struct Suspect {
    service: Name,
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

    /// Whether enough crashes count against it to hold it, even if its next trial is due.
    pub(super) fn is_held(&self) -> bool {
        self.active_crashes().count() >= HOLD_THRESHOLD
    }

    /// Whether all nodes must know of it: it is held, or was and some nodes may still hold it.
    pub(super) fn is_global(&self) -> bool {
        self.crashes.len() >= HOLD_THRESHOLD
    }

    pub(super) fn hold(&self, now: Time) -> Option<Hold> {
        let crashes = self.active_crashes().count();
        if crashes < HOLD_THRESHOLD {
            return None;
        }
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

    /// Records that a target crashed while running it; returns whether that is new.
    pub(super) fn record_crash(&mut self, target: &TargetId, now: Time) -> bool {
        let is_new = self.add(target, now, false);
        if is_new {
            self.gossip.mark_changed();
        }
        is_new
    }

    fn add(&mut self, target: &TargetId, at: Time, cleared: bool) -> bool {
        if let Some(end) = self.crashes.iter_mut().find(|e| e.target == *target) {
            let is_new = cleared && !end.cleared;
            end.cleared |= cleared;
            return is_new;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let Some(old) = self.crashes.iter().position(|e| e.cleared) else {
                return false;
            };
            self.crashes.remove(old);
        }
        self.crashes.push(Crash { target: target.clone(), at, cleared });
        true
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
        HeldRecord { request, service: self.service.clone(), targets, since }
    }

    /// Merges the report of another node; returns whether anything was new.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: Time) -> bool {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        let mut is_new = false;
        for end in &report.crashes {
            is_new |= self.add(&end.target, ago(end.age_ms), end.cleared);
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
        };
        SuspectReport {
            request,
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
